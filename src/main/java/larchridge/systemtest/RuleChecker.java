package larchridge.systemtest;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import larchridge.simulatedengine.EngineProfile;
import larchridge.state.DeduplicationScope;
import larchridge.state.Effect;
import larchridge.state.Role;
import larchridge.state.TrafficClass;

/**
 * The five rules, checked from a traffic log alone. Pure functions: no clock, no sockets, no word
 * of a front.
 */
public final class RuleChecker {
    private RuleChecker() {}

    /** A broken rule. */
    public record Breach(int rule, String about, String what) {
        @Override
        public String toString() {
            return "rule " + rule + ": " + about + ": " + what;
        }
    }

    /**
     * The figures that the rules are stated in.
     *
     * @param slackMs allowed on every time beside the rule's own, for the way over the sockets
     */
    public record Figures(
            double drainGraceMs,
            double releaseMs,
            double tipMultiple,
            double tipMs,
            double slackMs,
            Map<String, TrafficClass> products,
            Map<Long, EngineProfile> makes) {}

    public static List<Breach> judge(List<TrafficEvent> log, Figures figures) {
        List<TrafficEvent> ordered = new ArrayList<>(log);
        ordered.sort(Comparator.comparingDouble(TrafficEvent::ms));
        List<Breach> breaches = new ArrayList<>();
        oneFinalAnswer(ordered, figures, breaches);
        noEffectTwice(ordered, figures, breaches);
        drainsKept(ordered, figures, breaches);
        coldNotPushed(ordered, figures, breaches);
        nothingPinned(ordered, figures, breaches);
        return breaches;
    }

    /** Rule 1: each try gets one final answer in time, and nothing after it. */
    static void oneFinalAnswer(List<TrafficEvent> log, Figures figures, List<Breach> breaches) {
        Map<String, List<TrafficEvent>> byTag = clientSights(log);
        List<TrafficEvent> killed =
                log.stream().filter(s -> s.kind() == TrafficEvent.Kind.FRONT_KILLED).toList();
        for (Map.Entry<String, List<TrafficEvent>> entry : byTag.entrySet()) {
            TrafficEvent asked = null;
            TrafficEvent begun = null;
            TrafficEvent last = null;
            boolean left = false;
            for (TrafficEvent seen : entry.getValue()) {
                switch (seen.kind()) {
                    case ASKED -> asked = seen;
                    case BEGUN -> begun = seen;
                    case LEFT -> left = true;
                    case LOST -> {
                        // What a front held when it was killed, or is sent while it dies, is no
                        // longer its duty.
                        TrafficEvent taken = asked;
                        if (killed.stream()
                                .noneMatch(
                                        k ->
                                                k.where() == seen.where()
                                                        && k.ms() >= taken.ms() - figures.slackMs
                                                        && k.ms() <= seen.ms() + figures.slackMs)) {
                            breaches.add(
                                    new Breach(1, entry.getKey(), "closed without a final answer"));
                        }
                    }
                    case AFTER_FINAL ->
                            breaches.add(
                                    new Breach(1, entry.getKey(), "more after the final answer"));
                    case MALFORMED ->
                            breaches.add(
                                    new Breach(
                                            1,
                                            entry.getKey(),
                                            "not in the API's words: " + seen.word()));
                    case FINAL -> {
                        if (asked == null) {
                            breaches.add(
                                    new Breach(
                                            1,
                                            entry.getKey(),
                                            "an answer to nothing that was asked"));
                            break;
                        }
                        if (last != null) {
                            breaches.add(
                                    new Breach(
                                            1,
                                            entry.getKey(),
                                            "a second final answer, " + seen.word()));
                        }
                        if (left) {
                            break;
                        }
                        last = seen;
                        if (begun != null && seen.word().equals("throttled")) {
                            breaches.add(
                                    new Breach(1, entry.getKey(), "throttled after it had begun"));
                        }
                        if (begun == null
                                && seen.ms() > asked.ms() + asked.amount() + figures.slackMs) {
                            breaches.add(
                                    new Breach(
                                            1,
                                            entry.getKey(),
                                            seen.word()
                                                    + " "
                                                    + Math.round(
                                                            seen.ms() - asked.ms() - asked.amount())
                                                    + " ms too late"));
                        }
                    }
                    default -> {}
                }
            }
            if (asked != null
                    && last == null
                    && !left
                    && entry.getValue().stream()
                            .noneMatch(s -> s.kind() == TrafficEvent.Kind.LOST)) {
                breaches.add(new Breach(1, entry.getKey(), "no final answer at all"));
            }
        }
    }

    /** Rule 2: no effect twice, and no word that a repeat is harmless where it is not. */
    static void noEffectTwice(List<TrafficEvent> log, Figures figures, List<Breach> breaches) {
        Map<String, TrafficClass> productOf = new HashMap<>();
        Map<String, List<TrafficEvent>> ranOf = new TreeMap<>();
        for (TrafficEvent seen : log) {
            if (seen.kind() == TrafficEvent.Kind.ASKED) {
                productOf.put(seen.tag(), figures.products.get(seen.word()));
            } else if (seen.kind() == TrafficEvent.Kind.RAN && seen.tag() != null) {
                ranOf.computeIfAbsent(seen.operation(), key -> new ArrayList<>()).add(seen);
            } else if (seen.kind() == TrafficEvent.Kind.FINAL && seen.word().equals("throttled")) {
                TrafficClass product = productOf.get(seen.tag());
                boolean ran =
                        ranOf.getOrDefault(seen.operation(), List.of()).stream()
                                .anyMatch(r -> r.tag().equals(seen.tag()));
                if (ran && !mayRepeatAnywhere(product)) {
                    breaches.add(
                            new Breach(2, seen.tag(), "throttled though an attempt of it ran"));
                }
            }
        }
        for (Map.Entry<String, List<TrafficEvent>> entry : ranOf.entrySet()) {
            List<TrafficEvent> runs = entry.getValue();
            TrafficClass product = productOf.get(runs.get(0).tag());
            if (product == null || product.effect == Effect.IDEMPOTENT) {
                continue;
            }
            for (int i = 1; i < runs.size(); i++) {
                if (product.effect == Effect.SIDE_EFFECTING) {
                    breaches.add(new Breach(2, entry.getKey(), "ran " + runs.size() + " times"));
                    break;
                }
                EngineProfile first = figures.makes.get(runs.get(0).where());
                EngineProfile again = figures.makes.get(runs.get(i).where());
                boolean together =
                        product.deduplicationScope == DeduplicationScope.ALL
                                || (product.deduplicationScope == DeduplicationScope.ZONE
                                        && first.zone().equals(again.zone()))
                                || (product.deduplicationScope == DeduplicationScope.RACK
                                        && first.rack() == again.rack());
                if (!together
                        || runs.get(i).ms() - runs.get(0).ms() > product.deduplicationWindowMs) {
                    breaches.add(
                            new Breach(
                                    2,
                                    entry.getKey(),
                                    "ran again "
                                            + (together ? "after" : "outside")
                                            + " what drops its repeats"));
                }
            }
        }
    }

    private static boolean mayRepeatAnywhere(TrafficClass product) {
        return product == null
                || product.effect == Effect.IDEMPOTENT
                || (product.effect == Effect.DEDUPLICATED
                        && product.deduplicationScope == DeduplicationScope.ALL);
    }

    /**
     * Rule 3: nothing new to an engine once the list has said for the grace that it drains or is
     * gone.
     */
    static void drainsKept(List<TrafficEvent> log, Figures figures, List<Breach> breaches) {
        Map<Long, Double> since = new HashMap<>();
        for (TrafficEvent seen : log) {
            if (seen.kind() == TrafficEvent.Kind.LISTED) {
                if (seen.word().equals("ready")) {
                    since.remove(seen.where());
                } else {
                    since.putIfAbsent(seen.where(), seen.ms());
                }
            } else if (isAttempt(seen)
                    && since.containsKey(seen.where())
                    && seen.ms()
                            > since.get(seen.where()) + figures.drainGraceMs + figures.slackMs) {
                breaches.add(
                        new Breach(
                                3,
                                "engine " + seen.where(),
                                seen.rid()
                                        + " came "
                                        + Math.round(seen.ms() - since.get(seen.where()))
                                        + " ms after it was told"));
            }
        }
    }

    /**
     * Rule 4: what is sent to an engine just started stays, in every window, under the stated
     * multiple of what it can do then. Each attempt weighs as the mean of its kind; two attempts
     * are allowed for chance.
     */
    static void coldNotPushed(List<TrafficEvent> log, Figures figures, List<Breach> breaches) {
        double reads = 0;
        double readTokens = 0;
        for (TrafficEvent seen : log) {
            reads += seen.kind() == TrafficEvent.Kind.READ_IN ? 1 : 0;
            readTokens += seen.kind() == TrafficEvent.Kind.READ_IN ? seen.amount() : 0;
        }
        double meanRead = reads > 0 ? readTokens / reads : 0;
        Map<Long, Double> started = new HashMap<>();
        Map<Long, ArrayDeque<Double>> late = new HashMap<>();
        Set<Long> told = new HashSet<>();
        for (TrafficEvent seen : log) {
            if (seen.kind() == TrafficEvent.Kind.STARTED) {
                late.remove(seen.where());
                told.remove(seen.where());
                started.remove(seen.where());
                if (seen.amount() > 0) {
                    started.put(seen.where(), seen.ms());
                }
            }
            Double start = started.get(seen.where());
            if (!isAttempt(seen) || start == null) {
                continue;
            }
            EngineProfile make = figures.makes.get(seen.where());
            double age = seen.ms() - start;
            if (age > make.coldMs()) {
                continue;
            }
            ArrayDeque<Double> window =
                    late.computeIfAbsent(seen.where(), key -> new ArrayDeque<>());
            window.add(seen.ms());
            while (window.peek() < seen.ms() - figures.tipMs) {
                window.poll();
            }
            double share = make.coldShare() + (1 - make.coldShare()) * age / make.coldMs();
            // A reader does tokens; a writer does streams, each for about the time that its slots
            // allow.
            double attemptsPerMs =
                    make.role() == Role.READER
                            ? make.readTokensPerMs() / Math.max(1, meanRead)
                            : make.maxConcurrentStreams() / (30 * make.tokenMs());
            double budget = figures.tipMultiple * share * attemptsPerMs * figures.tipMs + 2;
            if (window.size() > budget && told.add(seen.where())) {
                breaches.add(
                        new Breach(
                                4,
                                "engine " + seen.where(),
                                window.size()
                                        + " attempts within "
                                        + Math.round(figures.tipMs)
                                        + " ms at age "
                                        + Math.round(age)
                                        + " ms, budget "
                                        + Math.round(budget)));
            }
        }
    }

    /**
     * Rule 5: a state waits no longer than stated while none of its generation's attempts is out.
     */
    static void nothingPinned(List<TrafficEvent> log, Figures figures, List<Breach> breaches) {
        Map<String, Integer> attemptsOut = new HashMap<>();
        Map<String, Double> idleSince = new HashMap<>();
        Map<String, List<TrafficEvent>> held = new HashMap<>();
        Set<String> orphans = orphans(log);
        double end = log.isEmpty() ? 0 : log.get(log.size() - 1).ms();
        for (TrafficEvent seen : log) {
            if (seen.tag() == null || orphans.contains(seen.tag())) {
                continue;
            }
            switch (seen.kind()) {
                case READ_IN, WRITE_IN -> {
                    look(seen.tag(), seen.ms(), held, attemptsOut, idleSince, figures, breaches);
                    attemptsOut.merge(seen.tag(), 1, Integer::sum);
                }
                case LEG_OUT -> {
                    if (attemptsOut.merge(seen.tag(), -1, Integer::sum) <= 0) {
                        idleSince.put(seen.tag(), seen.ms());
                    }
                }
                case STATE_HELD -> {
                    held.computeIfAbsent(seen.tag(), key -> new ArrayList<>()).add(seen);
                    idleSince.merge(seen.tag(), seen.ms(), Math::max);
                }
                case STATE_GONE -> {
                    look(seen.tag(), seen.ms(), held, attemptsOut, idleSince, figures, breaches);
                    List<TrafficEvent> states = held.get(seen.tag());
                    if (states != null) {
                        states.removeIf(
                                s -> s.where() == seen.where() && s.rid().equals(seen.rid()));
                    }
                }
                default -> {}
            }
        }
        for (String tag : new TreeMap<>(held).keySet()) {
            look(tag, end, held, attemptsOut, idleSince, figures, breaches);
        }
    }

    /**
     * Tries that a front held when it was killed: what it left is freed by the engines' own lapse.
     */
    private static Set<String> orphans(List<TrafficEvent> log) {
        Set<String> orphans = new HashSet<>();
        Map<String, TrafficEvent> open = new HashMap<>();
        for (TrafficEvent seen : log) {
            switch (seen.kind()) {
                case ASKED -> open.put(seen.tag(), seen);
                case FRONT_KILLED ->
                        open.values().stream()
                                .filter(asked -> asked.where() == seen.where())
                                .forEach(asked -> orphans.add(asked.tag()));
                case FINAL, LEFT -> {
                    if (!orphans.contains(seen.tag())) {
                        open.remove(seen.tag());
                    }
                }
                default -> {}
            }
        }
        return orphans;
    }

    private static void look(
            String tag,
            double ms,
            Map<String, List<TrafficEvent>> held,
            Map<String, Integer> attemptsOut,
            Map<String, Double> idleSince,
            Figures figures,
            List<Breach> breaches) {
        List<TrafficEvent> states = held.get(tag);
        if (states == null || states.isEmpty() || attemptsOut.getOrDefault(tag, 0) > 0) {
            return;
        }
        for (TrafficEvent state : states) {
            double idle = ms - Math.max(state.ms(), idleSince.getOrDefault(tag, state.ms()));
            if (idle > figures.releaseMs + figures.slackMs) {
                breaches.add(
                        new Breach(
                                5,
                                tag,
                                "state "
                                        + state.rid()
                                        + " at engine "
                                        + state.where()
                                        + " waited "
                                        + Math.round(idle)
                                        + " ms with no attempt out"));
            }
        }
    }

    private static Map<String, List<TrafficEvent>> clientSights(List<TrafficEvent> log) {
        Map<String, List<TrafficEvent>> byTag = new TreeMap<>();
        for (TrafficEvent seen : log) {
            if (seen.kind().compareTo(TrafficEvent.Kind.ASKED) >= 0
                    && seen.kind().compareTo(TrafficEvent.Kind.MALFORMED) <= 0) {
                byTag.computeIfAbsent(seen.tag(), key -> new ArrayList<>()).add(seen);
            }
        }
        return byTag;
    }

    private static boolean isAttempt(TrafficEvent seen) {
        return seen.kind() == TrafficEvent.Kind.READ_IN
                || seen.kind() == TrafficEvent.Kind.WRITE_IN;
    }
}
