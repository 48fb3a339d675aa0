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
 * Plays a drill script in virtual time: real fronts with their module over emulated engines, one
 * seed one run, to the byte. The rules are judged and service is counted from what both ends saw,
 * as on sockets. Not played here: batches, processes that are killed, and troubles of the wire
 * itself (torn, garbled, lag, bad_list).
 */
public final class SimulationRun {
    private static final double TAIL_MS = 15_000;
    private static final double WAY_MS = 0.3;
    private static final int MOST_SESSIONS = 500;
    private static final double KEEP_TALK_MS = 30_000;
    private static final int STALL = 20;

    /** What a run gave; digest is of all that was seen. */
    public record Result(
            List<TrafficEvent> log,
            List<RuleChecker.Breach> breaches,
            List<ResultCounts.Row> rows,
            List<EngineModel.Sums> sums,
            String digest,
            long steps,
            double virtualMs,
            double realMs) {
        public ResultCounts.Row all() {
            return rows.get(0);
        }
    }

    private final TestScript script;
    private final VirtualTimeScheduler world = new VirtualTimeScheduler();
    private final SimulationLog log = new SimulationLog(world);
    private final SimulatedCluster town;
    private final Site site;
    private final List<Router> fronts = new ArrayList<>();
    private final Random random;
    private final List<Session> sessions = new ArrayList<>();
    private double rate = 1;
    private long operations;
    private long texts;

    private static final class Session {
        final TestScript.Mix mix;
        final String tenant;
        final int prefix;
        final List<Long> texts = new ArrayList<>();
        final List<Integer> lengths = new ArrayList<>();
        String last;
        final String opening;
        int left;

        Session(TestScript.Mix mix, String tenant, int prefix, int turns, String opening) {
            this.mix = mix;
            this.tenant = tenant;
            this.prefix = prefix;
            this.opening = opening;
            left = turns;
        }
    }

    private SimulationRun(TestScript script, PolicyEvents.Factory module) {
        this.script = script;
        random = new Random(script.seed());
        town = new SimulatedCluster(world, log, SystemTest.makes(script), script.seed());
        try {
            site =
                    SiteReader.read(
                            "drill",
                            "listen { host: \"127.0.0.1\" port: 0 }\nseed: "
                                    + Math.max(1, script.seed())
                                    + "\nfronts: 1\nfronts_of_service: "
                                    + script.fronts()
                                    + "\n"
                                    + SystemTest.site(script.withoutBatches()),
                            null);
        } catch (InvalidSiteException e) {
            throw new IllegalStateException(
                    "the drill's own site is not good: " + e.getMessage(), e);
        }
        String zone = script.engines().get(0).zones().get(0);
        for (int i = 0; i < script.fronts(); i++) {
            // Figures of so many fronts are nobody's; what was seen is the witness.
            fronts.add(
                    new Router(
                            world.routerScheduler(i, script.seed()),
                            site,
                            i,
                            town.link(zone),
                            new RouterMetrics(new CompositeMeterRegistry()),
                            module));
        }
    }

    /** Plays a script with the module of this program. */
    public static Result play(TestScript script) {
        return play(script, RoutingPolicy::new);
    }

    /** Plays a script with fronts that decide otherwise. */
    public static Result play(TestScript script, PolicyEvents.Factory module) {
        return new SimulationRun(script, module).run();
    }

    private Result run() {
        long start = System.nanoTime();
        tell();
        for (TestScript.Trouble trouble : script.troubles()) {
            world.schedule(trouble.atMs(), () -> begin(trouble));
        }
        next();
        double end = script.durationMs() + TAIL_MS;
        world.run(end);
        double realMs = (System.nanoTime() - start) / 1e6;
        List<TrafficEvent> all = log.all();
        return new Result(
                all,
                RuleChecker.judge(all, SystemTest.figures(script)),
                ResultCounts.of(all, script),
                town.sums(),
                log.digest(),
                world.tasksRun(),
                end,
                realMs);
    }

    private void tell() {
        fronts.forEach(front -> front.endpointsChanged(town.rows()));
    }

    // ------------------------------------------------------------------ load

    private void next() {
        if (world.elapsedMs() >= script.durationMs()) {
            return;
        }
        world.schedule(
                -Math.log(1 - random.nextDouble()) * 1000 / (script.ratePerS() * rate),
                () -> {
                    if (world.elapsedMs() < script.durationMs()) {
                        operation();
                        next();
                    }
                });
    }

    private void operation() {
        Session session = session();
        String name = "op" + ++operations;
        boolean whole = random.nextDouble() < script.clients().wholeShare();
        int out = 1 + (int) (session.mix.outTokens() * (0.5 + random.nextDouble()));
        int tokens =
                Math.max(
                        1,
                        session.mix.promptTokens() / 2
                                + random.nextInt(session.mix.promptTokens() + 1));
        new Try(session, name, 0, ++texts, tokens, whole, out, random.nextInt(fronts.size())).ask();
    }

    private Session session() {
        TestScript.Mix mix = script.anyMix(random);
        TestScript.Tenant tenant = script.anyTenant(random);
        if (random.nextDouble() < 1 - 1 / mix.turns()) {
            for (int i = 0; i < sessions.size(); i++) {
                Session one = sessions.get(i);
                if (one.mix.equals(mix) && one.tenant.equals(tenant.name())) {
                    return sessions.remove(i);
                }
            }
        }
        int turns = (int) Math.max(1, Math.round(mix.turns() * (0.5 + random.nextDouble())));
        return new Session(
                mix, tenant.name(), random.nextInt(mix.prefixes()), turns, "s" + operations);
    }

    /** One try of one operation: the client's side of it. */
    private final class Try implements ResponseSink {
        private final Session session;
        private final String operation;
        private final int number;
        private final long text;
        private final int tokens;
        private final boolean whole;
        private final int out;
        private final int front;
        private final String tag;
        private InFlightRequest open;
        private boolean begun;
        private boolean finished;
        private boolean left;
        private int got;

        Try(
                Session session,
                String operation,
                int number,
                long text,
                int tokens,
                boolean whole,
                int out,
                int front) {
            this.session = session;
            this.operation = operation;
            this.number = number;
            this.text = text;
            this.tokens = tokens;
            this.whole = whole;
            this.out = out;
            this.front = front;
            tag = operation + "#" + number;
        }

        void ask() {
            TestScript.Mix mix = session.mix;
            log.add(TrafficEvent.Kind.ASKED, front, session.tenant, tag, mix.limitMs(), mix.name());
            world.schedule(WAY_MS, this::arrive);
            if (random.nextDouble() < script.clients().leaveShare()) {
                world.schedule(1 + random.nextInt((int) mix.limitMs()), this::leave);
            }
        }

        private void arrive() {
            Router at = fronts.get(front);
            if (!at.tryAdmitExchange()) {
                answer("throttled");
                return;
            }
            TestScript.Mix mix = session.mix;
            int shared = mix.sharedTokens();
            List<Long> of = new ArrayList<>();
            List<Integer> lengths = new ArrayList<>();
            if (shared > 0) {
                of.add((long) mix.name().hashCode() * 1000 + session.prefix);
                lengths.add(shared);
            }
            of.addAll(session.texts);
            lengths.addAll(session.lengths);
            of.add(1L << 40 | text);
            lengths.add(tokens);
            Prompt prompt =
                    Prompt.of(
                            of.stream().mapToLong(Long::longValue).toArray(),
                            lengths.stream().mapToInt(Integer::intValue).toArray(),
                            SimulatedCluster.blockTokens());
            String body = tag;
            town.talk(body, new SimulatedCluster.Talk(prompt, out, tag));
            world.schedule(KEEP_TALK_MS, () -> town.forget(body));
            GenerationRequest ask =
                    GenerationRequest.builder()
                            .offering(
                                    site.offeringsByModel.get(mix.name()),
                                    site.tenantByName(session.tenant))
                            .model(mix.name())
                            .prompt(body, prompt.tokens)
                            .sharedPrefix(shared > 0 ? mix.name() + session.prefix : null, shared)
                            .limits(2 * mix.outTokens() + 2, List.of())
                            .sampling(new AttemptRequest.Sampling(null, null, null))
                            .session(session.opening, session.last, session.opening + "/" + text)
                            .nonStreaming(whole)
                            .clientRetry(number > 0)
                            .clientTimeoutMs(
                                    mix.limitMs() + (whole ? (2 * mix.outTokens() + 2) * 60 : 0))
                            .idempotencyKey(operation)
                            .build();
            at.submit(ask, this, taken -> open = taken);
            if (left && open != null) {
                open.clientDisconnected();
            }
        }

        private void leave() {
            if (!finished && !left) {
                left = true;
                log.add(TrafficEvent.Kind.LEFT, front, session.tenant, tag, got, null);
                world.schedule(
                        WAY_MS,
                        () -> {
                            if (!finished && open != null) {
                                finished = true;
                                open.clientDisconnected();
                                fronts.get(front).exchangeEnded();
                            }
                        });
            }
        }

        /** The final answer, as it comes to the client. */
        private void end(String word, boolean mayRetry) {
            if (finished) {
                if (!left) {
                    log.add(TrafficEvent.Kind.AFTER_FINAL, front, null, tag, 1, word);
                }
                return;
            }
            finished = true;
            fronts.get(front).exchangeEnded();
            if (left) {
                return;
            }
            world.schedule(
                    WAY_MS,
                    () -> {
                        if (whole && word.equals("streamed")) {
                            log.add(TrafficEvent.Kind.BEGUN, front, null, tag, 0, null);
                        }
                        answer(word);
                        if (!word.equals("streamed")
                                && mayRetry
                                && number < script.clients().retries()) {
                            world.schedule(
                                    Math.max(1, script.clients().retryMs() * (1 << number)),
                                    () ->
                                            new Try(
                                                            session,
                                                            operation,
                                                            number + 1,
                                                            text,
                                                            tokens,
                                                            whole,
                                                            out,
                                                            random.nextInt(fronts.size()))
                                                    .ask());
                        }
                    });
        }

        private void answer(String word) {
            log.add(TrafficEvent.Kind.FINAL, front, session.tenant, tag, got, word);
            if (word.equals("streamed") && --session.left > 0 && sessions.size() < MOST_SESSIONS) {
                session.texts.add(1L << 40 | text);
                session.lengths.add(tokens);
                session.texts.add(1L << 41 | text);
                session.lengths.add(Math.max(1, out));
                session.last = session.opening + "/" + text;
                sessions.add(session);
            }
        }

        @Override
        public void responseStarted(int keptTokens) {
            // Told to clients with the first piece.

        }

        @Override
        public boolean textReceived(String text) {
            if (left || finished) {
                return false;
            }
            got++;
            if (!begun) {
                begun = true;
                if (!whole) {
                    world.schedule(
                            WAY_MS,
                            () -> log.add(TrafficEvent.Kind.BEGUN, front, null, tag, 0, null));
                }
            }
            return true;
        }

        @Override
        public boolean isDisconnected() {
            return left;
        }

        @Override
        public void rejectedOverBudget(BudgetDecision budget) {
            end("throttled", true);
        }

        @Override
        public void completed(AnswerSummary ending) {
            end("streamed", false);
        }

        @Override
        public void rejected(double comeBackMs) {
            end("throttled", true);
        }

        @Override
        public void failed(FailureCause cause, boolean mayRetry) {
            end("terminated", mayRetry && !begun);
        }

        @Override
        public void aborted() {
            end("terminated", false);
        }
    }

    // ------------------------------------------------------------------ troubles

    private void begin(TestScript.Trouble trouble) {
        log.add(TrafficEvent.Kind.TROUBLE, 0, null, null, trouble.size(), trouble.kind());
        switch (trouble.kind()) {
            case "burst" -> {
                rate = trouble.size();
                world.schedule(trouble.forMs(), () -> rate = 1);
            }
            case "drain", "remove" -> {
                boolean drains = trouble.kind().equals("drain");
                for (long id : trouble.engines()) {
                    town.seat(id).drains = drains;
                    town.seat(id).listed = drains;
                    log.add(
                            TrafficEvent.Kind.LISTED,
                            id,
                            null,
                            null,
                            0,
                            drains ? "draining" : "gone");
                }
                tell();
                world.schedule(
                        trouble.forMs(),
                        () -> {
                            for (long id : trouble.engines()) {
                                town.seat(id).drains = false;
                                town.seat(id).listed = true;
                                log.add(TrafficEvent.Kind.LISTED, id, null, null, 0, "ready");
                            }
                            tell();
                        });
            }
            case "crash" -> trouble.engines().forEach(id -> crash(trouble, town.seat(id)));
            default -> {
                for (long id : trouble.engines()) {
                    SimulatedCluster.Seat seat = town.seat(id);
                    ail(trouble, seat);
                    world.schedule(
                            trouble.forMs(),
                            () -> {
                                seat.clear();
                                seat.kick();
                            });
                }
            }
        }
    }

    private void ail(TestScript.Trouble trouble, SimulatedCluster.Seat seat) {
        switch (trouble.kind()) {
            case "pause" -> seat.pausedUntilMs = world.nowMs() + trouble.forMs();
            case "slow" -> seat.model.ails(trouble.size(), Integer.MAX_VALUE, 1);
            case "stall" -> seat.model.ails(1, (int) trouble.size(), STALL);
            case "lost" -> seat.lostShare = Math.min(1, trouble.size());
            case "broken" -> seat.brokenShare = Math.min(1, trouble.size());
            case "full" -> seat.full = true;
            case "faulty" -> seat.faulty = true;
            case "forgetful" -> seat.forgetful = true;
            case "flush" -> seat.model.flush();
            default -> {}
        }
    }

    private void crash(TestScript.Trouble trouble, SimulatedCluster.Seat seat) {
        seat.crash();
        world.schedule(
                script.listLagMs(),
                () -> {
                    seat.listed = false;
                    log.add(TrafficEvent.Kind.LISTED, seat.make.id(), null, null, 0, "gone");
                    tell();
                });
        world.schedule(
                Math.max(script.listLagMs() + 200, trouble.forMs()),
                () -> {
                    seat.start(true);
                    seat.clear();
                    world.schedule(
                            50,
                            () -> {
                                seat.listed = true;
                                seat.listedStartMs = seat.startedMs;
                                log.add(
                                        TrafficEvent.Kind.LISTED,
                                        seat.make.id(),
                                        null,
                                        null,
                                        0,
                                        "ready");
                                tell();
                            });
                });
    }
}
