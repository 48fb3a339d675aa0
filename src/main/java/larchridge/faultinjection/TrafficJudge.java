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
 * Judges a run from its traffic, by the rules of the drills. Each node is judged by the requests
 * that it took and by what its own agent had told; the budget of cold engines by what all nodes
 * sent that had been told of the start. Pure functions.
 */
final class TrafficJudge {
    /**
     * Slack of a final answer, a send after a drain and a release: the platform's, and the way over
     * slow links.
     */
    private static final double ANSWER_SLACK_MS = 500;

    private static final double DRAIN_SLACK_MS = 200;
    private static final double RELEASE_SLACK_MS = 500;

    /**
     * An attempt may arrive so long after its client's close: 0.1 s by the platform, and the way
     * over slow links.
     */
    private static final double CLOSE_SLACK_MS = 350;

    /** When a node was told that an engine serves, drains, or has started. */
    record Told(double ms, int node, long engine, String word) {}

    private TrafficJudge() {}

    static List<String> judge(
            List<TrafficEvent> log,
            List<Told> told,
            int nodes,
            RuleChecker.Limits figures,
            double lateMs) {
        Map<String, Integer> nodeOf = new HashMap<>();
        for (TrafficEvent seen : log) {
            if (seen.kind() == TrafficEvent.Kind.ASKED) {
                nodeOf.put(seen.tag(), (int) seen.where());
            }
        }
        List<String> faults = new ArrayList<>();
        for (int node = 0; node < nodes; node++) {
            judgeNode(node, ofNode(log, told, nodeOf, node), figures, lateMs, faults);
        }
        judgeColdStarts(log, told, nodeOf, figures, lateMs, faults);
        judgeCloses(log, lateMs, faults);
        return faults;
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

    private static List<TrafficEvent> ofNode(
            List<TrafficEvent> log, List<Told> told, Map<String, Integer> nodeOf, int node) {
        List<TrafficEvent> own = new ArrayList<>();
        for (TrafficEvent seen : log) {
            boolean killed = seen.kind() == TrafficEvent.Kind.FRONT_KILLED && seen.where() == node;
            if (killed || (seen.tag() != null && nodeOf.getOrDefault(seen.tag(), -1) == node)) {
                own.add(seen);
            }
        }
        for (Told one : told) {
            if (one.node == node && !one.word.equals("started")) {
                own.add(
                        new TrafficEvent(
                                one.ms,
                                TrafficEvent.Kind.LISTED,
                                one.engine,
                                null,
                                null,
                                0,
                                one.word));
            }
        }
        return own;
    }

    private static void judgeNode(
            int node,
            List<TrafficEvent> own,
            RuleChecker.Limits figures,
            double lateMs,
            List<String> faults) {
        double[] slackOfRule = {0, ANSWER_SLACK_MS, 0, DRAIN_SLACK_MS, 0, RELEASE_SLACK_MS};
        for (int rule : new int[] {1, 2, 3, 5}) {
            for (RuleChecker.Violation breach :
                    RuleChecker.check(own, withSlack(figures, slackOfRule[rule] + lateMs))) {
                if (breach.rule() == rule) {
                    faults.add("node " + node + ": " + breach);
                }
            }
        }
    }

    private static void judgeColdStarts(
            List<TrafficEvent> log,
            List<Told> told,
            Map<String, Integer> nodeOf,
            RuleChecker.Limits figures,
            double lateMs,
            List<String> faults) {
        List<TrafficEvent> seenByTold = new ArrayList<>();
        for (TrafficEvent seen : log) {
            boolean attempt =
                    seen.kind() == TrafficEvent.Kind.READ_IN
                            || seen.kind() == TrafficEvent.Kind.WRITE_IN;
            if (seen.kind() == TrafficEvent.Kind.STARTED
                    || (attempt && wasTold(told, nodeOf.getOrDefault(seen.tag(), -1), seen))) {
                seenByTold.add(seen);
            }
        }
        for (RuleChecker.Violation breach :
                RuleChecker.check(seenByTold, withSlack(figures, lateMs))) {
            if (breach.rule() == 4) {
                faults.add(breach.toString());
            }
        }
    }

    /**
     * Whether a node had been told of the engine's newest start, or of none since there was none.
     */
    private static boolean wasTold(List<Told> told, int node, TrafficEvent attempt) {
        double newest = Double.NEGATIVE_INFINITY;
        double toldMs = Double.NEGATIVE_INFINITY;
        for (Told one : told) {
            if (one.engine == attempt.where()
                    && one.word.equals("started")
                    && one.ms <= attempt.ms()) {
                newest = Math.max(newest, one.ms);
                toldMs = one.node == node ? Math.max(toldMs, one.ms) : toldMs;
            }
        }
        return newest == Double.NEGATIVE_INFINITY || toldMs > Double.NEGATIVE_INFINITY;
    }

    private static void judgeCloses(List<TrafficEvent> log, double lateMs, List<String> faults) {
        Map<String, Double> left = new HashMap<>();
        for (TrafficEvent seen : log) {
            if (seen.kind() == TrafficEvent.Kind.LEFT) {
                left.put(seen.tag(), seen.ms());
            }
        }
        for (TrafficEvent seen : log) {
            Double leftMs = left.get(seen.tag());
            if (leftMs != null
                    && (seen.kind() == TrafficEvent.Kind.READ_IN
                            || seen.kind() == TrafficEvent.Kind.WRITE_IN)
                    && seen.ms() > leftMs + CLOSE_SLACK_MS + lateMs) {
                faults.add(
                        String.format(
                                Locale.ROOT,
                                "rule 1: %s: an attempt came %.0f ms after the client's close",
                                seen.tag(),
                                seen.ms() - leftMs));
            }
        }
    }

    static RuleChecker.Limits figures(
            double drainGraceMs,
            double releaseMs,
            Map<String, TrafficClass> products,
            Map<Long, EngineProfile> makes) {
        return new RuleChecker.Limits(drainGraceMs, releaseMs, 4, 1500, 0, products, makes);
    }
}
