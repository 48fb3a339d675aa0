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
    private static final double MOVED_MS = 4000;

    private static final double SILENT_WATCH_MS = 6000;

    private final FaultInjectionRun rig;
    private int index = 1;
    private final List<Change> changes = new ArrayList<>();

    /** Spans in which a node's agent learns nothing, or its changes count later. */
    private final List<Quiet> quiet = new ArrayList<>();

    private final Map<Integer, String> older = new HashMap<>();

    private record Change(double ms, long engine, String word) {}

    /** What changes in the span counts as told at its end. */
    private record Quiet(int node, double fromMs, double toMs) {}

    TestEndpointLists(FaultInjectionRun rig) {
        this.rig = rig;
    }

    int index() {
        return index;
    }

    /** The whole list with the addresses that are set aside for one node. */
    String text(int node) {
        StringBuilder rows = new StringBuilder();
        for (TestEngine engine : rig.engines) {
            rows.append(rows.length() == 0 ? "" : ",")
                    .append("{\"name\":\"e")
                    .append(engine.number)
                    .append("\",\"address\":\"127.0.0.1:")
                    .append(rig.links.get(node).get((int) engine.number).port())
                    .append("\",\"zone\":\"")
                    .append(engine.make.zone())
                    .append("\",\"type\":\"")
                    .append(
                            engine.make.role() == larchridge.state.Role.READER
                                    ? "lectura"
                                    : "redaccion")
                    .append("\",\"group\":")
                    .append(engine.make.rack())
                    .append(",\"status\":\"")
                    .append(engine.status)
                    .append("\",\"weight\":1.0,\"since_ms\":")
                    .append(engine.toldSinceMs)
                    .append('}');
        }
        return "{\"index\":" + index + ",\"snapshot\":true,\"endpoints\":[" + rows + "]}";
    }

    /** The list that the node had at its last start. */
    String older(int node) {
        return older.getOrDefault(node, text(node));
    }

    /** Something about an engine has changed, and discovery has it. */
    void changed(TestEngine engine, String word) {
        index++;
        changes.add(new Change(rig.log.nowMs(), engine.number, word));
        boolean late = rig.plant == PlantedFault.DRAINS_TOLD_LATE && word.equals("draining");
        rig.in(late ? 1000 : 0, () -> rig.nodes.forEach(node -> node.agent.changed()));
    }

    /** A process of a node has started; its next start may be given the list of this one. */
    void started(TestNode node) {
        older.put(node.number, text(node.number));
    }

    void agentSilent(int node, double fromMs, double toMs) {
        quiet.add(new Quiet(node, fromMs, toMs));
    }

    void watchesBroken(int node, double fromMs, double toMs) {
        quiet.add(new Quiet(node, fromMs, toMs + SILENT_WATCH_MS));
    }

    void moved(int node, double ms) {
        quiet.add(new Quiet(node, ms, ms + MOVED_MS));
    }

    /** Whether the engine served again before a node counts as told of this change. */
    private boolean isOvertaken(Change change, double toldMs) {
        return changes.stream()
                .anyMatch(
                        later ->
                                later.engine == change.engine
                                        && later.ms > change.ms
                                        && later.ms <= toldMs
                                        && later.word.equals("ready"));
    }

    /** When each node counts as told of each change. */
    List<TrafficJudge.Told> told() {
        List<TrafficJudge.Told> all = new ArrayList<>();
        for (TestNode node : rig.nodes) {
            for (Change change : changes) {
                double ms = change.ms;
                // Late news of an engine that serves again never stands against a node that uses
                // it.
                boolean moved = !change.word.equals("ready");
                while (moved) {
                    moved = false;
                    for (Quiet span : quiet) {
                        if (span.node == node.number && ms >= span.fromMs && ms < span.toMs) {
                            ms = span.toMs;
                            moved = true;
                        }
                    }
                }
                if (!isOvertaken(change, ms)) {
                    all.add(new TrafficJudge.Told(ms, node.number, change.engine, change.word));
                }
            }
        }
        return all;
    }
}
