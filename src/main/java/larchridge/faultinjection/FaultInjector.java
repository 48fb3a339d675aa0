package larchridge.faultinjection;

import java.io.IOException;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import larchridge.systemtest.TrafficEvent;

/**
 * Starts and stops the faults of a script. All methods run on the event loop of the test harness.
 */
final class FaultInjector {
    private static final double MAX_DELAY_MS = 80;
    private static final double MAX_RESET_BYTES = 1500;
    private static final double MAX_PAUSE_MS = 150;
    private static final double LONG_PAUSE_MS = 6000;
    private static final double PAUSE_INTERVAL_MS = 500;

    /** The restart of an engine appears in the endpoint lists after this delay. */
    private static final double START_ANNOUNCEMENT_DELAY_MS = 300;

    private static final double MAX_CLOCK_STEP_MS = 3_600_000;

    /** The platform kills a terminating node 0.7 s after the longest request deadline. */
    private static final double KILL_DELAY_MS = TestSettings.LONGEST_DEADLINE_MS + 700 + 100;

    private static final int MAX_FAILURES_PER_MILLE = 700;
    private static final int MAX_SHORT_CALLS_PER_MILLE = 500;

    /** Delay between the drain and the requests of the recovery check. */
    private static final double RECOVERY_REQUESTS_DELAY_MS = 2000;

    private final FaultInjectionRun run;

    FaultInjector(FaultInjectionRun run) {
        this.run = run;
    }

    private void setLinkFault(Fault fault, FaultProxy.LinkFault linkFault, double size) {
        for (int engine : fault.engines()) {
            run.proxies.forEach(nodeProxies -> nodeProxies.get(engine).set(linkFault, size));
        }
    }

    private void forEngines(Fault fault, Consumer<TestEngine> action) {
        fault.engines().forEach(engine -> action.accept(run.engines.get(engine)));
    }

    private void forNodes(Fault fault, Consumer<TestNode> action) {
        fault.nodes().forEach(node -> action.accept(run.nodes.get(node)));
    }

    void start(Fault fault) {
        double now = run.log.nowMs();
        run.log.add(TrafficEvent.Kind.TROUBLE, -1, null, null, fault.lengthMs(), fault.toString());
        switch (fault.kind()) {
            case LINK_SILENT -> setLinkFault(fault, FaultProxy.LinkFault.SILENT, 0);
            case LINK_CUT -> setLinkFault(fault, FaultProxy.LinkFault.CUT, 0);
            case LINK_DRIBBLE -> setLinkFault(fault, FaultProxy.LinkFault.DRIBBLE, 0);
            case LINK_DELAY ->
                    setLinkFault(
                            fault, FaultProxy.LinkFault.DELAY, 1 + fault.size() * MAX_DELAY_MS);
            case LINK_RESET ->
                    setLinkFault(fault, FaultProxy.LinkFault.RESET, fault.size() * MAX_RESET_BYTES);
            case LINK_CLOSE_CROSSING ->
                    setLinkFault(
                            fault, FaultProxy.LinkFault.CLOSE_CROSSING, 0.2 + 0.8 * fault.size());
            case ENGINE_RESTART -> forEngines(fault, this::restart);
            case ENGINE_DRAIN ->
                    forEngines(fault, engine -> setStatus(engine, "DRAINING", "draining"));
            case ENGINE_HANG ->
                    forEngines(fault, engine -> engine.behavior = TestEngine.Behavior.HANGING);
            case ENGINE_ERRORS ->
                    forEngines(
                            fault,
                            engine ->
                                    engine.behavior =
                                            fault.size() < 0.5
                                                    ? TestEngine.Behavior.FAILING
                                                    : TestEngine.Behavior.DECLINING);
            case AGENT_SILENT ->
                    forNodes(
                            fault,
                            node -> {
                                node.agent.setBehavior(TestDiscoveryAgent.Behavior.SILENT);
                                run.endpointLists.recordAgentSilence(
                                        node.number, now, now + fault.lengthMs());
                            });
            case AGENT_RESET ->
                    forNodes(
                            fault,
                            node -> {
                                node.agent.setBehavior(TestDiscoveryAgent.Behavior.RESETTING);
                                run.endpointLists.recordAgentSilence(
                                        node.number, now, now + fault.lengthMs());
                            });
            case AGENT_PIECES ->
                    forNodes(
                            fault,
                            node -> {
                                node.agent.setBehavior(TestDiscoveryAgent.Behavior.FRAGMENTED);
                                run.endpointLists.recordBrokenWatches(
                                        node.number, now, now + fault.lengthMs());
                            });
            case NODE_TERM -> forNodes(fault, this::terminate);
            case NODE_KILL -> forNodes(fault, this::kill);
            case NODE_PAUSE -> forNodes(fault, node -> pause(node, fault, now + fault.lengthMs()));
            case CONFIG_MOVE -> forNodes(fault, node -> moveDiscovery(node, false));
            case CONFIG_BROKEN -> forNodes(fault, node -> moveDiscovery(node, true));
            case CLIENT_LEAVES -> run.clients.setDisconnecting(true);
            case CLIENT_STOPS -> forNodes(fault, run.clients::startStalledClients);
            case CLIENT_CROWD ->
                    forNodes(
                            fault, node -> run.clients.openIdleConnections(node, fault.lengthMs()));
            case CALLS_FAIL ->
                    forShims(
                            fault,
                            shim ->
                                    shim.failCalls(
                                            run.plantedFault == PlantedFault.CALLS_STAY_BROKEN
                                                    ? 1000
                                                    : 50
                                                            + (int)
                                                                    (fault.size()
                                                                            * (MAX_FAILURES_PER_MILLE
                                                                                    - 50)),
                                            (int) (fault.size() * 1000)));
            case CALLS_SHORT ->
                    forShims(
                            fault,
                            shim ->
                                    shim.shortenCalls(
                                            (int) (fault.size() * MAX_SHORT_CALLS_PER_MILLE)));
            case CLOCK_STEP ->
                    forShims(
                            fault,
                            shim ->
                                    shim.setWallClockOffset(
                                            (long) ((2 * fault.size() - 1) * MAX_CLOCK_STEP_MS)));
            default -> throw new IllegalStateException(fault.kind().name());
        }
    }

    void stop(Fault fault) {
        switch (fault.kind()) {
            case LINK_SILENT, LINK_CUT, LINK_DRIBBLE, LINK_DELAY, LINK_RESET, LINK_CLOSE_CROSSING ->
                    setLinkFault(fault, FaultProxy.LinkFault.NONE, 0);
            case ENGINE_DRAIN -> forEngines(fault, engine -> setStatus(engine, "SERVING", "ready"));
            case ENGINE_HANG, ENGINE_ERRORS ->
                    forEngines(fault, engine -> engine.behavior = TestEngine.Behavior.NORMAL);
            case AGENT_SILENT, AGENT_RESET, AGENT_PIECES ->
                    forNodes(
                            fault,
                            node -> {
                                node.agent.setBehavior(TestDiscoveryAgent.Behavior.NORMAL);
                                node.agent.notifyWatches();
                            });
            case CLIENT_LEAVES -> run.clients.setDisconnecting(false);
            case CALLS_FAIL -> {
                if (run.plantedFault != PlantedFault.CALLS_STAY_BROKEN) {
                    forShims(fault, shim -> shim.failCalls(0, 0));
                }
            }
            case CALLS_SHORT -> forShims(fault, shim -> shim.shortenCalls(0));
            case CLOCK_STEP -> forShims(fault, shim -> shim.setWallClockOffset(0));
            default -> {}
        }
    }

    private void forShims(Fault fault, Consumer<SystemCallShim> action) {
        forNodes(
                fault,
                node -> {
                    if (node.shim != null) {
                        action.accept(node.shim);
                    }
                });
    }

    private void setStatus(TestEngine engine, String status, String announcedStatus) {
        engine.status = status;
        run.endpointLists.recordChange(engine, announcedStatus);
    }

    private void restart(TestEngine engine) {
        engine.restart();
        run.schedule(
                START_ANNOUNCEMENT_DELAY_MS,
                () -> {
                    engine.announcedStartTimeMs =
                            run.plantedFault == PlantedFault.COLD_STARTS_HIDDEN
                                    ? 0
                                    : engine.startTimeMs;
                    run.endpointLists.recordChange(engine, "started");
                });
    }

    private void terminate(TestNode node) {
        if (node.state != TestNode.State.UP) {
            return;
        }
        if (run.plantedFault == PlantedFault.KILLED_FOR_TERM) {
            node.terminatedMs = run.log.nowMs();
            node.kill();
            return;
        }
        int startCount = node.startCount;
        node.terminate(run.log.nowMs());
        run.schedule(
                KILL_DELAY_MS,
                () -> {
                    if (node.startCount == startCount && node.isAlive()) {
                        node.kill();
                    }
                });
    }

    private void kill(TestNode node) {
        if (node.state != TestNode.State.UP && node.state != TestNode.State.TERMINATING) {
            return;
        }
        if (run.plantedFault != PlantedFault.CRASHES) {
            run.log.add(TrafficEvent.Kind.FRONT_KILLED, node.number, null, null, 0, null);
            node.kill();
        } else {
            node.sendSignal("KILL");
        }
    }

    /**
     * Pauses the process repeatedly. Signals are sent from another thread, one at a time, since
     * sending one blocks.
     */
    private void pause(TestNode node, Fault fault, double untilMs) {
        double ms =
                run.plantedFault == PlantedFault.LONG_PAUSES
                        ? LONG_PAUSE_MS
                        : fault.size() * MAX_PAUSE_MS;
        run.signalExecutor.execute(() -> node.sendSignal("STOP"));
        run.signalExecutor.schedule(
                () -> node.sendSignal("CONT"), (long) (ms * 1000), TimeUnit.MICROSECONDS);
        run.schedule(
                PAUSE_INTERVAL_MS + ms,
                () -> {
                    if (run.log.nowMs() < untilMs) {
                        pause(node, fault, untilMs);
                    }
                });
    }

    private void moveDiscovery(TestNode node, boolean broken) {
        run.endpointLists.recordMove(node.number, run.log.nowMs());
        node.agent.moveAddress(
                () -> {
                    try {
                        node.configure(run.endpointLists.listJson(node.number));
                        if (run.plantedFault == PlantedFault.NO_SIGNAL) {
                            return;
                        }
                        if (broken) {
                            node.breakConfiguration();
                            run.signalExecutor.execute(() -> node.sendSignal("HUP"));
                            run.schedule(150, () -> restoreConfiguration(node));
                        }
                        run.signalExecutor.execute(() -> node.sendSignal("HUP"));
                    } catch (IOException e) {
                        throw new IllegalStateException(e);
                    }
                });
    }

    private void restoreConfiguration(TestNode node) {
        try {
            node.configure(run.endpointLists.listJson(node.number));
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    // ------------------------------------------------------------------ recovery check

    /**
     * Checks the recovery after the last fault. One engine drains, which exposes a node that no
     * longer follows the endpoint lists, and each node receives requests of its own, at least one
     * of which it has to complete.
     */
    void checkRecovery() {
        for (TestEngine engine : run.engines) {
            engine.behavior = TestEngine.Behavior.NORMAL;
        }
        setStatus(run.engines.get(0), "DRAINING", "draining");
        run.schedule(
                RECOVERY_REQUESTS_DELAY_MS,
                () -> {
                    for (TestNode node : run.nodes) {
                        if (node.state == TestNode.State.UP) {
                            run.clients.checkServing(
                                    node,
                                    served -> {
                                        if (!served) {
                                            run.violations.add(
                                                    "node "
                                                            + node.number
                                                            + ": no request served after faults");
                                        }
                                    });
                        } else {
                            run.violations.add("node " + node.number + ": not ready after faults");
                        }
                    }
                });
    }
}
