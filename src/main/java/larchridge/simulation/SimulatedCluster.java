package larchridge.simulation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import larchridge.emulator.EngineHardware;
import larchridge.emulator.EngineModel;
import larchridge.emulator.Job;
import larchridge.emulator.Prompt;
import larchridge.emulator.SharedLinks;
import larchridge.inventory.EngineEntry;
import larchridge.router.VirtualTimeScheduler;
import larchridge.simulatedengine.EngineProfile;
import larchridge.state.AttemptOutcome;
import larchridge.state.EndpointState;
import larchridge.state.LoadReport;
import larchridge.state.Role;
import larchridge.systemtest.TrafficEvent;
import larchridge.upstream.AnswerSummary;
import larchridge.upstream.AttemptListener;
import larchridge.upstream.AttemptRequest;
import larchridge.upstream.Endpoint;
import larchridge.upstream.StateHandle;
import larchridge.upstream.UpstreamClient;

/**
 * Emulated engines in virtual time, the network links between them, and the upstream client through
 * which routers reach them.
 */
final class SimulatedCluster {
    /** One-way latency between a router and an engine in the same zone. */
    private static final double SAME_ZONE_LATENCY_MS = 0.3;

    /** One-way latency between a router and an engine in another zone. */
    private static final double CROSS_ZONE_LATENCY_MS = 1.2;

    /** Bandwidth of a rack's link to other racks, as a multiple of one engine's. */
    private static final double RACK_LINK_CAPACITY = 3;

    /** Bandwidth of the link from one zone to another, as a multiple of one engine's. */
    private static final double ZONE_LINK_CAPACITY = 2;

    private static final int BLOCK_TOKENS = 32;

    /** How often engines release held states whose timeout has passed. */
    private static final double STATE_EXPIRY_CHECK_MS = 500;

    final VirtualTimeScheduler scheduler;
    final SimulationLog log;
    private final Random random;
    private final Map<Long, EmulatedEngine> engines = new TreeMap<>();
    private final SharedLinks links = new SharedLinks();
    private long linkTimer = -1;
    private double linkTimerMs;
    private final Map<String, SimulatedRequest> requests = new HashMap<>();

    /** What a prompt text stands for: the tokens of the prompt and answer, and the client's tag. */
    record SimulatedRequest(Prompt prompt, int answerTokens, String tag) {}

    /** Identifies a held state by its engine and the attempt that read it. */
    private record HeldState(long engineId, String attemptId) implements StateHandle {}

    SimulatedCluster(
            VirtualTimeScheduler scheduler,
            SimulationLog log,
            List<EngineProfile> profiles,
            long seed) {
        this.scheduler = scheduler;
        this.log = log;
        random = new Random(seed ^ 0x70EFL);
        for (EngineProfile profile : profiles) {
            EmulatedEngine engine = new EmulatedEngine(profile);
            engines.put(profile.id(), engine);
            engine.start(false);
        }
    }

    /** Converts an engine profile of a script to the emulator's parameters. */
    static EngineHardware hardware(EngineProfile profile) {
        boolean isReader = profile.role() == Role.READER;
        int batchTokens = (int) Math.max(256, profile.readTokensPerMs() * 12);
        return new EngineHardware(
                isReader ? 0.5 : 0.6 * profile.tokenMs(),
                1 / profile.readTokensPerMs(),
                0.4 * profile.tokenMs() / profile.maxConcurrentStreams(),
                0,
                0,
                BLOCK_TOKENS,
                (int) (profile.memoryTokens() / BLOCK_TOKENS),
                batchTokens,
                isReader ? profile.maxConcurrentReads() : profile.maxConcurrentStreams(),
                profile.queueCapacity() + profile.maxConcurrentReads(),
                profile.stateExpiryMs(),
                profile.coldShare(),
                profile.coldMs(),
                false);
    }

    /** Makes a request known to the engines under its prompt text. */
    void registerRequest(String promptText, SimulatedRequest request) {
        requests.put(promptText, request);
    }

    void unregisterRequest(String promptText) {
        requests.remove(promptText);
    }

    static int blockTokens() {
        return BLOCK_TOKENS;
    }

    EmulatedEngine engine(long id) {
        return engines.get(id);
    }

    /** The engine list as currently published. */
    List<EngineEntry> engineEntries() {
        List<EngineEntry> entries = new ArrayList<>();
        for (EmulatedEngine engine : engines.values()) {
            if (engine.listed) {
                EngineProfile profile = engine.profile;
                entries.add(
                        new EngineEntry(
                                profile.id(),
                                "e",
                                (int) profile.id(),
                                profile.role(),
                                profile.zone(),
                                profile.rack(),
                                1,
                                profile.memoryTokens(),
                                engine.listedStartMs,
                                engine.draining ? EndpointState.DRAINING : EndpointState.READY));
            }
        }
        return entries;
    }

    List<EngineModel.Totals> totals() {
        return engines.values().stream().map(engine -> engine.model.totals()).toList();
    }

    // ------------------------------------------------------------------ engines

    /** One engine across crashes and restarts. */
    final class EmulatedEngine implements EngineModel.Listener {
        final EngineProfile profile;
        EngineModel model;
        boolean running;
        boolean listed = true;
        boolean draining;
        double listedStartMs;
        double startedMs;

        /** Changes with each start and crash, so that timers of an earlier process do nothing. */
        private int incarnation;

        private boolean stepRunning;
        // Injected faults.
        double pausedUntilMs;
        double lostShare;
        double brokenShare;
        boolean full;
        boolean faulty;
        boolean forgetful;

        EmulatedEngine(EngineProfile profile) {
            this.profile = profile;
        }

        void start(boolean cold) {
            incarnation++;
            running = true;
            stepRunning = false;
            startedMs = scheduler.nowMs();
            model =
                    new EngineModel(
                            hardware(profile),
                            cold ? startedMs : startedMs - profile.coldMs(),
                            this);
            log.add(TrafficEvent.Kind.STARTED, profile.id(), null, null, cold ? 1 : 0, null);
            int expectedIncarnation = incarnation;
            scheduler.schedule(STATE_EXPIRY_CHECK_MS, () -> expireStates(expectedIncarnation));
        }

        void crash() {
            if (!running) {
                return;
            }
            running = false;
            incarnation++;
            List<SimulatedAttempt> interrupted = new ArrayList<>(attempts);
            attempts.clear();
            for (SimulatedAttempt attempt : interrupted) {
                log.add(
                        TrafficEvent.Kind.LEG_OUT,
                        profile.id(),
                        attempt.attemptRequest.attemptId(),
                        attempt.request.tag,
                        attempt.job.generatedTokens(),
                        null);
                attempt.sendBack(() -> attempt.end(AttemptOutcome.CUT));
            }
            for (Job state : heldStates.values()) {
                log.add(
                        TrafficEvent.Kind.STATE_GONE,
                        profile.id(),
                        state.attemptId,
                        ((SimulatedAttempt) state.attachment).request.tag,
                        state.prompt.tokens,
                        null);
            }
            heldStates.clear();
            log.add(TrafficEvent.Kind.STOPPED, profile.id(), null, null, 0, null);
        }

        private final List<SimulatedAttempt> attempts = new ArrayList<>();
        private final Map<String, Job> heldStates = new TreeMap<>();

        /** Ends all injected faults. */
        void clearFaults() {
            pausedUntilMs = 0;
            lostShare = 0;
            brokenShare = 0;
            full = false;
            faulty = false;
            forgetful = false;
            model.injectSlowdown(1, Integer.MAX_VALUE, 1);
        }

        private void expireStates(int expectedIncarnation) {
            if (expectedIncarnation == incarnation && running) {
                model.releaseExpiredStates(scheduler.nowMs());
                scheduler.schedule(STATE_EXPIRY_CHECK_MS, () -> expireStates(expectedIncarnation));
            }
        }

        void startStep() {
            if (!running || stepRunning) {
                return;
            }
            double pauseMs = pausedUntilMs - scheduler.nowMs();
            if (pauseMs > 0) {
                int expectedIncarnation = incarnation;
                scheduler.schedule(
                        pauseMs,
                        () -> {
                            if (expectedIncarnation == incarnation) {
                                startStep();
                            }
                        });
                return;
            }
            double stepMs = model.beginStep(scheduler.nowMs());
            if (!Double.isNaN(stepMs)) {
                stepRunning = true;
                int expectedIncarnation = incarnation;
                scheduler.schedule(stepMs, () -> finishStep(expectedIncarnation));
            }
        }

        private void finishStep(int expectedIncarnation) {
            if (expectedIncarnation != incarnation) {
                return;
            }
            double pauseMs = pausedUntilMs - scheduler.nowMs();
            if (pauseMs > 0) {
                scheduler.schedule(pauseMs, () -> finishStep(expectedIncarnation));
                return;
            }
            stepRunning = false;
            model.endStep(scheduler.nowMs());
            startStep();
        }

        LoadReport loadReport() {
            return new LoadReport(
                    model.inflight(),
                    model.queueLength(),
                    Math.min(1, model.memoryShare()),
                    model.pendingPromptTokens());
        }

        void receive(SimulatedAttempt attempt) {
            if (attempt.ended) {
                return;
            }
            if (!running) {
                attempt.sendBack(() -> attempt.end(AttemptOutcome.UNREACHABLE));
                return;
            }
            log.add(
                    attempt.job.kind == Job.Kind.READ
                            ? TrafficEvent.Kind.READ_IN
                            : TrafficEvent.Kind.WRITE_IN,
                    profile.id(),
                    attempt.attemptRequest.attemptId(),
                    attempt.request.tag,
                    attempt.request.prompt.tokens,
                    null);
            attempts.add(attempt);
            boolean wrongRole =
                    attempt.job.kind == Job.Kind.READ
                            ? profile.role() == Role.WRITER
                            : profile.role() == Role.READER
                                    || (attempt.job.kind == Job.Kind.BOTH
                                            && profile.role() != Role.BOTH);
            if (faulty || wrongRole) {
                endAttempt(attempt, faulty ? AttemptOutcome.FAULT : AttemptOutcome.NO_STATE);
            } else if (full || !model.submit(attempt.job)) {
                endAttempt(attempt, AttemptOutcome.FULL);
            } else {
                attempt.answerLost = random.nextDouble() < lostShare;
                attempt.breakAfterTokens =
                        random.nextDouble() < brokenShare ? random.nextInt(12) : Integer.MAX_VALUE;
                startStep();
            }
        }

        /**
         * Ends an attempt without the result it was sent for. If the outcome is null, the router
         * has ended the attempt already and gets no response.
         */
        private void endAttempt(SimulatedAttempt attempt, AttemptOutcome outcome) {
            if (attempts.remove(attempt)) {
                if (!heldStates.containsKey(attempt.job.attemptId)) {
                    model.cancel(attempt.job);
                }
                log.add(
                        TrafficEvent.Kind.LEG_OUT,
                        profile.id(),
                        attempt.attemptRequest.attemptId(),
                        attempt.request.tag,
                        attempt.job.generatedTokens(),
                        null);
                if (outcome != null) {
                    LoadReport report = loadReport();
                    attempt.sendBack(() -> attempt.end(outcome, report));
                }
                startStep();
            }
        }

        private void releaseState(String attemptId) {
            Job state = heldStates.remove(attemptId);
            if (state != null) {
                model.release(attemptId);
                log.add(
                        TrafficEvent.Kind.STATE_GONE,
                        profile.id(),
                        attemptId,
                        ((SimulatedAttempt) state.attachment).request.tag,
                        state.prompt.tokens,
                        null);
                startStep();
            }
        }

        /**
         * Ends an attempt that was answered. An attempt whose answer is lost stays open until its
         * router gives it up.
         */
        private void attemptAnswered(SimulatedAttempt attempt) {
            attempts.remove(attempt);
            log.add(
                    TrafficEvent.Kind.LEG_OUT,
                    profile.id(),
                    attempt.attemptRequest.attemptId(),
                    attempt.request.tag,
                    attempt.job.generatedTokens(),
                    null);
        }

        @Override
        public void readCompleted(Job job) {
            SimulatedAttempt attempt = (SimulatedAttempt) job.attachment;
            log.add(
                    TrafficEvent.Kind.STATE_HELD,
                    profile.id(),
                    job.attemptId,
                    attempt.request.tag,
                    job.prompt.tokens,
                    null);
            if (!attempt.answerLost) {
                attemptAnswered(attempt);
            }
            heldStates.put(job.attemptId, job);
            if (forgetful) {
                releaseState(job.attemptId);
            }
            LoadReport report = loadReport();
            if (!attempt.answerLost) {
                attempt.sendBack(
                        () ->
                                attempt.readCompleted(
                                        new HeldState(profile.id(), job.attemptId),
                                        job.cachedTokens(),
                                        job.prompt.tokens,
                                        report));
            }
        }

        @Override
        public void fetchRequired(Job job) {
            SimulatedAttempt attempt = (SimulatedAttempt) job.attachment;
            EmulatedEngine source = engines.get(attempt.heldState.engineId);
            if (!source.running || !source.model.holdsState(attempt.heldState.attemptId)) {
                scheduler.schedule(
                        2 * SAME_ZONE_LATENCY_MS,
                        () -> endAttempt(attempt, AttemptOutcome.NO_STATE));
                return;
            }
            int expectedIncarnation = incarnation;
            attempt.transfer =
                    links.startTransfer(
                            scheduler.nowMs(),
                            job.prompt.tokens,
                            path(source.profile, profile),
                            () -> {
                                attempt.transfer = null;
                                if (expectedIncarnation != incarnation
                                        || !attempts.contains(attempt)) {
                                    return;
                                }
                                if (!source.running
                                        || !source.model.holdsState(attempt.heldState.attemptId)) {
                                    endAttempt(attempt, AttemptOutcome.NO_STATE);
                                    return;
                                }
                                source.releaseState(attempt.heldState.attemptId);
                                log.add(
                                        TrafficEvent.Kind.RAN,
                                        profile.id(),
                                        job.attemptId,
                                        attempt.request.tag,
                                        job.prompt.tokens,
                                        null);
                                model.stateFetched(job);
                                startStep();
                            });
            scheduleLinkTimer();
        }

        @Override
        public void tokenGenerated(Job job) {
            SimulatedAttempt attempt = (SimulatedAttempt) job.attachment;
            if (job.generatedTokens() == 1 && job.kind == Job.Kind.BOTH) {
                log.add(
                        TrafficEvent.Kind.RAN,
                        profile.id(),
                        job.attemptId,
                        attempt.request.tag,
                        job.prompt.tokens,
                        null);
            }
            if (job.generatedTokens() > attempt.breakAfterTokens) {
                attempts.remove(attempt);
                model.cancel(job);
                log.add(
                        TrafficEvent.Kind.LEG_OUT,
                        profile.id(),
                        job.attemptId,
                        attempt.request.tag,
                        job.generatedTokens(),
                        null);
                attempt.sendBack(() -> attempt.end(AttemptOutcome.CUT));
            } else if (!attempt.answerLost) {
                int tokenNumber = job.generatedTokens();
                attempt.sendBack(() -> attempt.deliverToken(tokenNumber));
            }
        }

        @Override
        public void answerCompleted(Job job) {
            SimulatedAttempt attempt = (SimulatedAttempt) job.attachment;
            if (!attempt.answerLost) {
                attemptAnswered(attempt);
                LoadReport report = loadReport();
                attempt.sendBack(() -> attempt.answerCompleted(job, report));
            }
        }

        @Override
        public void stateLost(Job job) {
            if (heldStates.remove(job.attemptId) != null) {
                log.add(
                        TrafficEvent.Kind.STATE_GONE,
                        profile.id(),
                        job.attemptId,
                        ((SimulatedAttempt) job.attachment).request.tag,
                        job.prompt.tokens,
                        null);
            }
        }
    }

    /** The links that a state uses from one engine to another. */
    private List<SharedLinks.Link> path(EngineProfile source, EngineProfile target) {
        List<SharedLinks.Link> path = new ArrayList<>();
        path.add(links.link("engine " + source.id(), source.transferTokensPerMs()));
        if (!source.zone().equals(target.zone())) {
            path.add(
                    links.link(
                            "zone " + source.zone() + " to " + target.zone(),
                            ZONE_LINK_CAPACITY * source.transferTokensPerMs()));
        }
        if (source.rack() != target.rack() || !source.zone().equals(target.zone())) {
            path.add(
                    links.link(
                            "rack " + source.zone() + source.rack(),
                            RACK_LINK_CAPACITY * source.transferTokensPerMs()));
        }
        return path;
    }

    private void scheduleLinkTimer() {
        double nextCompletionMs = links.nextCompletionMs();
        if (linkTimer >= 0 && linkTimerMs <= nextCompletionMs) {
            return;
        }
        if (linkTimer >= 0) {
            scheduler.cancel(linkTimer);
            linkTimer = -1;
        }
        if (nextCompletionMs < Double.POSITIVE_INFINITY) {
            linkTimerMs = nextCompletionMs;
            linkTimer =
                    scheduler.schedule(
                            nextCompletionMs - scheduler.nowMs(),
                            () -> {
                                linkTimer = -1;
                                links.advance(scheduler.nowMs());
                                scheduleLinkTimer();
                            });
        }
    }

    // ------------------------------------------------------------------ upstream client

    /** Creates the client with which a router in this zone reaches the engines. */
    UpstreamClient upstreamClient(String zone) {
        return new UpstreamClient() {
            @Override
            public AttemptHandle read(AttemptRequest attemptRequest, AttemptListener listener) {
                return new SimulatedAttempt(attemptRequest, listener, zone, Job.Kind.READ);
            }

            @Override
            public AttemptHandle write(AttemptRequest attemptRequest, AttemptListener listener) {
                return new SimulatedAttempt(
                        attemptRequest,
                        listener,
                        zone,
                        attemptRequest.state() == null ? Job.Kind.BOTH : Job.Kind.WRITE);
            }

            @Override
            public void release(Endpoint endpoint, String attemptId) {
                EmulatedEngine engine = engines.get((long) endpoint.port());
                scheduler.schedule(
                        latencyMs(zone, engine),
                        () -> {
                            if (engine.running) {
                                engine.releaseState(attemptId);
                            }
                        });
            }

            @Override
            public void probe(Endpoint endpoint, ProbeListener listener) {
                EmulatedEngine engine = engines.get((long) endpoint.port());
                double latencyMs = latencyMs(zone, engine);
                scheduler.schedule(
                        latencyMs,
                        () -> {
                            LoadReport report = engine.running ? engine.loadReport() : null;
                            double pauseMs = Math.max(0, engine.pausedUntilMs - scheduler.nowMs());
                            scheduler.schedule(
                                    pauseMs + latencyMs,
                                    () ->
                                            listener.completed(
                                                    pauseMs <= 500 && report != null,
                                                    pauseMs > 500 ? null : report));
                        });
            }

            @Override
            public void close() {
                // There are no connections.

            }
        };
    }

    private static double latencyMs(String zone, EmulatedEngine engine) {
        return engine.profile.zone().equals(zone) ? SAME_ZONE_LATENCY_MS : CROSS_ZONE_LATENCY_MS;
    }

    /** An attempt from when the router sends it until its last event has reached the router. */
    private final class SimulatedAttempt implements UpstreamClient.AttemptHandle {
        final AttemptRequest attemptRequest;
        final SimulatedRequest request;
        final Job job;
        final HeldState heldState;
        private final AttemptListener listener;
        private final EmulatedEngine engine;
        private final double latencyMs;
        SharedLinks.Transfer transfer;
        boolean ended;
        boolean answerLost;
        int breakAfterTokens = Integer.MAX_VALUE;
        private boolean responseStarted;

        SimulatedAttempt(
                AttemptRequest attemptRequest,
                AttemptListener listener,
                String zone,
                Job.Kind kind) {
            this.attemptRequest = attemptRequest;
            this.listener = listener;
            request = requests.get(attemptRequest.prompt());
            heldState = (HeldState) attemptRequest.state();
            engine = engines.get((long) attemptRequest.endpoint().port());
            latencyMs = latencyMs(zone, engine);
            job =
                    new Job(
                            attemptRequest.attemptId(),
                            kind,
                            request.prompt,
                            Math.min(attemptRequest.maxTokens(), request.answerTokens));
            job.attachment = this;
            scheduler.schedule(
                    0,
                    () -> {
                        if (!ended && attemptRequest.sendCheck().rejection() != null) {
                            end(AttemptOutcome.NOT_SENT);
                        } else {
                            scheduler.schedule(latencyMs, () -> engine.receive(this));
                        }
                    });
        }

        /** Runs an action after the latency to the router, unless the attempt has ended by then. */
        void sendBack(Runnable action) {
            scheduler.schedule(
                    latencyMs,
                    () -> {
                        if (!ended) {
                            action.run();
                        }
                    });
        }

        void readCompleted(HeldState state, int cachedTokens, int promptTokens, LoadReport report) {
            ended = true;
            listener.readCompleted(state, cachedTokens, promptTokens, report);
        }

        void deliverToken(int tokenNumber) {
            if (!responseStarted) {
                responseStarted = true;
                listener.responseStarted();
            }
            if (!ended) {
                listener.textReceived("w" + tokenNumber + " ");
                listener.socketReadCompleted();
            }
        }

        void answerCompleted(Job job, LoadReport report) {
            ended = true;
            listener.attemptEnded(
                    AttemptOutcome.STREAMED,
                    report,
                    new AnswerSummary(
                            job.answerTokens < attemptRequest.maxTokens()
                                    ? AnswerSummary.FinishReason.END_OF_TURN
                                    : AnswerSummary.FinishReason.MAX_TOKENS,
                            null,
                            request.prompt.tokens,
                            job.generatedTokens()));
        }

        void end(AttemptOutcome outcome) {
            end(outcome, null);
        }

        void end(AttemptOutcome outcome, LoadReport report) {
            ended = true;
            listener.attemptEnded(outcome, report, null);
        }

        @Override
        public void cancel() {
            abort(AttemptOutcome.CANCELLED);
        }

        @Override
        public void expire() {
            abort(AttemptOutcome.TIMED_OUT);
        }

        private void abort(AttemptOutcome outcome) {
            if (ended) {
                return;
            }
            ended = true;
            scheduler.schedule(0, () -> listener.attemptEnded(outcome, null, null));
            scheduler.schedule(
                    latencyMs,
                    () -> {
                        if (transfer != null) {
                            links.cancelTransfer(scheduler.nowMs(), transfer);
                            transfer = null;
                            scheduleLinkTimer();
                        }
                        engine.endAttempt(this, null);
                    });
        }

        @Override
        public void pause() {
            // Simulated clients read at any rate, so the router needs no back pressure.

        }

        @Override
        public void resume() {}
    }
}
