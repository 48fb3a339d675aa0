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
    public record Violation(int rule, String subject, String description) {
        @Override
        public String toString() {
            return "rule " + rule + ": " + subject + ": " + description;
        }
    }

    /**
     * The figures that the rules are stated in.
     *
     * @param slackMs allowed on every time beside the rule's own, for the way over the sockets
     */
    public record Limits(
            double drainGraceMs,
            double releaseMs,
            double coldStartMultiple,
            double coldStartWindowMs,
            double slackMs,
            Map<String, TrafficClass> products,
            Map<Long, EngineProfile> profiles) {}

    public static List<Violation> check(List<TrafficEvent> log, Limits limits) {
        List<TrafficEvent> ordered = new ArrayList<>(log);
        ordered.sort(Comparator.comparingDouble(TrafficEvent::ms));
        List<Violation> violations = new ArrayList<>();
        checkFinalAnswers(ordered, limits, violations);
        checkSideEffects(ordered, limits, violations);
        checkDrains(ordered, limits, violations);
        checkColdStarts(ordered, limits, violations);
        checkStateRelease(ordered, limits, violations);
        return violations;
    }

    /** Rule 1: each try gets one final answer in time, and nothing after it. */
    static void checkFinalAnswers(List<TrafficEvent> log, Limits limits, List<Violation> violations) {
        Map<String, List<TrafficEvent>> byTag = clientEventsByTag(log);
        List<TrafficEvent> kills =
                log.stream().filter(s -> s.kind() == TrafficEvent.Kind.FRONT_KILLED).toList();
        for (Map.Entry<String, List<TrafficEvent>> entry : byTag.entrySet()) {
            TrafficEvent request = null;
            TrafficEvent started = null;
            TrafficEvent finalAnswer = null;
            boolean disconnected = false;
            for (TrafficEvent event : entry.getValue()) {
                switch (event.kind()) {
                    case ASKED -> request = event;
                    case BEGUN -> started = event;
                    case LEFT -> disconnected = true;
                    case LOST -> {
                        // What a front held when it was killed, or is sent while it dies, is no
                        // longer its duty.
                        TrafficEvent lostRequest = request;
                        if (kills.stream()
                                .noneMatch(
                                        k ->
                                                k.where() == event.where()
                                                        && k.ms() >= lostRequest.ms() - limits.slackMs
                                                        && k.ms() <= event.ms() + limits.slackMs)) {
                            violations.add(
                                    new Violation(1, entry.getKey(), "closed without a final answer"));
                        }
                    }
                    case AFTER_FINAL ->
                            violations.add(
                                    new Violation(1, entry.getKey(), "more after the final answer"));
                    case MALFORMED ->
                            violations.add(
                                    new Violation(
                                            1,
                                            entry.getKey(),
                                            "not in the API's words: " + event.word()));
                    case FINAL -> {
                        if (request == null) {
                            violations.add(
                                    new Violation(
                                            1,
                                            entry.getKey(),
                                            "an answer to nothing that was asked"));
                            break;
                        }
                        if (finalAnswer != null) {
                            violations.add(
                                    new Violation(
                                            1,
                                            entry.getKey(),
                                            "a second final answer, " + event.word()));
                        }
                        if (disconnected) {
                            break;
                        }
                        finalAnswer = event;
                        if (started != null && event.word().equals("throttled")) {
                            violations.add(
                                    new Violation(1, entry.getKey(), "throttled after it had begun"));
                        }
                        if (started == null
                                && event.ms() > request.ms() + request.amount() + limits.slackMs) {
                            violations.add(
                                    new Violation(
                                            1,
                                            entry.getKey(),
                                            event.word()
                                                    + " "
                                                    + Math.round(
                                                            event.ms() - request.ms() - request.amount())
                                                    + " ms too late"));
                        }
                    }
                    default -> {}
                }
            }
            if (request != null
                    && finalAnswer == null
                    && !disconnected
                    && entry.getValue().stream()
                            .noneMatch(s -> s.kind() == TrafficEvent.Kind.LOST)) {
                violations.add(new Violation(1, entry.getKey(), "no final answer at all"));
            }
        }
    }

    /** Rule 2: no effect twice, and no word that a repeat is harmless where it is not. */
    static void checkSideEffects(List<TrafficEvent> log, Limits limits, List<Violation> violations) {
        Map<String, TrafficClass> productsByTag = new HashMap<>();
        Map<String, List<TrafficEvent>> runsByOperation = new TreeMap<>();
        for (TrafficEvent event : log) {
            if (event.kind() == TrafficEvent.Kind.ASKED) {
                productsByTag.put(event.tag(), limits.products.get(event.word()));
            } else if (event.kind() == TrafficEvent.Kind.RAN && event.tag() != null) {
                runsByOperation.computeIfAbsent(event.operation(), key -> new ArrayList<>()).add(event);
            } else if (event.kind() == TrafficEvent.Kind.FINAL && event.word().equals("throttled")) {
                TrafficClass product = productsByTag.get(event.tag());
                boolean ran =
                        runsByOperation.getOrDefault(event.operation(), List.of()).stream()
                                .anyMatch(r -> r.tag().equals(event.tag()));
                if (ran && !mayRepeatOnAnyEngine(product)) {
                    violations.add(
                            new Violation(2, event.tag(), "throttled though an attempt of it ran"));
                }
            }
        }
        for (Map.Entry<String, List<TrafficEvent>> entry : runsByOperation.entrySet()) {
            List<TrafficEvent> runs = entry.getValue();
            TrafficClass product = productsByTag.get(runs.get(0).tag());
            if (product == null || product.effect == Effect.IDEMPOTENT) {
                continue;
            }
            for (int i = 1; i < runs.size(); i++) {
                if (product.effect == Effect.SIDE_EFFECTING) {
                    violations.add(new Violation(2, entry.getKey(), "ran " + runs.size() + " times"));
                    break;
                }
                EngineProfile first = limits.profiles.get(runs.get(0).where());
                EngineProfile current = limits.profiles.get(runs.get(i).where());
                boolean sameScope =
                        product.deduplicationScope == DeduplicationScope.ALL
                                || (product.deduplicationScope == DeduplicationScope.ZONE
                                        && first.zone().equals(current.zone()))
                                || (product.deduplicationScope == DeduplicationScope.RACK
                                        && first.rack() == current.rack());
                if (!sameScope
                        || runs.get(i).ms() - runs.get(0).ms() > product.deduplicationWindowMs) {
                    violations.add(
                            new Violation(
                                    2,
                                    entry.getKey(),
                                    "ran again "
                                            + (sameScope ? "after" : "outside")
                                            + " what drops its repeats"));
                }
            }
        }
    }

    private static boolean mayRepeatOnAnyEngine(TrafficClass product) {
        return product == null
                || product.effect == Effect.IDEMPOTENT
                || (product.effect == Effect.DEDUPLICATED
                        && product.deduplicationScope == DeduplicationScope.ALL);
    }

    /**
     * Rule 3: nothing new to an engine once the list has said for the grace that it drains or is
     * gone.
     */
    static void checkDrains(List<TrafficEvent> log, Limits limits, List<Violation> violations) {
        Map<Long, Double> unavailableSince = new HashMap<>();
        for (TrafficEvent event : log) {
            if (event.kind() == TrafficEvent.Kind.LISTED) {
                if (event.word().equals("ready")) {
                    unavailableSince.remove(event.where());
                } else {
                    unavailableSince.putIfAbsent(event.where(), event.ms());
                }
            } else if (isAttempt(event)
                    && unavailableSince.containsKey(event.where())
                    && event.ms()
                            > unavailableSince.get(event.where()) + limits.drainGraceMs + limits.slackMs) {
                violations.add(
                        new Violation(
                                3,
                                "engine " + event.where(),
                                event.rid()
                                        + " came "
                                        + Math.round(event.ms() - unavailableSince.get(event.where()))
                                        + " ms after it was told"));
            }
        }
    }

    /**
     * Rule 4: what is sent to an engine just started stays, in every window, under the stated
     * multiple of what it can do then. Each attempt weighs as the mean of its kind; two attempts
     * are allowed for chance.
     */
    static void checkColdStarts(List<TrafficEvent> log, Limits limits, List<Violation> violations) {
        double reads = 0;
        double readTokens = 0;
        for (TrafficEvent event : log) {
            reads += event.kind() == TrafficEvent.Kind.READ_IN ? 1 : 0;
            readTokens += event.kind() == TrafficEvent.Kind.READ_IN ? event.amount() : 0;
        }
        double meanRead = reads > 0 ? readTokens / reads : 0;
        Map<Long, Double> startMsByEngine = new HashMap<>();
        Map<Long, ArrayDeque<Double>> recentAttempts = new HashMap<>();
        Set<Long> reported = new HashSet<>();
        for (TrafficEvent event : log) {
            if (event.kind() == TrafficEvent.Kind.STARTED) {
                recentAttempts.remove(event.where());
                reported.remove(event.where());
                startMsByEngine.remove(event.where());
                if (event.amount() > 0) {
                    startMsByEngine.put(event.where(), event.ms());
                }
            }
            Double startMs = startMsByEngine.get(event.where());
            if (!isAttempt(event) || startMs == null) {
                continue;
            }
            EngineProfile profile = limits.profiles.get(event.where());
            double ageMs = event.ms() - startMs;
            if (ageMs > profile.coldMs()) {
                continue;
            }
            ArrayDeque<Double> window =
                    recentAttempts.computeIfAbsent(event.where(), key -> new ArrayDeque<>());
            window.add(event.ms());
            while (window.peek() < event.ms() - limits.coldStartWindowMs) {
                window.poll();
            }
            double capacityShare = profile.coldShare() + (1 - profile.coldShare()) * ageMs / profile.coldMs();
            // A reader does tokens; a writer does streams, each for about the time that its slots
            // allow.
            double attemptsPerMs =
                    profile.role() == Role.READER
                            ? profile.readTokensPerMs() / Math.max(1, meanRead)
                            : profile.maxConcurrentStreams() / (30 * profile.tokenMs());
            double budget = limits.coldStartMultiple * capacityShare * attemptsPerMs * limits.coldStartWindowMs + 2;
            if (window.size() > budget && reported.add(event.where())) {
                violations.add(
                        new Violation(
                                4,
                                "engine " + event.where(),
                                window.size()
                                        + " attempts within "
                                        + Math.round(limits.coldStartWindowMs)
                                        + " ms at age "
                                        + Math.round(ageMs)
                                        + " ms, budget "
                                        + Math.round(budget)));
            }
        }
    }

    /**
     * Rule 5: a state waits no longer than stated while none of its generation's attempts is out.
     */
    static void checkStateRelease(List<TrafficEvent> log, Limits limits, List<Violation> violations) {
        Map<String, Integer> activeAttempts = new HashMap<>();
        Map<String, Double> idleSince = new HashMap<>();
        Map<String, List<TrafficEvent>> held = new HashMap<>();
        Set<String> triesOfKilledRouters = triesOfKilledRouters(log);
        double endMs = log.isEmpty() ? 0 : log.get(log.size() - 1).ms();
        for (TrafficEvent event : log) {
            if (event.tag() == null || triesOfKilledRouters.contains(event.tag())) {
                continue;
            }
            switch (event.kind()) {
                case READ_IN, WRITE_IN -> {
                    checkIdleStates(event.tag(), event.ms(), held, activeAttempts, idleSince, limits, violations);
                    activeAttempts.merge(event.tag(), 1, Integer::sum);
                }
                case LEG_OUT -> {
                    if (activeAttempts.merge(event.tag(), -1, Integer::sum) <= 0) {
                        idleSince.put(event.tag(), event.ms());
                    }
                }
                case STATE_HELD -> {
                    held.computeIfAbsent(event.tag(), key -> new ArrayList<>()).add(event);
                    idleSince.merge(event.tag(), event.ms(), Math::max);
                }
                case STATE_GONE -> {
                    checkIdleStates(event.tag(), event.ms(), held, activeAttempts, idleSince, limits, violations);
                    List<TrafficEvent> states = held.get(event.tag());
                    if (states != null) {
                        states.removeIf(
                                s -> s.where() == event.where() && s.rid().equals(event.rid()));
                    }
                }
                default -> {}
            }
        }
        for (String tag : new TreeMap<>(held).keySet()) {
            checkIdleStates(tag, endMs, held, activeAttempts, idleSince, limits, violations);
        }
    }

    /**
     * Tries that a front held when it was killed: what it left is freed by the engines' own lapse.
     */
    private static Set<String> triesOfKilledRouters(List<TrafficEvent> log) {
        Set<String> triesOfKilledRouters = new HashSet<>();
        Map<String, TrafficEvent> open = new HashMap<>();
        for (TrafficEvent event : log) {
            switch (event.kind()) {
                case ASKED -> open.put(event.tag(), event);
                case FRONT_KILLED ->
                        open.values().stream()
                                .filter(request -> request.where() == event.where())
                                .forEach(request -> triesOfKilledRouters.add(request.tag()));
                case FINAL, LEFT -> {
                    if (!triesOfKilledRouters.contains(event.tag())) {
                        open.remove(event.tag());
                    }
                }
                default -> {}
            }
        }
        return triesOfKilledRouters;
    }

    private static void checkIdleStates(
            String tag,
            double ms,
            Map<String, List<TrafficEvent>> held,
            Map<String, Integer> activeAttempts,
            Map<String, Double> idleSince,
            Limits limits,
            List<Violation> violations) {
        List<TrafficEvent> states = held.get(tag);
        if (states == null || states.isEmpty() || activeAttempts.getOrDefault(tag, 0) > 0) {
            return;
        }
        for (TrafficEvent state : states) {
            double idleMs = ms - Math.max(state.ms(), idleSince.getOrDefault(tag, state.ms()));
            if (idleMs > limits.releaseMs + limits.slackMs) {
                violations.add(
                        new Violation(
                                5,
                                tag,
                                "state "
                                        + state.rid()
                                        + " at engine "
                                        + state.where()
                                        + " waited "
                                        + Math.round(idleMs)
                                        + " ms with no attempt out"));
            }
        }
    }

    private static Map<String, List<TrafficEvent>> clientEventsByTag(List<TrafficEvent> log) {
        Map<String, List<TrafficEvent>> byTag = new TreeMap<>();
        for (TrafficEvent event : log) {
            if (event.kind().compareTo(TrafficEvent.Kind.ASKED) >= 0
                    && event.kind().compareTo(TrafficEvent.Kind.MALFORMED) <= 0) {
                byTag.computeIfAbsent(event.tag(), key -> new ArrayList<>()).add(event);
            }
        }
        return byTag;
    }

    private static boolean isAttempt(TrafficEvent event) {
        return event.kind() == TrafficEvent.Kind.READ_IN
                || event.kind() == TrafficEvent.Kind.WRITE_IN;
    }
}
