package larchridge.faultinjection;

import java.io.IOException;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import larchridge.systemtest.TrafficEvent;

/** Begins and ends the troubles of a script. On the rig's loop. */
final class FaultInjector {
    private static final double MOST_DELAY_MS = 80;
    private static final double MOST_RESET_BYTES = 1500;
    private static final double MOST_PAUSE_MS = 150;
    private static final double LONG_PAUSE_MS = 6000;
    private static final double PAUSE_EACH_MS = 500;

    /** A start is told so much later. */
    private static final double START_TOLD_MS = 300;

    private static final double HOUR_MS = 3_600_000;

    /** After the longest deadline and 0.7 s the platform kills a node that was told to end. */
    private static final double KILLED_MS = TestSettings.LONGEST_DEADLINE_MS + 700 + 100;

    private static final int CALLS_MOST = 700;
    private static final int SHORT_MOST = 500;

    /**
     * Of the last look: when its requests begin, and the part of a node's that has to be served
     * whole.
     */
    private static final double LAST_REQUESTS_MS = 2000;

    private final FaultInjectionRun rig;

    FaultInjector(FaultInjectionRun rig) {
        this.rig = rig;
    }

    private void links(Fault trouble, FaultProxy.Fault fault, double size) {
        for (int engine : trouble.engines()) {
            rig.links.forEach(own -> own.get(engine).set(fault, size));
        }
    }

    private void engines(Fault trouble, Consumer<TestEngine> step) {
        trouble.engines().forEach(engine -> step.accept(rig.engines.get(engine)));
    }

    private void nodes(Fault trouble, Consumer<TestNode> step) {
        trouble.nodes().forEach(node -> step.accept(rig.nodes.get(node)));
    }

    void begin(Fault trouble) {
        double now = rig.log.nowMs();
        rig.log.add(
                TrafficEvent.Kind.TROUBLE, -1, null, null, trouble.lengthMs(), trouble.toString());
        switch (trouble.kind()) {
            case LINK_SILENT -> links(trouble, FaultProxy.Fault.SILENT, 0);
            case LINK_CUT -> links(trouble, FaultProxy.Fault.CUT, 0);
            case LINK_DRIBBLE -> links(trouble, FaultProxy.Fault.DRIBBLE, 0);
            case LINK_DELAY ->
                    links(trouble, FaultProxy.Fault.DELAY, 1 + trouble.size() * MOST_DELAY_MS);
            case LINK_RESET ->
                    links(trouble, FaultProxy.Fault.RESET, trouble.size() * MOST_RESET_BYTES);
            case LINK_CLOSE_CROSSING ->
                    links(trouble, FaultProxy.Fault.CLOSE_CROSSING, 0.2 + 0.8 * trouble.size());
            case ENGINE_RESTART -> engines(trouble, this::restart);
            case ENGINE_DRAIN -> engines(trouble, engine -> status(engine, "DRAINING", "draining"));
            case ENGINE_HANG -> engines(trouble, engine -> engine.mood = TestEngine.Mood.HANGS);
            case ENGINE_ERRORS ->
                    engines(
                            trouble,
                            engine ->
                                    engine.mood =
                                            trouble.size() < 0.5
                                                    ? TestEngine.Mood.ERRS
                                                    : TestEngine.Mood.DECLINES);
            case AGENT_SILENT ->
                    nodes(
                            trouble,
                            node -> {
                                node.agent.mood(TestDiscoveryAgent.Mood.SILENT);
                                rig.lists.agentSilent(node.number, now, now + trouble.lengthMs());
                            });
            case AGENT_RESET ->
                    nodes(
                            trouble,
                            node -> {
                                node.agent.mood(TestDiscoveryAgent.Mood.RESETS);
                                rig.lists.agentSilent(node.number, now, now + trouble.lengthMs());
                            });
            case AGENT_PIECES ->
                    nodes(
                            trouble,
                            node -> {
                                node.agent.mood(TestDiscoveryAgent.Mood.PIECES);
                                rig.lists.watchesBroken(node.number, now, now + trouble.lengthMs());
                            });
            case NODE_TERM -> nodes(trouble, this::terminate);
            case NODE_KILL -> nodes(trouble, this::kill);
            case NODE_PAUSE ->
                    nodes(trouble, node -> pause(node, trouble, now + trouble.lengthMs()));
            case CONFIG_MOVE -> nodes(trouble, node -> move(node, false));
            case CONFIG_BROKEN -> nodes(trouble, node -> move(node, true));
            case CLIENT_LEAVES -> rig.clients.leaving(true);
            case CLIENT_STOPS -> nodes(trouble, rig.clients::stopInTheMiddle);
            case CLIENT_CROWD ->
                    nodes(trouble, node -> rig.clients.crowd(node, trouble.lengthMs()));
            case CALLS_FAIL ->
                    shims(
                            trouble,
                            shim ->
                                    shim.failCalls(
                                            rig.plant == PlantedFault.CALLS_STAY_BROKEN
                                                    ? 1000
                                                    : 50
                                                            + (int)
                                                                    (trouble.size()
                                                                            * (CALLS_MOST - 50)),
                                            (int) (trouble.size() * 1000)));
            case CALLS_SHORT ->
                    shims(trouble, shim -> shim.shorten((int) (trouble.size() * SHORT_MOST)));
            case CLOCK_STEP ->
                    shims(
                            trouble,
                            shim ->
                                    shim.stepWallClock(
                                            (long) ((2 * trouble.size() - 1) * HOUR_MS)));
            default -> throw new IllegalStateException(trouble.kind().name());
        }
    }

    void end(Fault trouble) {
        switch (trouble.kind()) {
            case LINK_SILENT, LINK_CUT, LINK_DRIBBLE, LINK_DELAY, LINK_RESET, LINK_CLOSE_CROSSING ->
                    links(trouble, FaultProxy.Fault.NONE, 0);
            case ENGINE_DRAIN -> engines(trouble, engine -> status(engine, "SERVING", "ready"));
            case ENGINE_HANG, ENGINE_ERRORS ->
                    engines(trouble, engine -> engine.mood = TestEngine.Mood.GOOD);
            case AGENT_SILENT, AGENT_RESET, AGENT_PIECES ->
                    nodes(
                            trouble,
                            node -> {
                                node.agent.mood(TestDiscoveryAgent.Mood.GOOD);
                                node.agent.changed();
                            });
            case CLIENT_LEAVES -> rig.clients.leaving(false);
            case CALLS_FAIL -> {
                if (rig.plant != PlantedFault.CALLS_STAY_BROKEN) {
                    shims(trouble, shim -> shim.failCalls(0, 0));
                }
            }
            case CALLS_SHORT -> shims(trouble, shim -> shim.shorten(0));
            case CLOCK_STEP -> shims(trouble, shim -> shim.stepWallClock(0));
            default -> {}
        }
    }

    private void shims(Fault trouble, Consumer<SystemCallShim> step) {
        nodes(
                trouble,
                node -> {
                    if (node.shim != null) {
                        step.accept(node.shim);
                    }
                });
    }

    private void status(TestEngine engine, String status, String word) {
        engine.status = status;
        rig.lists.changed(engine, word);
    }

    private void restart(TestEngine engine) {
        engine.restart();
        rig.in(
                START_TOLD_MS,
                () -> {
                    engine.toldSinceMs =
                            rig.plant == PlantedFault.COLD_STARTS_HIDDEN ? 0 : engine.sinceMs;
                    rig.lists.changed(engine, "started");
                });
    }

    private void terminate(TestNode node) {
        if (node.state != TestNode.State.UP) {
            return;
        }
        if (rig.plant == PlantedFault.KILLED_FOR_TERM) {
            node.terminatedMs = rig.log.nowMs();
            node.kill();
            return;
        }
        int life = node.starts;
        node.terminate(rig.log.nowMs());
        rig.in(
                KILLED_MS,
                () -> {
                    if (node.starts == life && node.isAlive()) {
                        node.kill();
                    }
                });
    }

    private void kill(TestNode node) {
        if (node.state != TestNode.State.UP && node.state != TestNode.State.TERMINATING) {
            return;
        }
        if (rig.plant != PlantedFault.CRASHES) {
            rig.log.add(TrafficEvent.Kind.FRONT_KILLED, node.number, null, null, 0, null);
            node.kill();
        } else {
            node.signal("KILL");
        }
    }

    /**
     * Stops the process for a moment, again and again. Signals are sent off the loop, one after the
     * other.
     */
    private void pause(TestNode node, Fault trouble, double untilMs) {
        double ms =
                rig.plant == PlantedFault.LONG_PAUSES
                        ? LONG_PAUSE_MS
                        : trouble.size() * MOST_PAUSE_MS;
        rig.signals.execute(() -> node.signal("STOP"));
        rig.signals.schedule(() -> node.signal("CONT"), (long) (ms * 1000), TimeUnit.MICROSECONDS);
        rig.in(
                PAUSE_EACH_MS + ms,
                () -> {
                    if (rig.log.nowMs() < untilMs) {
                        pause(node, trouble, untilMs);
                    }
                });
    }

    private void move(TestNode node, boolean broken) {
        rig.lists.moved(node.number, rig.log.nowMs());
        node.agent.move(
                () -> {
                    try {
                        node.configure(rig.lists.text(node.number));
                        if (rig.plant == PlantedFault.NO_SIGNAL) {
                            return;
                        }
                        if (broken) {
                            node.breakConfiguration();
                            rig.signals.execute(() -> node.signal("HUP"));
                            rig.in(150, () -> repair(node));
                        }
                        rig.signals.execute(() -> node.signal("HUP"));
                    } catch (IOException e) {
                        throw new IllegalStateException(e);
                    }
                });
    }

    private void repair(TestNode node) {
        try {
            node.configure(rig.lists.text(node.number));
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    // ------------------------------------------------------------------ the last look

    /**
     * All troubles are over: an engine drains, so that a node that follows no list is seen, and
     * each node gets requests of its own, which it has to serve.
     */
    void lastLook() {
        for (TestEngine engine : rig.engines) {
            engine.mood = TestEngine.Mood.GOOD;
        }
        status(rig.engines.get(0), "DRAINING", "draining");
        rig.in(
                LAST_REQUESTS_MS,
                () -> {
                    for (TestNode node : rig.nodes) {
                        if (node.state == TestNode.State.UP) {
                            rig.clients.lastLook(
                                    node,
                                    served -> {
                                        if (!served) {
                                            rig.faults.add(
                                                    "node "
                                                            + node.number
                                                            + ": serves nothing after all troubles are over");
                                        }
                                    });
                        } else {
                            rig.faults.add(
                                    "node "
                                            + node.number
                                            + ": is not up after all troubles are over");
                        }
                    }
                });
    }
}
