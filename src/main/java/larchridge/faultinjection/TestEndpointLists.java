package larchridge.faultinjection;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The endpoint lists of service discovery, and the time at which each node counts as notified of a
 * change. All methods run on the event loop of the test harness.
 */
final class TestEndpointLists {
    /**
     * After a move of the agent, and after a fault that can leave a watch without responses,
     * changes count as delivered only after these delays.
     */
    private static final double MOVE_GRACE_MS = 4000;

    private static final double BROKEN_WATCH_GRACE_MS = 6000;

    private final FaultInjectionRun run;
    private int index = 1;
    private final List<Change> changes = new ArrayList<>();

    /** Intervals in which a node receives no changes, or in which they count as delivered later. */
    private final List<DelayedSpan> delayedSpans = new ArrayList<>();

    private final Map<Integer, String> listAtStart = new HashMap<>();

    private record Change(double ms, long engine, String status) {}

    /** A change within the interval counts as delivered at its end. */
    private record DelayedSpan(int node, double fromMs, double toMs) {}

    TestEndpointLists(FaultInjectionRun run) {
        this.run = run;
    }

    int index() {
        return index;
    }

    /** Returns the complete list, with the proxy addresses of one node. */
    String listJson(int node) {
        StringBuilder rows = new StringBuilder();
        for (TestEngine engine : run.engines) {
            rows.append(rows.length() == 0 ? "" : ",")
                    .append("{\"name\":\"e")
                    .append(engine.number)
                    .append("\",\"address\":\"127.0.0.1:")
                    .append(run.proxies.get(node).get((int) engine.number).port())
                    .append("\",\"zone\":\"")
                    .append(engine.profile.zone())
                    .append("\",\"type\":\"")
                    .append(
                            engine.profile.role() == larchridge.state.Role.READER
                                    ? "lectura"
                                    : "redaccion")
                    .append("\",\"group\":")
                    .append(engine.profile.rack())
                    .append(",\"status\":\"")
                    .append(engine.status)
                    .append("\",\"weight\":1.0,\"since_ms\":")
                    .append(engine.announcedStartTimeMs)
                    .append('}');
        }
        return "{\"index\":" + index + ",\"snapshot\":true,\"endpoints\":[" + rows + "]}";
    }

    /** Returns the list from the last start of the node. */
    String previousListJson(int node) {
        return listAtStart.getOrDefault(node, listJson(node));
    }

    /** Records a change of an engine that service discovery now publishes. */
    void recordChange(TestEngine engine, String status) {
        index++;
        changes.add(new Change(run.log.nowMs(), engine.number, status));
        boolean delayed =
                run.plantedFault == PlantedFault.DRAINS_TOLD_LATE && status.equals("draining");
        run.schedule(
                delayed ? 1000 : 0, () -> run.nodes.forEach(node -> node.agent.notifyWatches()));
    }

    /**
     * Records the start of a node process. The next start may use the list of this one, which is
     * then stale.
     */
    void recordStart(TestNode node) {
        listAtStart.put(node.number, listJson(node.number));
    }

    void recordAgentSilence(int node, double fromMs, double toMs) {
        delayedSpans.add(new DelayedSpan(node, fromMs, toMs));
    }

    void recordBrokenWatches(int node, double fromMs, double toMs) {
        delayedSpans.add(new DelayedSpan(node, fromMs, toMs + BROKEN_WATCH_GRACE_MS));
    }

    void recordMove(int node, double ms) {
        delayedSpans.add(new DelayedSpan(node, ms, ms + MOVE_GRACE_MS));
    }

    /** Whether the engine was ready again before the node counts as notified of this change. */
    private boolean isSuperseded(Change change, double notifiedMs) {
        return changes.stream()
                .anyMatch(
                        later ->
                                later.engine == change.engine
                                        && later.ms > change.ms
                                        && later.ms <= notifiedMs
                                        && later.status.equals("ready"));
    }

    /** Returns when each node counts as notified of each change. */
    List<TrafficChecker.StatusNotice> notices() {
        List<TrafficChecker.StatusNotice> notices = new ArrayList<>();
        for (TestNode node : run.nodes) {
            for (Change change : changes) {
                double ms = change.ms;
                // Notices that an engine is ready are never delayed: a late one must not count
                // against a node that already uses the engine again.
                boolean extended = !change.status.equals("ready");
                while (extended) {
                    extended = false;
                    for (DelayedSpan span : delayedSpans) {
                        if (span.node == node.number && ms >= span.fromMs && ms < span.toMs) {
                            ms = span.toMs;
                            extended = true;
                        }
                    }
                }
                if (!isSuperseded(change, ms)) {
                    notices.add(
                            new TrafficChecker.StatusNotice(
                                    ms, node.number, change.engine, change.status));
                }
            }
        }
        return notices;
    }
}
