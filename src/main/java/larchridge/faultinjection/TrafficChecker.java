package larchridge.faultinjection;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import larchridge.simulatedengine.EngineProfile;
import larchridge.state.TrafficClass;
import larchridge.systemtest.RuleChecker;
import larchridge.systemtest.TrafficEvent;

/**
 * Checks a run from its traffic log against the rules of the system tests. Each node is checked
 * with the requests that it received and the notices of its own discovery agent. The load limit of
 * cold engines is checked over all nodes, with the attempts of nodes that had been notified of the
 * start. Pure functions.
 */
final class TrafficChecker {
    /**
     * Slack for a final response, for a send after a drain and for a release: the slack of the
     * platform plus the transfer over delayed links.
     */
    private static final double RESPONSE_SLACK_MS = 500;

    private static final double DRAIN_SLACK_MS = 200;
    private static final double RELEASE_SLACK_MS = 500;

    /**
     * How long after the disconnect of its client an attempt may arrive: 0.1 s allowed by the
     * platform, plus the transfer over delayed links.
     */
    private static final double CLOSE_SLACK_MS = 350;

    /**
     * The time at which a node was notified that an engine is ready, is draining or has started.
     */
    record StatusNotice(double ms, int node, long engine, String status) {}

    private TrafficChecker() {}

    static List<String> check(
            List<TrafficEvent> log,
            List<StatusNotice> notices,
            int nodes,
            RuleChecker.Limits figures,
            double maxLagMs) {
        Map<String, Integer> nodeByTag = new HashMap<>();
        for (TrafficEvent event : log) {
            if (event.kind() == TrafficEvent.Kind.ASKED) {
                nodeByTag.put(event.tag(), (int) event.where());
            }
        }
        List<String> violations = new ArrayList<>();
        for (int node = 0; node < nodes; node++) {
            checkNode(
                    node,
                    eventsOfNode(log, notices, nodeByTag, node),
                    figures,
                    maxLagMs,
                    violations);
        }
        checkColdStarts(log, notices, nodeByTag, figures, maxLagMs, violations);
        checkAttemptsAfterClose(log, maxLagMs, violations);
        return violations;
    }

    private static RuleChecker.Limits withSlack(RuleChecker.Limits figures, double slackMs) {
        return new RuleChecker.Limits(
                figures.drainGraceMs(),
                figures.releaseMs(),
                figures.coldStartMultiple(),
                figures.coldStartWindowMs(),
                slackMs,
                figures.products(),
                figures.profiles());
    }

    private static List<TrafficEvent> eventsOfNode(
            List<TrafficEvent> log,
            List<StatusNotice> notices,
            Map<String, Integer> nodeByTag,
            int node) {
        List<TrafficEvent> nodeEvents = new ArrayList<>();
        for (TrafficEvent event : log) {
            boolean killed =
                    event.kind() == TrafficEvent.Kind.FRONT_KILLED && event.where() == node;
            if (killed
                    || (event.tag() != null && nodeByTag.getOrDefault(event.tag(), -1) == node)) {
                nodeEvents.add(event);
            }
        }
        for (StatusNotice notice : notices) {
            if (notice.node == node && !notice.status.equals("started")) {
                nodeEvents.add(
                        new TrafficEvent(
                                notice.ms,
                                TrafficEvent.Kind.LISTED,
                                notice.engine,
                                null,
                                null,
                                0,
                                notice.status));
            }
        }
        return nodeEvents;
    }

    private static void checkNode(
            int node,
            List<TrafficEvent> nodeEvents,
            RuleChecker.Limits figures,
            double maxLagMs,
            List<String> violations) {
        double[] slackMsByRule = {0, RESPONSE_SLACK_MS, 0, DRAIN_SLACK_MS, 0, RELEASE_SLACK_MS};
        for (int rule : new int[] {1, 2, 3, 5}) {
            for (RuleChecker.Violation breach :
                    RuleChecker.check(
                            nodeEvents, withSlack(figures, slackMsByRule[rule] + maxLagMs))) {
                if (breach.rule() == rule) {
                    violations.add("node " + node + ": " + breach);
                }
            }
        }
    }

    private static void checkColdStarts(
            List<TrafficEvent> log,
            List<StatusNotice> notices,
            Map<String, Integer> nodeByTag,
            RuleChecker.Limits figures,
            double maxLagMs,
            List<String> violations) {
        List<TrafficEvent> notifiedEvents = new ArrayList<>();
        for (TrafficEvent event : log) {
            boolean attempt =
                    event.kind() == TrafficEvent.Kind.READ_IN
                            || event.kind() == TrafficEvent.Kind.WRITE_IN;
            if (event.kind() == TrafficEvent.Kind.STARTED
                    || (attempt
                            && wasNotified(
                                    notices, nodeByTag.getOrDefault(event.tag(), -1), event))) {
                notifiedEvents.add(event);
            }
        }
        for (RuleChecker.Violation breach :
                RuleChecker.check(notifiedEvents, withSlack(figures, maxLagMs))) {
            if (breach.rule() == 4) {
                violations.add(breach.toString());
            }
        }
    }

    /**
     * Whether the node had been notified of a start of the engine before the attempt; also true if
     * no node had been notified of any start.
     */
    private static boolean wasNotified(List<StatusNotice> notices, int node, TrafficEvent attempt) {
        double latestStartMs = Double.NEGATIVE_INFINITY;
        double notifiedMs = Double.NEGATIVE_INFINITY;
        for (StatusNotice notice : notices) {
            if (notice.engine == attempt.where()
                    && notice.status.equals("started")
                    && notice.ms <= attempt.ms()) {
                latestStartMs = Math.max(latestStartMs, notice.ms);
                notifiedMs = notice.node == node ? Math.max(notifiedMs, notice.ms) : notifiedMs;
            }
        }
        return latestStartMs == Double.NEGATIVE_INFINITY || notifiedMs > Double.NEGATIVE_INFINITY;
    }

    private static void checkAttemptsAfterClose(
            List<TrafficEvent> log, double maxLagMs, List<String> violations) {
        Map<String, Double> closedMsByTag = new HashMap<>();
        for (TrafficEvent event : log) {
            if (event.kind() == TrafficEvent.Kind.LEFT) {
                closedMsByTag.put(event.tag(), event.ms());
            }
        }
        for (TrafficEvent event : log) {
            Double closedMs = closedMsByTag.get(event.tag());
            if (closedMs != null
                    && (event.kind() == TrafficEvent.Kind.READ_IN
                            || event.kind() == TrafficEvent.Kind.WRITE_IN)
                    && event.ms() > closedMs + CLOSE_SLACK_MS + maxLagMs) {
                violations.add(
                        String.format(
                                Locale.ROOT,
                                "rule 1: %s: attempt arrived %.0f ms after the client disconnected",
                                event.tag(),
                                event.ms() - closedMs));
            }
        }
    }

    static RuleChecker.Limits figures(
            double drainGraceMs,
            double releaseMs,
            Map<String, TrafficClass> products,
            Map<Long, EngineProfile> profiles) {
        return new RuleChecker.Limits(drainGraceMs, releaseMs, 4, 1500, 0, products, profiles);
    }
}
