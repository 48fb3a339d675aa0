package larchridge.router;

import io.vertx.core.Context;
import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import larchridge.budget.BudgetDecision;
import larchridge.budget.Budgets;
import larchridge.budget.QuotaRequest;
import larchridge.inventory.EngineEntry;
import larchridge.ledger.Ledger;
import larchridge.ledger.Usage;
import larchridge.metrics.RouterMetrics;
import larchridge.planner.LatencySample;
import larchridge.policy.PolicyActions;
import larchridge.policy.PolicyEvents;
import larchridge.policy.RoutingPolicy;
import larchridge.site.Site;
import larchridge.state.Attempt;
import larchridge.state.AttemptOutcome;
import larchridge.state.CachedPrefix;
import larchridge.state.DeduplicationScope;
import larchridge.state.Effect;
import larchridge.state.EndpointState;
import larchridge.state.EndpointUpdate;
import larchridge.state.Engine;
import larchridge.state.Generation;
import larchridge.state.LoadReport;
import larchridge.state.PrefixRegistry;
import larchridge.state.RoutingSettings;
import larchridge.state.TenantQuota;
import larchridge.upstream.AttemptListener;
import larchridge.upstream.AttemptRequest;
import larchridge.upstream.Completion;
import larchridge.upstream.Endpoint;
import larchridge.upstream.SendRejection;
import larchridge.upstream.StateHandle;
import larchridge.upstream.UpstreamClient;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One front: one loop, one decision module, the generations it has taken. It tells the module what
 * happens and carries out what the module decides; every choice of engine, wait, repeat and refusal
 * is the module's. All methods run on the loop on which it was made.
 */
public final class Router implements PolicyActions {
    private static final Logger LOG = LoggerFactory.getLogger(Router.class);

    /** Before the client's limit, and after the module's own last moment. */
    private static final double LAST_RESORT_MS = 8;

    private static final int LOOK_MS = 100;

    /**
     * At the end, releases have this long to leave; where they are still under way then, they are
     * looked at this often.
     */
    private static final double LAST_RELEASES_MS = 200;

    private static final double RELEASE_LOOK_MS = 20;

    /** Null on other ground than a loop. */
    private final Vertx vertx;

    private final Context loop;
    private final Scheduler ground;
    private final Site site;
    private final int number;
    private final UpstreamClient link;
    private final RouterMetrics meters;
    private final PolicyEvents choice;
    private final boolean copiesAllowed;
    private final Budgets updateBudgets;
    private final Ledger ledger;
    private double nowMs;

    /**
     * Open generations in the order taken; those whose attempts are all home and that are answered
     * leave.
     */
    private final Map<Generation, InFlightRequest> open = new LinkedHashMap<>();

    private final Map<Long, Engine> forEachEngine = new HashMap<>();
    private final Map<Engine, EngineEntry> rows = new HashMap<>();
    private final Map<String, TenantQuota> accounts = new HashMap<>();
    private final PrefixRegistry talks = new PrefixRegistry();
    private final PrefixRegistry prefixes = new PrefixRegistry();
    private final String idStem;

    /** The first open generation of all that ask the same without a key. */
    private final Map<String, InFlightRequest> same = new HashMap<>();

    /** Null where nothing is lent. */
    private QuotaClient setQuotaClient;

    private long taken;
    private int inside;
    private boolean stopping;
    private Runnable whenIdle;

    /** For readers on other threads. */
    private volatile int openSeen;

    private volatile int heldSeen;

    /** What those that are not batch work live through; handed over now and then. */
    private LatencySample latencySample = new LatencySample();

    private double lookedMs;

    /** To be made on the loop that is to own it; ledger is null where usage is not written. */
    public Router(
            Vertx vertx,
            Site site,
            int number,
            UpstreamClient link,
            RouterMetrics meters,
            Ledger ledger) {
        this(
                vertx,
                new VertxScheduler(vertx),
                site,
                number,
                link,
                meters,
                ledger,
                RoutingPolicy::new);
    }

    /**
     * A front on other ground, with the module that is given; doors that need a loop can't be put
     * before it.
     */
    public Router(
            Scheduler ground,
            Site site,
            int number,
            UpstreamClient link,
            RouterMetrics meters,
            PolicyEvents.Factory module) {
        this(null, ground, site, number, link, meters, null, module);
    }

    private Router(
            Vertx vertx,
            Scheduler ground,
            Site site,
            int number,
            UpstreamClient link,
            RouterMetrics meters,
            Ledger ledger,
            PolicyEvents.Factory module) {
        this.vertx = vertx;
        this.ground = ground;
        this.site = site;
        this.number = number;
        this.link = link;
        this.meters = meters;
        this.ledger = ledger;
        loop = ground instanceof VertxScheduler own ? own.loop() : null;
        idStem = ground.uniqueIdPrefix();
        tick();
        updateBudgets = site.budgetsOf(number, nowMs);
        RoutingSettings terms = site.termsOf(number);
        copiesAllowed = terms.hedgingAllowed;
        choice = module.create(terms, this);
        meters.front(number, () -> openSeen, () -> heldSeen);
        ground.scheduleAtFixedDelay(LOOK_MS, this::lookAtSelf);
    }

    /** From now on what a budget lacks here may be lent. */
    public void setQuotaClient(QuotaClient from) {
        setQuotaClient = from;
    }

    // ------------------------------------------------------------------ the door

    /**
     * Whether one more exchange may come in; each that may must be followed by one {@link
     * #exchangeEnded}.
     */
    public boolean tryAdmit() {
        // What is used and can't be written down would be given away; the ledger's own bound is
        // told in time.
        boolean behind = ledger != null && ledger.isBehind();
        if (stopping || behind || inside >= site.limit.openGenerations) {
            meters.turnedAway(number, stopping ? "stopping" : behind ? "ledger" : "too_many");
            return false;
        }
        inside++;
        return true;
    }

    /** An exchange that came in is over. */
    public void exchangeEnded() {
        inside--;
        idle();
    }

    public boolean isStopping() {
        return stopping;
    }

    public Site site() {
        return site;
    }

    public Context loop() {
        return loop;
    }

    public Vertx vertx() {
        return vertx;
    }

    /**
     * Takes a generation; its client may get the final answer before this returns. Told is given
     * what it became, at once or as soon as the lender has answered. Nothing is told where the
     * tenant's budget does not allow it, since the client has been answered then, nor where the
     * client has left.
     */
    public void submit(GenerationRequest ask, ResponseSink client, Consumer<InFlightRequest> told) {
        tick();
        // Guards against: a client whose body waited to be counted would wait that much longer than
        // its
        // time.
        double arrivedMs = nowMs - ask.queuedMs();
        double tokens = Budgets.estimate(ask.promptTokens(), ask.maxTokens());
        String tenant = ask.tenant().name();
        String product = ask.offering().product.name;
        BudgetDecision budget = updateBudgets.requestAdmission(tenant, product, tokens, nowMs);
        if (!budget.isAdmitted() && budget.isRateLimited() && setQuotaClient != null) {
            QuotaRequest want = updateBudgets.quotaRequestFor(tenant, product, tokens, nowMs);
            if (want != null
                    && setQuotaClient.request(
                            want,
                            (lent, backMs) -> {
                                tick();
                                updateBudgets.setLenderAvailable(setQuotaClient.isResponsive());
                                updateBudgets.addLease(want.budget(), lent, nowMs + site.lapseMs);
                                if (!client.isDisconnected()) {
                                    BudgetDecision second =
                                            updateBudgets.requestAdmission(
                                                    tenant, product, tokens, nowMs);
                                    admit(
                                            ask,
                                            client,
                                            second.isAdmitted()
                                                    ? second
                                                    : second.withRetryAfterAtLeast(backMs),
                                            arrivedMs,
                                            told);
                                }
                            })) {
                return;
            }
            updateBudgets.setLenderAvailable(setQuotaClient.isResponsive());
        }
        admit(ask, client, budget, arrivedMs, told);
    }

    private void admit(
            GenerationRequest ask,
            ResponseSink client,
            BudgetDecision budget,
            double arrivedMs,
            Consumer<InFlightRequest> told) {
        String product = ask.offering().product.name;
        client.budgetChecked(budget);
        if (!budget.isAdmitted()) {
            meters.answered(number, product, "over_budget", Double.NaN);
            LOG.atDebug()
                    .addKeyValue("tenant", ask.tenant().name())
                    .addKeyValue("why", budget.reason())
                    .log("over budget");
            client.rejectedOverBudget(budget);
            return;
        }
        DeadlinePolicy patience =
                DeadlinePolicy.of(
                        ask.offering(),
                        ask.promptTokens(),
                        ask.maxTokens(),
                        ask.unstreamed(),
                        ask.clientTimeoutMs());
        InFlightRequest one = new InFlightRequest(this, ask, client, patience);
        one.limitAtMs = arrivedMs + patience.firstTokenMs;
        one.wholeAtMs = arrivedMs + patience.wholeMs;
        one.charge = budget.charge();
        String label =
                ask.forwardedRequest() != null
                        ? ask.forwardedRequest().id()
                        : idStem + Long.toString(taken++, 36);
        one.gen =
                new Generation(
                        label,
                        budget.charge().isBorrowed()
                                ? ask.offering().borrowed
                                : ask.offering().product,
                        account(ask.tenant()),
                        talk(ask),
                        prefix(ask),
                        ask.promptTokens(),
                        ask.sharedTokens(),
                        ask.maxTokens(),
                        Double.NaN,
                        ask.clientRetry(),
                        arrivedMs,
                        one.limitAtMs);
        one.billId = billId(one);
        open.put(one.gen, one);
        one.limitTimer = ground.schedule(one.limitAtMs - nowMs - LAST_RESORT_MS, () -> limit(one));
        guarded(one, () -> choice.requestArrived(one.gen));
        settle(one);
        told.accept(one);
    }

    /**
     * One bill for all tries of a generation: by the client's key, or, where it gave none, by what
     * it asks, as long as a first try of that is open here.
     */
    private String billId(InFlightRequest one) {
        if (one.ask.idempotencyKey() != null) {
            return "key " + one.ask.idempotencyKey();
        }
        one.sameAs =
                one.ask.tenant().name()
                        + '\n'
                        + one.ask.model()
                        + '\n'
                        + one.ask.turnDigest()
                        + '\n'
                        + one.ask.maxTokens();
        InFlightRequest first = same.putIfAbsent(one.sameAs, one);
        return first == null ? "gen " + one.gen.id : first.billId;
    }

    private TenantQuota account(Site.Tenant tenant) {
        return accounts.computeIfAbsent(tenant.name(), name -> tenant.account());
    }

    /** The session's text, found by what its turn before was; a first turn begins one. */
    private CachedPrefix talk(GenerationRequest ask) {
        CachedPrefix text =
                ask.previousTurnDigest() == null ? null : talks.get(ask.previousTurnDigest());
        if (text == null) {
            text = talks.get(ask.turnDigest());
        }
        if (text == null) {
            text = new CachedPrefix(ask.sessionId());
        }
        talks.put(ask.turnDigest(), text);
        return text;
    }

    private CachedPrefix prefix(GenerationRequest ask) {
        return ask.sharedPrefixId() == null
                ? null
                : prefixes.computeIfAbsent(ask.sharedPrefixId(), CachedPrefix::new);
    }

    // ------------------------------------------------------------------ what happens to a client

    void gone(InFlightRequest one) {
        if (!one.duty.finish(ResponseGuard.FinalAnswer.DISCONNECTED)) {
            return;
        }
        tick();
        meters.answered(number, one.ask.offering().product.name, "gone", Double.NaN);
        LOG.atDebug().addKeyValue("generation", one.gen.id).log("client gone");
        abandon(one);
    }

    /** The module is told, and every attempt is called off. */
    private void abandon(InFlightRequest one) {
        guarded(one, () -> choice.clientDisconnected(one.gen));
        for (InFlightAttempt trip : one.trips) {
            if (!trip.ended) {
                callOff(trip, CancellationReason.REQUEST_OVER);
            }
        }
        settle(one);
    }

    void pause(InFlightRequest one) {
        if (one.paused) {
            return;
        }
        tick();
        one.paused = true;
        one.pausedMs = nowMs;
        if (one.streaming != null) {
            one.streaming.flight.pause();
        }
        double since = nowMs;
        ground.schedule(
                site.limit.slowClientMs,
                () -> {
                    if (one.paused
                            && one.pausedMs == since
                            && one.duty.finish(ResponseGuard.FinalAnswer.FAILED)) {
                        // Guards against: a client that takes nothing would hold its writer's
                        // memory for
                        // ever.
                        tick();
                        meters.answered(
                                number, one.ask.offering().product.name, "slow_client", Double.NaN);
                        one.client.aborted();
                        abandon(one);
                    }
                });
    }

    void resume(InFlightRequest one) {
        if (one.paused) {
            tick();
            one.paused = false;
            one.lastPieceMs = nowMs;
            if (one.streaming != null) {
                one.streaming.flight.resume();
            }
        }
    }

    /** The client's time is up: for its first token, or for the whole of an answer in one piece. */
    private void limit(InFlightRequest one) {
        tick();
        one.limitTimer = -1;
        if (!one.duty.isDone() && !one.duty.isBegun()) {
            // The module gives up earlier than this; it is told, and its client answered, if ever
            // it did not.
            terminate(one, ResponseSink.FailureCause.DEADLINE_EXCEEDED);
            abandon(one);
        }
        for (InFlightAttempt trip : one.trips) {
            if (!trip.ended && !one.duty.isBegun()) {
                callOff(trip, CancellationReason.TIME_UP);
            }
        }
        if (one.duty.isBegun() && !one.duty.isDone() && one.ask.unstreamed()) {
            one.limitTimer =
                    ground.schedule(
                            one.wholeAtMs - nowMs,
                            () -> {
                                one.limitTimer = -1;
                                if (!one.duty.isDone()) {
                                    tick();
                                    terminate(one, ResponseSink.FailureCause.DEADLINE_EXCEEDED);
                                    abandon(one);
                                }
                            });
        }
    }

    // ------------------------------------------------------------------ what the module decides

    @Override
    public double nowMs() {
        return nowMs;
    }

    @Override
    public void send(Attempt attempt) {
        InFlightRequest one = open.get(attempt.generation);
        EngineEntry row = rows.get(attempt.engine);
        Endpoint endpoint = new Endpoint(row.host(), row.port());
        InFlightAttempt source =
                attempt.read || attempt.generation.heldRead() == null
                        ? null
                        : one.tripOf(attempt.generation.heldRead());
        InFlightAttempt trip =
                new InFlightAttempt(
                        attempt, endpoint, attempt.generation.id + "." + attempt.number, source);
        one.trips.add(trip);
        GenerationRequest ask = one.ask;
        AttemptRequest order =
                new AttemptRequest(
                        trip.rid,
                        endpoint,
                        ask.model(),
                        ask.prompt(),
                        ask.maxTokens(),
                        ask.stops(),
                        ask.sampling(),
                        source == null ? null : source.state,
                        repeatKey(one),
                        ask.forwardedRequest(),
                        new SendGuard(attempt, one, ground, copiesAllowed));
        Ears ears = new Ears(one, trip);
        trip.holds = attempt.read;
        noteSend(one, trip);
        trip.flight = attempt.read ? link.read(order, ears) : link.write(order, ears);
        if (one.paused) {
            trip.flight.pause();
        }
    }

    /** Logs an attempt, and counts it with its reason where it is a further one of its stage. */
    private void noteSend(InFlightRequest one, InFlightAttempt trip) {
        String stage = stage(trip);
        InFlightAttempt before = null;
        for (InFlightAttempt earlier : one.trips) {
            if (earlier != trip && earlier.attempt.read == trip.attempt.read) {
                before = earlier;
            }
        }
        String why =
                before == null
                        ? "first"
                        : before.attempt.isInFlight()
                                ? "beside"
                                : before.attempt.outcome() == null
                                        ? "state_lost"
                                        : before.attempt.outcome().name().toLowerCase(Locale.ROOT);
        if (before != null) {
            meters.retried(number, stage, why);
        }
        LOG.atDebug()
                .addKeyValue("generation", one.gen.id)
                .addKeyValue("attempt", trip.attempt.number)
                .addKeyValue("engine", trip.attempt.engine.label)
                .addKeyValue("stage", stage)
                .addKeyValue("reason", why)
                .log("SENT");
    }

    private static String stage(InFlightAttempt trip) {
        return trip.attempt.read ? "read" : "write";
    }

    /**
     * What engines drop repeats by: the client's own key, or the generation where the client gave
     * none.
     */
    private static String repeatKey(InFlightRequest one) {
        if (one.gen.trafficClass.effect != Effect.DEDUPLICATED) {
            return null;
        }
        return one.ask.idempotencyKey() != null ? one.ask.idempotencyKey() : one.gen.id;
    }

    @Override
    public void cancel(Attempt attempt) {
        callOff(open.get(attempt.generation).tripOf(attempt), CancellationReason.REPLACED);
    }

    private void callOff(InFlightAttempt trip, CancellationReason reason) {
        meters.calledOff(number, stage(trip), reason.tag());
        LOG.atDebug()
                .addKeyValue("generation", trip.attempt.generation.id)
                .addKeyValue("attempt", trip.attempt.number)
                .addKeyValue("reason", reason)
                .log("called off");
        if (reason == CancellationReason.TIME_UP) {
            trip.flight.expire();
        } else {
            trip.flight.cancel();
        }
        if (trip.attempt.read && trip.holds) {
            // Guards against: a read that ended as it was called off has left a state that no
            // outcome tells
            // of.
            trip.holds = false;
            link.release(trip.spot, trip.rid);
        }
    }

    @Override
    public void releaseState(Generation generation) {
        InFlightRequest one = open.get(generation);
        if (one == null) {
            return;
        }
        for (InFlightAttempt trip : one.trips) {
            if (trip.holds
                    && trip.ended
                    && one.trips.stream().noneMatch(t -> t.source == trip && !t.ended)) {
                trip.holds = false;
                link.release(trip.spot, trip.rid);
            }
        }
    }

    @Override
    public void reject(Generation generation, double comeBackMs) {
        InFlightRequest one = open.get(generation);
        if (one.duty.finish(ResponseGuard.FinalAnswer.REJECTED)) {
            answered(one, "throttled");
            turnedAway(one);
            one.client.rejected(comeBackMs);
        }
    }

    @Override
    public void fail(Generation generation) {
        InFlightRequest one = open.get(generation);
        terminate(
                one,
                nowMs >= one.limitAtMs - 100
                        ? ResponseSink.FailureCause.DEADLINE_EXCEEDED
                        : ResponseSink.FailureCause.UPSTREAM_FAILED);
    }

    private void terminate(InFlightRequest one, ResponseSink.FailureCause cause) {
        if (one.duty.finish(ResponseGuard.FinalAnswer.FAILED)) {
            answered(one, "terminated");
            if (cause == ResponseSink.FailureCause.DEADLINE_EXCEEDED) {
                turnedAway(one);
            }
            Effect effect = one.gen.trafficClass.effect;
            one.client.failed(
                    cause,
                    effect == Effect.IDEMPOTENT
                            || effect == Effect.DEDUPLICATED
                                    && one.gen.trafficClass.deduplicationScope
                                            == DeduplicationScope.ALL);
        }
    }

    private void turnedAway(InFlightRequest one) {
        if (!one.ask.offering().isBatch) {
            latencySample.turnedAway();
        }
    }

    /**
     * What the generations that are not batch work lived through since this was asked last; on the
     * loop.
     */
    public LatencySample latencySample() {
        tick();
        int hurried = 0;
        double longest = 0;
        for (InFlightRequest one : open.values()) {
            if (!one.ask.offering().isBatch && !one.duty.isDone()) {
                hurried++;
                if (one.gen.isWaiting()) {
                    longest =
                            Math.max(
                                    longest,
                                    (nowMs - one.gen.arrivedMs)
                                            / (one.gen.sloDeadlineMs() - one.gen.arrivedMs));
                }
            }
        }
        LatencySample felt = latencySample;
        felt.waiting(hurried, longest);
        latencySample = new LatencySample();
        return felt;
    }

    private void answered(InFlightRequest one, String kind) {
        if (one.gen.giveUpReason() != null) {
            meters.givenUp(
                    number,
                    one.gen.trafficClass.name,
                    one.gen.giveUpReason().name().toLowerCase(Locale.ROOT));
        }
        meters.answered(number, one.gen.trafficClass.name, kind, nowMs - one.gen.arrivedMs);
        LOG.atDebug()
                .addKeyValue("generation", one.gen.id)
                .addKeyValue("front", number)
                .addKeyValue("product", one.gen.trafficClass.name)
                .addKeyValue("attempts", one.trips.size())
                .addKeyValue("ms", Math.round(nowMs - one.gen.arrivedMs))
                .addKeyValue("reason", one.gen.giveUpReason())
                .log(kind);
    }

    @Override
    public void probeLoad(Engine engine) {
        EngineEntry row = rows.get(engine);
        link.probe(
                new Endpoint(row.host(), row.port()),
                (answered, report) ->
                        ground.execute(
                                () -> {
                                    tick();
                                    guarded(
                                            null,
                                            () -> choice.loadProbed(engine, answered, report));
                                    settleAll();
                                }));
    }

    @Override
    public void wakeAt(double atMs) {
        ground.schedule(
                atMs - nowMs,
                () -> {
                    tick();
                    guarded(null, choice::wakeUp);
                    settleAll();
                });
    }

    @Override
    public void watchEndpoints() {
        // The list comes unasked here.
        return;
    }

    @Override
    public void log(String line) {
        LOG.atWarn().addKeyValue("front", number).log(line);
    }

    // ------------------------------------------------------------------ what engines tell

    /** Hears one attempt and tells the module. */
    private final class Ears implements AttemptListener {
        private final InFlightRequest one;
        private final InFlightAttempt trip;

        Ears(InFlightRequest one, InFlightAttempt trip) {
            this.one = one;
            this.trip = trip;
        }

        @Override
        public void readCompleted(
                StateHandle state, int keptTokens, int promptTokens, LoadReport report) {
            tick();
            trip.ended = true;
            trip.state = state;
            trip.readTokens = one.meter.promptRead(promptTokens);
            one.ask.promptTokensReported().accept(promptTokens);
            trip.keptTokens = keptTokens;
            meters.attempt(number, "read", "READ");
            traced("READ");
            guarded(
                    one,
                    () ->
                            choice.readCompleted(
                                    trip.attempt, keptTokens, report, one.duty.isDone()));
            settle(one);
        }

        @Override
        public void responseStarted() {
            tick();
            if (!one.duty.begin()) {
                return;
            }
            one.streaming = trip;
            one.lastPieceMs = nowMs;
            traced("BEGUN");
            meters.firstToken(number, one.gen.trafficClass.name, nowMs - one.gen.arrivedMs);
            if (!one.ask.offering().isBatch) {
                latencySample.begun(
                        (nowMs - one.gen.arrivedMs)
                                / (one.gen.sloDeadlineMs() - one.gen.arrivedMs));
            }
            if (trip.source != null) {
                // It has been fetched: nothing of it is left at its reader.
                trip.source.holds = false;
                one.meter.responseStartedFromRead(trip.source.readTokens, trip.source.keptTokens);
            } else {
                one.meter.responseStartedInPlace(one.ask.promptTokens());
            }
            guarded(one, () -> choice.responseStarted(trip.attempt));
            releaseState(one.gen);
            one.quietTimer = ground.schedule(site.limit.quietStreamMs, () -> quiet(one));
            if (!one.duty.isDone()) {
                one.client.responseStarted(trip.source == null ? 0 : trip.source.keptTokens);
            }
        }

        @Override
        public void textReceived(String text) {
            if (one.streaming == trip && !one.duty.isDone()) {
                tick();
                one.lastPieceMs = nowMs;
                meters.piece();
                if (one.client.textReceived(text)) {
                    one.meter.pieceSent();
                }
            }
        }

        private void traced(String what) {
            LOG.atDebug()
                    .addKeyValue("generation", one.gen.id)
                    .addKeyValue("attempt", trip.attempt.number)
                    .addKeyValue("engine", trip.attempt.engine.label)
                    .addKeyValue("toks", one.gen.promptTokens)
                    .addKeyValue("kept", trip.keptTokens)
                    .addKeyValue("sent", Math.round(trip.attempt.sentMs - one.gen.arrivedMs))
                    .addKeyValue("ms", Math.round(nowMs - one.gen.arrivedMs))
                    .log(what);
        }

        @Override
        public void eventsReceived(byte[] whole) {
            if (one.streaming == trip && !one.duty.isDone()) {
                tick();
                one.lastPieceMs = nowMs;
                one.client.eventsReceived(whole);
            }
        }

        @Override
        public void batchCompleted() {
            if (one.streaming == trip && !one.duty.isDone()) {
                one.client.flush();
            }
        }

        @Override
        public void stateReleased() {
            tick();
            traced("STATE_RELEASED");
            guarded(one, () -> choice.stateReleased(trip.attempt));
        }

        @Override
        public void notSent(SendRejection reason) {
            meters.notSent(number, reason.tag());
            LOG.atDebug()
                    .addKeyValue("generation", one.gen.id)
                    .addKeyValue("attempt", trip.attempt.number)
                    .addKeyValue("reason", reason)
                    .log("not sent");
        }

        @Override
        public void requestUnprocessable() {
            tick();
            // Guards against: sent on, it would use up its attempts and let every engine that
            // rightly
            // refuses it seem to fail.
            trip.ended = true;
            terminate(one, ResponseSink.FailureCause.UNUSABLE_ANSWER);
            abandon(one);
        }

        @Override
        public void attemptEnded(AttemptOutcome outcome, LoadReport report, Completion ending) {
            tick();
            trip.ended = true;
            meters.attempt(number, trip.attempt.read ? "read" : "write", outcome.name());
            if (trip.holds) {
                trip.holds = false;
                if (!outcome.provesNotRun) {
                    // Guards against: its state may wait there though its answer did not come.
                    link.release(trip.spot, trip.rid);
                }
            }
            if (one.streaming == trip) {
                if (outcome == AttemptOutcome.STREAMED
                        && one.duty.finish(ResponseGuard.FinalAnswer.COMPLETED)) {
                    one.meter.responseCompleted(ending.outputTokens());
                    answered(one, "streamed");
                    recorded(one, () -> one.client.completed(ending));
                } else {
                    // A stream that breaks is lost: part of it has been seen, so no other attempt
                    // can go on with it.
                    terminate(one, ResponseSink.FailureCause.UPSTREAM_FAILED);
                }
            }
            boolean over = one.duty.isDone();
            LOG.atDebug()
                    .addKeyValue("generation", one.gen.id)
                    .addKeyValue("attempt", trip.attempt.number)
                    .addKeyValue("engine", trip.attempt.engine.label)
                    .log(outcome.name());
            guarded(one, () -> choice.attemptEnded(trip.attempt, outcome, report, over));
            settle(one);
        }
    }

    private void quiet(InFlightRequest one) {
        one.quietTimer = -1;
        if (one.duty.isDone()) {
            return;
        }
        tick();
        double left = one.lastPieceMs + site.limit.quietStreamMs - nowMs;
        if (one.paused || left > 1) {
            one.quietTimer =
                    ground.schedule(one.paused ? site.limit.quietStreamMs : left, () -> quiet(one));
        } else {
            meters.calledOff(number, stage(one.streaming), CancellationReason.SILENT_STREAM.tag());
            one.streaming.flight.expire();
        }
    }

    /**
     * A new complete list. An id at another address is another engine; the old one counts as gone.
     */
    public void endpointsChanged(List<EngineEntry> list) {
        tick();
        List<EndpointUpdate> entries = new ArrayList<>();
        for (EngineEntry row : list) {
            Engine engine = forEachEngine.computeIfAbsent(row.id(), Engine::new);
            EngineEntry before = rows.get(engine);
            if (before != null
                    && (before.port() != row.port() || !before.host().equals(row.host()))) {
                // Guards against: what is known of an address, and the attempts out there, are not
                // those of
                // the new one.
                engine = new Engine(row.id());
                forEachEngine.put(row.id(), engine);
            }
            rows.put(engine, row);
            entries.add(
                    new EndpointUpdate(
                            engine,
                            row.state(),
                            row.startMs(),
                            row.capacityUnits(),
                            row.zone(),
                            row.rack(),
                            row.role(),
                            row.memoryTokens()));
        }
        guarded(null, () -> choice.endpointsChanged(entries, true));
        forEachEngine
                .values()
                .removeIf(
                        engine ->
                                engine.state() == EndpointState.REMOVED
                                        && engine.attempts().isEmpty());
        rows.keySet().removeIf(engine -> !forEachEngine.containsValue(engine));
        settleAll();
    }

    /** The engines that the module knows, with where they listen; to be looked at only. */
    public void forEachEngine(BiConsumer<Endpoint, Engine> each) {
        rows.forEach((engine, row) -> each.accept(new Endpoint(row.host(), row.port()), engine));
    }

    public int generationsInFlight() {
        return open.size();
    }

    // ------------------------------------------------------------------ stopping

    /**
     * Takes nothing new; what is open may end until the stop time, the rest is terminated. Then
     * runs done.
     */
    public void shutDown(Runnable done) {
        stopping = true;
        whenIdle = done;
        ground.schedule(
                site.limit.stopMs,
                () -> {
                    tick();
                    for (InFlightRequest one : List.copyOf(open.values())) {
                        if (!one.duty.isDone()) {
                            terminate(one, ResponseSink.FailureCause.SHUTTING_DOWN);
                            abandon(one);
                        }
                    }
                });
        idle();
    }

    private void idle() {
        if (whenIdle != null && inside == 0 && open.isEmpty()) {
            Runnable done = whenIdle;
            whenIdle = null;
            ground.schedule(
                    Math.min(LAST_RELEASES_MS, site.releaseMs),
                    () -> closeLink(nowMs + site.releaseMs, done));
        }
    }

    /**
     * Closes the link once the last releases have been taken; after the time that a state may be
     * held they are void.
     */
    private void closeLink(double latestMs, Runnable done) {
        tick();
        if (link.hasPendingReleases() && nowMs < latestMs) {
            ground.schedule(RELEASE_LOOK_MS, () -> closeLink(latestMs, done));
            return;
        }
        link.close();
        done.run();
    }

    // ------------------------------------------------------------------ small things

    /** Read once a happening; it stands still while the module handles that. */
    private void tick() {
        nowMs = ground.nowMs();
    }

    private void lookAtSelf() {
        tick();
        if (lookedMs > 0) {
            meters.loopDelay(number, Math.max(0, nowMs - lookedMs - LOOK_MS));
        }
        lookedMs = nowMs;
        openSeen = open.size();
        heldSeen = heldStates();
    }

    private int heldStates() {
        int held = 0;
        for (InFlightRequest one : open.values()) {
            for (InFlightAttempt trip : one.trips) {
                held += trip.holds ? 1 : 0;
            }
        }
        return held;
    }

    /**
     * Guards against: a fault of the module would lose the generation it was deciding on; that one
     * is terminated.
     */
    private void guarded(InFlightRequest one, Runnable step) {
        try {
            step.run();
        } catch (RuntimeException e) {
            meters.fault(number);
            LOG.error("the decision module failed", e);
            if (one != null) {
                terminate(one, ResponseSink.FailureCause.INTERNAL);
                one.gen.finish();
            }
        }
    }

    private void settleAll() {
        if (open.size() > 0) {
            List<InFlightRequest> done = null;
            for (InFlightRequest one : open.values()) {
                if (one.duty.isDone() && one.gen.attemptsInFlight() == 0) {
                    done = done == null ? new ArrayList<>() : done;
                    done.add(one);
                }
            }
            if (done != null) {
                done.forEach(this::settle);
            }
        }
    }

    /** What it used is settled with its budget and written down, once. */
    private void bill(InFlightRequest one) {
        // Guards against: what was gathered for a client that left never went to its socket.
        one.meter.piecesNotSent(one.client.pendingPieces());
        if (one.ask.unstreamed() && one.duty.given() != ResponseGuard.FinalAnswer.COMPLETED) {
            one.meter.responseDiscarded();
        }
        updateBudgets.settle(one.charge, one.meter.billedTokens(), nowMs);
        if (ledger == null || one.meter.billedTokens() + one.meter.wastedTokens() <= 0) {
            return;
        }
        if (!one.recorded) {
            record(one, usage(one), null);
        } else if (one.meter.wastedTokens() > one.recordedWaste
                || one.trips.size() > one.recordedAttempts) {
            // What a second attempt did that came home after the answer; its record is joined to
            // the first.
            record(
                    one,
                    new Usage(
                            one.billId,
                            one.ask.tenant().name(),
                            one.gen.trafficClass.name,
                            (long) nowMs,
                            "waste",
                            0,
                            0,
                            0,
                            one.meter.wastedTokens() - one.recordedWaste,
                            one.trips.size() - one.recordedAttempts),
                    null);
        }
    }

    private Usage usage(InFlightRequest one) {
        return new Usage(
                one.billId,
                one.ask.tenant().name(),
                one.gen.trafficClass.name,
                (long) nowMs,
                one.duty.given().recordedName,
                one.meter.promptTokens(),
                one.meter.cachedTokens(),
                one.meter.outputTokens(),
                one.meter.wastedTokens(),
                one.trips.size());
    }

    private boolean record(InFlightRequest one, Usage usage, Runnable onDisk) {
        if (ledger.offer(usage, onDisk)) {
            return true;
        }
        meters.unbilled(number);
        LOG.atError()
                .addKeyValue("generation", one.gen.id)
                .addKeyValue("tenant", usage.tenant())
                .addKeyValue("prompt", usage.promptTokens())
                .addKeyValue("out", usage.outTokens())
                .log("not written: the ledger's queue is full");
        return false;
    }

    /**
     * Where the site wants it, the end of a whole answer waits until its use is on disk, so that no
     * kill in between leaves an answer that nobody is billed for. A slow disk holds it up no longer
     * than the site says, nor than the client's time.
     */
    private void recorded(InFlightRequest one, Runnable end) {
        if (ledger == null || site.answerWaitsMs <= 0) {
            end.run();
            return;
        }
        one.client.flush();
        boolean[] told = new boolean[1];
        Runnable once =
                () -> {
                    if (!told[0]) {
                        told[0] = true;
                        end.run();
                    }
                };
        one.recorded = record(one, usage(one), () -> ground.execute(once));
        one.recordedWaste = one.meter.wastedTokens();
        one.recordedAttempts = one.trips.size();
        double wait = one.recorded ? site.answerWaitsMs : 0;
        wait = one.ask.unstreamed() ? Math.min(wait, one.wholeAtMs - LAST_RESORT_MS - nowMs) : wait;
        if (wait <= 0) {
            once.run();
        } else {
            ground.schedule(wait, once);
        }
    }

    /** Other budgets, from now on; what is in flight stays charged. */
    public void updateBudgets(Site changed) {
        tick();
        changed.budgetsTo(updateBudgets, nowMs);
    }

    /** What a tenant has used this month by the ledger; told before anything is taken. */
    public void restoreUsage(String tenant, String product, double used) {
        updateBudgets.restoreMonthlyUsage(tenant, product, used, nowMs);
    }

    /** A generation that is answered and has no attempt out is let go of. */
    private void settle(InFlightRequest one) {
        if (!one.duty.isDone() || one.gen.attemptsInFlight() > 0 || open.get(one.gen) == null) {
            return;
        }
        releaseState(one.gen);
        open.remove(one.gen);
        if (one.sameAs != null) {
            same.remove(one.sameAs, one);
        }
        bill(one);
        if (one.limitTimer >= 0) {
            ground.cancel(one.limitTimer);
        }
        if (one.quietTimer >= 0) {
            ground.cancel(one.quietTimer);
        }
        idle();
    }
}
