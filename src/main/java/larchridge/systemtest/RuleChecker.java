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
 * Checks the five rules from a traffic log alone. Pure functions without clock or sockets that use
 * nothing a router reports.
 */
public final class RuleChecker {
    private RuleChecker() {}

    /** A violation of a rule. */
    public record Violation(int rule, String subject, String description) {
        @Override
        public String toString() {
            return "rule " + rule + ": " + subject + ": " + description;
        }
    }

    /**
     * The limits that the rules check.
     *
     * @param slackMs tolerance added to every time limit, for the latency of the sockets
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

    /** Rule 1: each try gets exactly one final answer in time, and no data after it. */
    static void checkFinalAnswers(
            List<TrafficEvent> log, Limits limits, List<Violation> violations) {
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
                        // A request that a router held when it was killed, or that arrived while
                        // it was being killed, needs no answer.
                        TrafficEvent lostRequest = request;
                        if (kills.stream()
                                .noneMatch(
                                        k ->
                                                k.where() == event.where()
                                                        && k.ms()
                                                                >= lostRequest.ms() - limits.slackMs
                                                        && k.ms() <= event.ms() + limits.slackMs)) {
                            violations.add(
                                    new Violation(
                                            1,
                                            entry.getKey(),
                                            "connection closed without a final answer"));
                        }
                    }
                    case AFTER_FINAL ->
                            violations.add(
                                    new Violation(
                                            1, entry.getKey(), "data after the final answer"));
                    case MALFORMED ->
                            violations.add(
                                    new Violation(
                                            1,
                                            entry.getKey(),
                                            "response does not follow the API: " + event.word()));
                    case FINAL -> {
                        if (request == null) {
                            violations.add(
                                    new Violation(
                                            1, entry.getKey(), "a final answer without a request"));
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
                                    new Violation(
                                            1,
                                            entry.getKey(),
                                            "throttled after the response had started"));
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
                                                            event.ms()
                                                                    - request.ms()
                                                                    - request.amount())
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
                violations.add(new Violation(1, entry.getKey(), "no final answer"));
            }
        }
    }

    /**
     * Rule 2: no side effect happens twice, and no client is told that it may retry where a repeat
     * is not harmless.
     */
    static void checkSideEffects(
            List<TrafficEvent> log, Limits limits, List<Violation> violations) {
        Map<String, TrafficClass> productsByTag = new HashMap<>();
        Map<String, List<TrafficEvent>> runsByOperation = new TreeMap<>();
        for (TrafficEvent event : log) {
            if (event.kind() == TrafficEvent.Kind.ASKED) {
                productsByTag.put(event.tag(), limits.products.get(event.word()));
            } else if (event.kind() == TrafficEvent.Kind.RAN && event.tag() != null) {
                runsByOperation
                        .computeIfAbsent(event.operation(), key -> new ArrayList<>())
                        .add(event);
            } else if (event.kind() == TrafficEvent.Kind.FINAL
                    && event.word().equals("throttled")) {
                TrafficClass product = productsByTag.get(event.tag());
                boolean ran =
                        runsByOperation.getOrDefault(event.operation(), List.of()).stream()
                                .anyMatch(r -> r.tag().equals(event.tag()));
                if (ran && !mayRepeatOnAnyEngine(product)) {
                    violations.add(
                            new Violation(2, event.tag(), "throttled although an attempt ran"));
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
                    violations.add(
                            new Violation(2, entry.getKey(), "ran " + runs.size() + " times"));
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
                                            + " the deduplication window or scope"));
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
     * Rule 3: no new attempt is sent to an engine after the list has shown it as draining or
     * removed for the drain grace.
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
                            > unavailableSince.get(event.where())
                                    + limits.drainGraceMs
                                    + limits.slackMs) {
                violations.add(
                        new Violation(
                                3,
                                "engine " + event.where(),
                                event.rid()
                                        + " arrived "
                                        + Math.round(
                                                event.ms() - unavailableSince.get(event.where()))
                                        + " ms after the list showed the engine as draining or gone"));
            }
        }
    }

    /**
     * Rule 4: the load sent to an engine after a cold start stays, in every window, below the
     * stated multiple of its capacity at that time. Each attempt counts as the mean of its kind;
     * two attempts are tolerated for random variation.
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
            double capacityShare =
                    profile.coldShare() + (1 - profile.coldShare()) * ageMs / profile.coldMs();
            // A reader's capacity is in tokens; a writer's is in streams, each assumed to take as
            // long as 30 tokens.
            double attemptsPerMs =
                    profile.role() == Role.READER
                            ? profile.readTokensPerMs() / Math.max(1, meanRead)
                            : profile.maxConcurrentStreams() / (30 * profile.tokenMs());
            double budget =
                    limits.coldStartMultiple
                                    * capacityShare
                                    * attemptsPerMs
                                    * limits.coldStartWindowMs
                            + 2;
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
     * Rule 5: a read state is held no longer than the limit while none of its generation's attempts
     * is active.
     */
    static void checkStateRelease(
            List<TrafficEvent> log, Limits limits, List<Violation> violations) {
        Map<String, Integer> activeAttempts = new HashMap<>();
        Map<String, Double> idleSince = new HashMap<>();
        Map<String, List<TrafficEvent>> heldStates = new HashMap<>();
        Set<String> triesOfKilledRouters = triesOfKilledRouters(log);
        double endMs = log.isEmpty() ? 0 : log.get(log.size() - 1).ms();
        for (TrafficEvent event : log) {
            if (event.tag() == null || triesOfKilledRouters.contains(event.tag())) {
                continue;
            }
            switch (event.kind()) {
                case READ_IN, WRITE_IN -> {
                    checkIdleStates(
                            event.tag(),
                            event.ms(),
                            heldStates,
                            activeAttempts,
                            idleSince,
                            limits,
                            violations);
                    activeAttempts.merge(event.tag(), 1, Integer::sum);
                }
                case LEG_OUT -> {
                    if (activeAttempts.merge(event.tag(), -1, Integer::sum) <= 0) {
                        idleSince.put(event.tag(), event.ms());
                    }
                }
                case STATE_HELD -> {
                    heldStates.computeIfAbsent(event.tag(), key -> new ArrayList<>()).add(event);
                    idleSince.merge(event.tag(), event.ms(), Math::max);
                }
                case STATE_GONE -> {
                    checkIdleStates(
                            event.tag(),
                            event.ms(),
                            heldStates,
                            activeAttempts,
                            idleSince,
                            limits,
                            violations);
                    List<TrafficEvent> states = heldStates.get(event.tag());
                    if (states != null) {
                        states.removeIf(
                                s -> s.where() == event.where() && s.rid().equals(event.rid()));
                    }
                }
                default -> {}
            }
        }
        for (String tag : new TreeMap<>(heldStates).keySet()) {
            checkIdleStates(tag, endMs, heldStates, activeAttempts, idleSince, limits, violations);
        }
    }

    /**
     * Returns the tries that a router held when it was killed. Their read states are released by
     * the engines' own expiry.
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
            Map<String, List<TrafficEvent>> heldStates,
            Map<String, Integer> activeAttempts,
            Map<String, Double> idleSince,
            Limits limits,
            List<Violation> violations) {
        List<TrafficEvent> states = heldStates.get(tag);
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
                                        + " was held "
                                        + Math.round(idleMs)
                                        + " ms with no active attempt"));
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
