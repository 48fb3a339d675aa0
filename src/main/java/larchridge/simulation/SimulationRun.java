package larchridge.simulation;

import io.micrometer.core.instrument.composite.CompositeMeterRegistry;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import larchridge.budget.BudgetDecision;
import larchridge.emulator.EngineModel;
import larchridge.emulator.Prompt;
import larchridge.metrics.RouterMetrics;
import larchridge.policy.PolicyEvents;
import larchridge.policy.RoutingPolicy;
import larchridge.router.GenerationRequest;
import larchridge.router.InFlightRequest;
import larchridge.router.ResponseSink;
import larchridge.router.Router;
import larchridge.router.VirtualTimeScheduler;
import larchridge.site.InvalidSiteException;
import larchridge.site.Site;
import larchridge.site.SiteReader;
import larchridge.systemtest.ResultCounts;
import larchridge.systemtest.RuleChecker;
import larchridge.systemtest.SystemTest;
import larchridge.systemtest.TestScript;
import larchridge.systemtest.TrafficEvent;
import larchridge.upstream.AnswerSummary;
import larchridge.upstream.AttemptRequest;

/**
 * Runs a system test script in virtual time, with real routers and routing policies over emulated
 * engines. Runs with the same seed are identical to the byte. As in system tests over sockets,
 * rules are checked and results are counted from the events at clients and engines. Not supported:
 * batches, killed processes, and faults of the communication itself (torn, garbled, lag, bad_list).
 */
public final class SimulationRun {
    /** Time after the end of the load until the run ends. */
    private static final double SETTLE_MS = 15_000;

    /** One-way latency between a client and a router. */
    private static final double CLIENT_LATENCY_MS = 0.3;

    private static final int MAX_SESSIONS = 500;

    /** How long engines know the prompt of a request after it reached its router. */
    private static final double REQUEST_RETENTION_MS = 30_000;

    /** How many times as long a step takes at an engine that stalls. */
    private static final int STALL_FACTOR = 20;

    /**
     * The result of a run.
     *
     * @param events all events, in order
     * @param breaches the rules that were broken
     * @param rows results in total and by product, tenant and fault
     * @param engineTotals the totals of each engine since its last start
     * @param digest a digest of all events
     * @param tasksRun number of scheduled tasks that ran
     * @param virtualMs simulated duration
     * @param realMs duration of the simulation itself
     */
    public record Result(
            List<TrafficEvent> events,
            List<RuleChecker.Violation> breaches,
            List<ResultCounts.Row> rows,
            List<EngineModel.Totals> engineTotals,
            String digest,
            long tasksRun,
            double virtualMs,
            double realMs) {
        /** The results of the whole run. */
        public ResultCounts.Row overall() {
            return rows.get(0);
        }
    }

    private final TestScript script;
    private final VirtualTimeScheduler scheduler = new VirtualTimeScheduler();
    private final SimulationLog log = new SimulationLog(scheduler);
    private final SimulatedCluster cluster;
    private final Site site;
    private final List<Router> routers = new ArrayList<>();
    private final Random random;
    private final List<Session> sessions = new ArrayList<>();
    private double rateFactor = 1;
    private long operationCount;
    private long promptCount;

    /** A conversation: each answered turn extends the prompt of the next one. */
    private static final class Session {
        final TestScript.ProductLoad mix;
        final String tenant;
        final int prefix;
        final List<Long> segmentIds = new ArrayList<>();
        final List<Integer> segmentTokens = new ArrayList<>();
        String lastTurnDigest;
        final String id;
        int remainingTurns;

        Session(TestScript.ProductLoad mix, String tenant, int prefix, int turns, String id) {
            this.mix = mix;
            this.tenant = tenant;
            this.prefix = prefix;
            this.id = id;
            remainingTurns = turns;
        }
    }

    private SimulationRun(TestScript script, PolicyEvents.Factory policyFactory) {
        this.script = script;
        random = new Random(script.seed());
        cluster = new SimulatedCluster(scheduler, log, SystemTest.profiles(script), script.seed());
        try {
            site =
                    SiteReader.read(
                            "drill",
                            "listen { host: \"127.0.0.1\" port: 0 }\nseed: "
                                    + Math.max(1, script.seed())
                                    + "\nfronts: 1\nfronts_of_service: "
                                    + script.routers()
                                    + "\n"
                                    + SystemTest.siteText(script.withoutBatches()),
                            null);
        } catch (InvalidSiteException e) {
            throw new IllegalStateException(
                    "the generated site configuration is invalid: " + e.getMessage(), e);
        }
        String zone = script.engines().get(0).zones().get(0);
        for (int i = 0; i < script.routers(); i++) {
            // The routers' metrics are not read; the results come from the event log.
            routers.add(
                    new Router(
                            scheduler.routerScheduler(i, script.seed()),
                            site,
                            i,
                            cluster.upstreamClient(zone),
                            new RouterMetrics(new CompositeMeterRegistry()),
                            policyFactory));
        }
    }

    /** Runs a script with the routing policy of this program. */
    public static Result simulate(TestScript script) {
        return simulate(script, RoutingPolicy::new);
    }

    /** Runs a script with the routing policy that this factory creates. */
    public static Result simulate(TestScript script, PolicyEvents.Factory policyFactory) {
        return new SimulationRun(script, policyFactory).run();
    }

    private Result run() {
        long startNanos = System.nanoTime();
        publishEndpoints();
        for (TestScript.Trouble fault : script.faults()) {
            scheduler.schedule(fault.atMs(), () -> startFault(fault));
        }
        scheduleNextOperation();
        double endMs = script.durationMs() + SETTLE_MS;
        scheduler.run(endMs);
        double realMs = (System.nanoTime() - startNanos) / 1e6;
        List<TrafficEvent> events = log.events();
        return new Result(
                events,
                RuleChecker.check(events, SystemTest.ruleLimits(script)),
                ResultCounts.summarize(events, script),
                cluster.totals(),
                log.digest(),
                scheduler.tasksRun(),
                endMs,
                realMs);
    }

    private void publishEndpoints() {
        routers.forEach(router -> router.endpointsChanged(cluster.engineEntries()));
    }

    // ------------------------------------------------------------------ load

    private void scheduleNextOperation() {
        if (scheduler.elapsedMs() >= script.durationMs()) {
            return;
        }
        scheduler.schedule(
                -Math.log(1 - random.nextDouble())
                        * 1000
                        / (script.requestsPerSecond() * rateFactor),
                () -> {
                    if (scheduler.elapsedMs() < script.durationMs()) {
                        startOperation();
                        scheduleNextOperation();
                    }
                });
    }

    private void startOperation() {
        Session session = pickSession();
        String name = "op" + ++operationCount;
        boolean nonStreaming = random.nextDouble() < script.clients().nonStreamingShare();
        int answerTokens = 1 + (int) (session.mix.outputTokens() * (0.5 + random.nextDouble()));
        int promptTokens =
                Math.max(
                        1,
                        session.mix.promptTokens() / 2
                                + random.nextInt(session.mix.promptTokens() + 1));
        new ClientRequest(
                        session,
                        name,
                        0,
                        ++promptCount,
                        promptTokens,
                        nonStreaming,
                        answerTokens,
                        random.nextInt(routers.size()))
                .send();
    }

    private Session pickSession() {
        TestScript.ProductLoad mix = script.randomProduct(random);
        TestScript.Tenant tenant = script.randomTenant(random);
        if (random.nextDouble() < 1 - 1 / mix.turns()) {
            for (int i = 0; i < sessions.size(); i++) {
                Session candidate = sessions.get(i);
                if (candidate.mix.equals(mix) && candidate.tenant.equals(tenant.name())) {
                    return sessions.remove(i);
                }
            }
        }
        int turns = (int) Math.max(1, Math.round(mix.turns() * (0.5 + random.nextDouble())));
        return new Session(
                mix, tenant.name(), random.nextInt(mix.prefixes()), turns, "s" + operationCount);
    }

    /** The client side of one try of an operation; a retry is another request. */
    private final class ClientRequest implements ResponseSink {
        private final Session session;
        private final String operation;
        private final int tryNumber;
        private final long promptId;
        private final int promptTokens;
        private final boolean nonStreaming;
        private final int answerTokens;
        private final int routerIndex;
        private final String tag;
        private InFlightRequest inFlight;
        private boolean started;
        private boolean finished;
        private boolean disconnected;
        private int tokensReceived;

        ClientRequest(
                Session session,
                String operation,
                int tryNumber,
                long promptId,
                int promptTokens,
                boolean nonStreaming,
                int answerTokens,
                int routerIndex) {
            this.session = session;
            this.operation = operation;
            this.tryNumber = tryNumber;
            this.promptId = promptId;
            this.promptTokens = promptTokens;
            this.nonStreaming = nonStreaming;
            this.answerTokens = answerTokens;
            this.routerIndex = routerIndex;
            tag = operation + "#" + tryNumber;
        }

        void send() {
            TestScript.ProductLoad mix = session.mix;
            log.add(
                    TrafficEvent.Kind.ASKED,
                    routerIndex,
                    session.tenant,
                    tag,
                    mix.timeLimitMs(),
                    mix.name());
            scheduler.schedule(CLIENT_LATENCY_MS, this::arriveAtRouter);
            if (random.nextDouble() < script.clients().disconnectShare()) {
                scheduler.schedule(1 + random.nextInt((int) mix.timeLimitMs()), this::disconnect);
            }
        }

        private void arriveAtRouter() {
            Router router = routers.get(routerIndex);
            if (!router.tryAdmitExchange()) {
                recordFinal("throttled");
                return;
            }
            TestScript.ProductLoad mix = session.mix;
            int sharedTokens = mix.sharedTokens();
            List<Long> segmentIds = new ArrayList<>();
            List<Integer> segmentTokens = new ArrayList<>();
            if (sharedTokens > 0) {
                segmentIds.add((long) mix.name().hashCode() * 1000 + session.prefix);
                segmentTokens.add(sharedTokens);
            }
            segmentIds.addAll(session.segmentIds);
            segmentTokens.addAll(session.segmentTokens);
            segmentIds.add(1L << 40 | promptId);
            segmentTokens.add(promptTokens);
            Prompt prompt =
                    Prompt.of(
                            segmentIds.stream().mapToLong(Long::longValue).toArray(),
                            segmentTokens.stream().mapToInt(Integer::intValue).toArray(),
                            SimulatedCluster.blockTokens());
            String promptText = tag;
            cluster.registerRequest(
                    promptText, new SimulatedCluster.SimulatedRequest(prompt, answerTokens, tag));
            scheduler.schedule(REQUEST_RETENTION_MS, () -> cluster.unregisterRequest(promptText));
            GenerationRequest request =
                    GenerationRequest.builder()
                            .offering(
                                    site.offeringsByModel.get(mix.name()),
                                    site.tenantByName(session.tenant))
                            .model(mix.name())
                            .prompt(promptText, prompt.tokens)
                            .sharedPrefix(
                                    sharedTokens > 0 ? mix.name() + session.prefix : null,
                                    sharedTokens)
                            .limits(2 * mix.outputTokens() + 2, List.of())
                            .sampling(new AttemptRequest.Sampling(null, null, null))
                            .session(
                                    session.id, session.lastTurnDigest, session.id + "/" + promptId)
                            .nonStreaming(nonStreaming)
                            .clientRetry(tryNumber > 0)
                            .clientTimeoutMs(
                                    mix.timeLimitMs()
                                            + (nonStreaming
                                                    ? (2 * mix.outputTokens() + 2) * 60
                                                    : 0))
                            .idempotencyKey(operation)
                            .build();
            router.submit(request, this, accepted -> inFlight = accepted);
            if (disconnected && inFlight != null) {
                inFlight.clientDisconnected();
            }
        }

        private void disconnect() {
            if (!finished && !disconnected) {
                disconnected = true;
                log.add(
                        TrafficEvent.Kind.LEFT,
                        routerIndex,
                        session.tenant,
                        tag,
                        tokensReceived,
                        null);
                scheduler.schedule(
                        CLIENT_LATENCY_MS,
                        () -> {
                            if (!finished && inFlight != null) {
                                finished = true;
                                inFlight.clientDisconnected();
                                routers.get(routerIndex).exchangeEnded();
                            }
                        });
            }
        }

        /** Delivers the final answer to the client, which may retry unless it was served. */
        private void finish(String outcome, boolean mayRetry) {
            if (finished) {
                if (!disconnected) {
                    log.add(TrafficEvent.Kind.AFTER_FINAL, routerIndex, null, tag, 1, outcome);
                }
                return;
            }
            finished = true;
            routers.get(routerIndex).exchangeEnded();
            if (disconnected) {
                return;
            }
            scheduler.schedule(
                    CLIENT_LATENCY_MS,
                    () -> {
                        if (nonStreaming && outcome.equals("streamed")) {
                            log.add(TrafficEvent.Kind.BEGUN, routerIndex, null, tag, 0, null);
                        }
                        recordFinal(outcome);
                        if (!outcome.equals("streamed")
                                && mayRetry
                                && tryNumber < script.clients().retries()) {
                            scheduler.schedule(
                                    Math.max(1, script.clients().retryMs() * (1 << tryNumber)),
                                    () ->
                                            new ClientRequest(
                                                            session,
                                                            operation,
                                                            tryNumber + 1,
                                                            promptId,
                                                            promptTokens,
                                                            nonStreaming,
                                                            answerTokens,
                                                            random.nextInt(routers.size()))
                                                    .send());
                        }
                    });
        }

        private void recordFinal(String outcome) {
            log.add(
                    TrafficEvent.Kind.FINAL,
                    routerIndex,
                    session.tenant,
                    tag,
                    tokensReceived,
                    outcome);
            if (outcome.equals("streamed")
                    && --session.remainingTurns > 0
                    && sessions.size() < MAX_SESSIONS) {
                session.segmentIds.add(1L << 40 | promptId);
                session.segmentTokens.add(promptTokens);
                session.segmentIds.add(1L << 41 | promptId);
                session.segmentTokens.add(Math.max(1, answerTokens));
                session.lastTurnDigest = session.id + "/" + promptId;
                sessions.add(session);
            }
        }

        @Override
        public void responseStarted(int cachedTokens) {
            // The start is recorded with the first text, which is when the client sees it.

        }

        @Override
        public boolean textReceived(String text) {
            if (disconnected || finished) {
                return false;
            }
            tokensReceived++;
            if (!started) {
                started = true;
                if (!nonStreaming) {
                    scheduler.schedule(
                            CLIENT_LATENCY_MS,
                            () ->
                                    log.add(
                                            TrafficEvent.Kind.BEGUN,
                                            routerIndex,
                                            null,
                                            tag,
                                            0,
                                            null));
                }
            }
            return true;
        }

        @Override
        public boolean isDisconnected() {
            return disconnected;
        }

        @Override
        public void rejectedOverBudget(BudgetDecision decision) {
            finish("throttled", true);
        }

        @Override
        public void completed(AnswerSummary completion) {
            finish("streamed", false);
        }

        @Override
        public void rejected(double retryAfterMs) {
            finish("throttled", true);
        }

        @Override
        public void failed(FailureCause cause, boolean mayRetry) {
            finish("terminated", mayRetry && !started);
        }

        @Override
        public void aborted() {
            finish("terminated", false);
        }
    }

    // ------------------------------------------------------------------ faults

    private void startFault(TestScript.Trouble fault) {
        log.add(TrafficEvent.Kind.TROUBLE, 0, null, null, fault.size(), fault.kind());
        switch (fault.kind()) {
            case "burst" -> {
                rateFactor = fault.size();
                scheduler.schedule(fault.forMs(), () -> rateFactor = 1);
            }
            case "drain", "remove" -> {
                boolean draining = fault.kind().equals("drain");
                for (long id : fault.engines()) {
                    cluster.engine(id).draining = draining;
                    cluster.engine(id).listed = draining;
                    log.add(
                            TrafficEvent.Kind.LISTED,
                            id,
                            null,
                            null,
                            0,
                            draining ? "draining" : "gone");
                }
                publishEndpoints();
                scheduler.schedule(
                        fault.forMs(),
                        () -> {
                            for (long id : fault.engines()) {
                                cluster.engine(id).draining = false;
                                cluster.engine(id).listed = true;
                                log.add(TrafficEvent.Kind.LISTED, id, null, null, 0, "ready");
                            }
                            publishEndpoints();
                        });
            }
            case "crash" -> fault.engines().forEach(id -> crash(fault, cluster.engine(id)));
            default -> {
                for (long id : fault.engines()) {
                    SimulatedCluster.EmulatedEngine engine = cluster.engine(id);
                    applyFault(fault, engine);
                    scheduler.schedule(
                            fault.forMs(),
                            () -> {
                                engine.clearFaults();
                                engine.startStep();
                            });
                }
            }
        }
    }

    private void applyFault(TestScript.Trouble fault, SimulatedCluster.EmulatedEngine engine) {
        switch (fault.kind()) {
            case "pause" -> engine.pausedUntilMs = scheduler.nowMs() + fault.forMs();
            case "slow" -> engine.model.injectSlowdown(fault.size(), Integer.MAX_VALUE, 1);
            case "stall" -> engine.model.injectSlowdown(1, (int) fault.size(), STALL_FACTOR);
            case "lost" -> engine.lostShare = Math.min(1, fault.size());
            case "broken" -> engine.brokenShare = Math.min(1, fault.size());
            case "full" -> engine.full = true;
            case "faulty" -> engine.faulty = true;
            case "forgetful" -> engine.forgetful = true;
            case "flush" -> engine.model.flush();
            default -> {}
        }
    }

    /**
     * Crashes an engine and restarts it cold after the fault's duration; the engine list shows both
     * with a delay.
     */
    private void crash(TestScript.Trouble fault, SimulatedCluster.EmulatedEngine engine) {
        engine.crash();
        scheduler.schedule(
                script.listLagMs(),
                () -> {
                    engine.listed = false;
                    log.add(TrafficEvent.Kind.LISTED, engine.profile.id(), null, null, 0, "gone");
                    publishEndpoints();
                });
        scheduler.schedule(
                Math.max(script.listLagMs() + 200, fault.forMs()),
                () -> {
                    engine.start(true);
                    engine.clearFaults();
                    scheduler.schedule(
                            50,
                            () -> {
                                engine.listed = true;
                                engine.listedStartMs = engine.startedMs;
                                log.add(
                                        TrafficEvent.Kind.LISTED,
                                        engine.profile.id(),
                                        null,
                                        null,
                                        0,
                                        "ready");
                                publishEndpoints();
                            });
                });
    }
}
