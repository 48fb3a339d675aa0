package larchridge.faultinjection;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The engine lists as discovery has them, and when each node counts as told of a change. On the
 * rig's loop.
 */
final class TestEndpointLists {
    /**
     * A new configuration counts so much later, and a watch that fell silent so much after that.
     */
    private static final double MOVE_GRACE_MS = 4000;

    private static final double BROKEN_WATCH_GRACE_MS = 6000;

    private final FaultInjectionRun run;
    private int index = 1;
    private final List<Change> changes = new ArrayList<>();

    /** Spans in which a node's agent learns nothing, or its changes count later. */
    private final List<DelayedSpan> delayedSpans = new ArrayList<>();

    private final Map<Integer, String> listAtStart = new HashMap<>();

    private record Change(double ms, long engine, String status) {}

    /** What changes in the span counts as told at its end. */
    private record DelayedSpan(int node, double fromMs, double toMs) {}

    TestEndpointLists(FaultInjectionRun run) {
        this.run = run;
    }

    int index() {
        return index;
    }

    /** The whole list with the addresses that are set aside for one node. */
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

    /** The list that the node had at its last start. */
    String previousListJson(int node) {
        return listAtStart.getOrDefault(node, listJson(node));
    }

    /** Something about an engine has changed, and discovery has it. */
    void recordChange(TestEngine engine, String status) {
        index++;
        changes.add(new Change(run.log.now(), engine.number, status));
        boolean delayed = run.plantedFault == PlantedFault.DRAINS_TOLD_LATE && status.equals("draining");
        run.schedule(delayed ? 1000 : 0, () -> run.nodes.forEach(node -> node.agent.notifyWatches()));
    }

    /** A process of a node has started; its next start may be given the list of this one. */
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

    /** Whether the engine served again before a node counts as told of this change. */
    private boolean isSuperseded(Change change, double notifiedMs) {
        return changes.stream()
                .anyMatch(
                        later ->
                                later.engine == change.engine
                                        && later.ms > change.ms
                                        && later.ms <= notifiedMs
                                        && later.status.equals("ready"));
    }

    /** When each node counts as told of each change. */
    List<TrafficChecker.StatusNotice> notices() {
        List<TrafficChecker.StatusNotice> notices = new ArrayList<>();
        for (TestNode node : run.nodes) {
            for (Change change : changes) {
                double ms = change.ms;
                // Late news of an engine that serves again never stands against a node that uses
                // it.
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
                    notices.add(new TrafficChecker.StatusNotice(ms, node.number, change.engine, change.status));
                }
            }
        }
        return notices;
    }
}
