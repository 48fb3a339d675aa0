package larchridge.router;

import io.vertx.core.Context;
import io.vertx.core.Vertx;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import larchridge.budget.Budgets;
import larchridge.inventory.EngineEntry;
import larchridge.ledger.Ledger;
import larchridge.metrics.RouterMetrics;
import larchridge.planner.LatencySample;
import larchridge.policy.PolicyActions;
import larchridge.policy.PolicyEvents;
import larchridge.policy.RoutingPolicy;
import larchridge.site.Site;
import larchridge.state.Attempt;
import larchridge.state.EndpointUpdate;
import larchridge.state.Engine;
import larchridge.state.Generation;
import larchridge.state.RoutingSettings;
import larchridge.upstream.Endpoint;
import larchridge.upstream.UpstreamClient;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One router: an event loop, a routing policy and the generations it has admitted. It notifies the
 * policy of events and carries out what the policy decides; every choice of engine, wait, retry and
 * rejection is the policy's. All methods run on the loop on which it was made.
 */
public final class Router implements PolicyActions {
    private static final Logger LOG = LoggerFactory.getLogger(Router.class);

    /** Null with a scheduler that is no Vert.x loop. */
    private final Vertx vertx;

    private final Context loop;
    private final RouterContext context;
    private final Budgets budgets;
    private final EndpointTable endpoints = new EndpointTable();
    private final GracefulShutdown shutdown;
    private final ReadStateReleases readStates;
    private final FinalResponseSender finalResponses;
    private final PolicyNotifier policy;
    private final AttemptCanceller attemptCanceller;
    private final RequestCloser closer;
    private final RequestTimeouts timeouts;
    private final AttemptSender attemptSender;
    private final AdmissionController admission;

    /** To be made on the loop that is to own it; ledger is null where usage is not recorded. */
    public Router(
            Vertx vertx,
            Site site,
            int routerNumber,
            UpstreamClient upstream,
            RouterMetrics metrics,
            Ledger ledger) {
        this(
                vertx,
                new RouterContext(new VertxScheduler(vertx), site, routerNumber, upstream, metrics),
                ledger,
                RoutingPolicy::new);
    }

    /**
     * A router on another scheduler, with the policy that is given; servers that need a Vert.x loop
     * can't use it.
     */
    public Router(
            Scheduler scheduler,
            Site site,
            int routerNumber,
            UpstreamClient upstream,
            RouterMetrics metrics,
            PolicyEvents.Factory policyFactory) {
        this(
                null,
                new RouterContext(scheduler, site, routerNumber, upstream, metrics),
                null,
                policyFactory);
    }

    private Router(
            Vertx vertx, RouterContext context, Ledger ledger, PolicyEvents.Factory policyFactory) {
        this.vertx = vertx;
        this.context = context;
        loop = context.scheduler instanceof VertxScheduler own ? own.loop() : null;
        final String idPrefix = context.scheduler.uniqueIdPrefix();
        context.updateClock();
        budgets = context.site.budgetsOf(context.routerNumber, context.nowMs());
        final RoutingSettings settings = context.site.termsOf(context.routerNumber);

        shutdown = new GracefulShutdown(context);
        readStates = new ReadStateReleases(context);
        attemptCanceller = new AttemptCanceller(context, readStates);
        UsageRecorder usageRecorder = new UsageRecorder(context, budgets, ledger);
        finalResponses = new FinalResponseSender(context, usageRecorder);
        policy = new PolicyNotifier(context, finalResponses);
        closer =
                new RequestCloser(
                        context,
                        policy,
                        finalResponses,
                        attemptCanceller,
                        readStates,
                        usageRecorder,
                        shutdown);
        timeouts = new RequestTimeouts(context, closer, attemptCanceller);
        RequestServices services =
                new RequestServices(context, policy, finalResponses, readStates, closer, timeouts);
        attemptSender = new AttemptSender(services, endpoints, settings.hedgingAllowed());
        admission =
                new AdmissionController(this, services, budgets, usageRecorder, shutdown, idPrefix);

        policy.attach(policyFactory.create(settings, this));
        new LoopMonitor(context, readStates).start();
    }

    // ------------------------------------------------------------------ admission

    /** From now on a budget that is short of quota may borrow from the lender. */
    public void setQuotaClient(QuotaClient quotaClient) {
        admission.setQuotaClient(quotaClient);
    }

    /**
     * Whether one more exchange may start; each that may must be followed by one {@link
     * #exchangeEnded}.
     */
    public boolean tryAdmit() {
        return admission.tryAdmitExchange();
    }

    /** An exchange that was admitted is over. */
    public void exchangeEnded() {
        shutdown.exchangeEnded();
    }

    /**
     * Takes a generation; its client may get the final answer before this returns. The admitted
     * request is passed to {@code onAdmitted}, at once or as soon as the quota lender has answered.
     * It is not called where the tenant's budget does not allow the generation, since the client
     * has been answered then, nor where the client has disconnected.
     */
    public void submit(
            GenerationRequest generationRequest,
            ResponseSink responseSink,
            Consumer<InFlightRequest> onAdmitted) {
        context.updateClock();
        admission.submit(generationRequest, responseSink, onAdmitted);
    }

    /** Replaces the budgets from now on; requests in flight stay charged. */
    public void updateBudgets(Site changed) {
        context.updateClock();
        changed.budgetsTo(budgets, context.nowMs());
    }

    /** Sets what a tenant has used this month by the ledger; before anything is admitted. */
    public void restoreUsage(String tenant, String product, double usedTokens) {
        budgets.restoreMonthlyUsage(tenant, product, usedTokens, context.nowMs());
    }

    // ------------------------------------------------------------------ state for its neighbours

    /** Whether it has begun to shut down. */
    public boolean isStopping() {
        return shutdown.isStopping();
    }

    /** The site whose settings it was made with. */
    public Site site() {
        return context.site;
    }

    /** The Vert.x loop that owns it, or null on another scheduler. */
    public Context loop() {
        return loop;
    }

    /** The Vert.x instance of its loop, or null on another scheduler. */
    public Vertx vertx() {
        return vertx;
    }

    /** How many generations are in flight. */
    public int generationsInFlight() {
        return context.requests.size();
    }

    /** What interactive generations experienced since the last call; on the loop. */
    public LatencySample latencySample() {
        context.updateClock();
        return context.latencyTracker.takeSample(context.requests.values(), context.nowMs());
    }

    /** Visits the engines that the policy knows, with where they listen; to be read only. */
    public void forEachEngine(BiConsumer<Endpoint, Engine> visitor) {
        endpoints.forEach(visitor);
    }

    // ------------------------------------------------------------------ events

    void clientDisconnected(InFlightRequest request) {
        closer.clientDisconnected(request);
    }

    void pause(InFlightRequest request) {
        timeouts.pause(request);
    }

    void resume(InFlightRequest request) {
        timeouts.resume(request);
    }

    /**
     * A new complete list. An id at another address is another engine; the old one counts as
     * removed.
     */
    public void endpointsChanged(List<EngineEntry> list) {
        context.updateClock();
        List<EndpointUpdate> updates = endpoints.replaceWith(list);
        policy.endpointsChanged(updates);
        endpoints.dropRemoved();
        closer.closeAllFinished();
    }

    /**
     * Admits nothing new; requests in flight may end until the stop time, the rest fail. Then runs
     * {@code onStopped}.
     */
    public void shutDown(Runnable onStopped) {
        shutdown.begin(onStopped);
        context.scheduler.schedule(
                context.site.limit.stopMs,
                () -> {
                    context.updateClock();
                    closer.failAll(ResponseSink.FailureCause.SHUTTING_DOWN);
                });
        shutdown.checkIdle();
    }

    // ------------------------------------------------------------------ the policy's actions

    @Override
    public double nowMs() {
        return context.nowMs();
    }

    @Override
    public void send(Attempt attempt) {
        attemptSender.send(attempt);
    }

    @Override
    public void cancel(Attempt attempt) {
        InFlightRequest request = context.requests.get(attempt.generation);
        attemptCanceller.cancel(request.attemptOf(attempt), CancellationReason.REPLACED);
    }

    @Override
    public void releaseState(Generation generation) {
        readStates.releaseUnclaimed(generation);
    }

    @Override
    public void reject(Generation generation, double retryAfterMs) {
        finalResponses.reject(context.requests.get(generation), retryAfterMs);
    }

    @Override
    public void fail(Generation generation) {
        finalResponses.fail(context.requests.get(generation));
    }

    @Override
    public void probeLoad(Engine engine) {
        context.upstream.probe(
                endpoints.endpointOf(engine),
                (answered, report) ->
                        context.scheduler.execute(
                                () -> {
                                    context.updateClock();
                                    policy.loadProbed(engine, answered, report);
                                    closer.closeAllFinished();
                                }));
    }

    @Override
    public void wakeAt(double atMs) {
        context.scheduler.schedule(
                atMs - context.nowMs(),
                () -> {
                    context.updateClock();
                    policy.wakeUp();
                    closer.closeAllFinished();
                });
    }

    @Override
    public void watchEndpoints() {
        // The endpoint list is pushed to this router without a watch.

    }

    @Override
    public void log(String line) {
        LOG.atWarn().addKeyValue("router", context.routerNumber).log(line);
    }
}
