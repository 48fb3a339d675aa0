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
 * One router: an event loop, a routing policy and the generations that it has admitted. It notifies
 * the policy of events and carries out the policy's decisions; for an admitted generation, the
 * policy makes every choice of engine, wait, retry and rejection. All methods run on the loop on
 * which the router was created.
 */
public final class Router implements PolicyActions {
    private static final Logger LOG = LoggerFactory.getLogger(Router.class);

    /** Null if the scheduler is not a Vert.x loop. */
    private final Vertx vertx;

    private final Context loop;
    private final RouterContext context;
    private final Budgets budgets;
    private final EndpointTable endpoints = new EndpointTable();
    private final GracefulShutdown shutdown;
    private final ReadStateReleaser readStateReleaser;
    private final FinalResponseSender finalResponses;
    private final PolicyNotifier policy;
    private final AttemptCanceller attemptCanceller;
    private final RequestCloser closer;
    private final RequestTimeouts timeouts;
    private final AttemptSender attemptSender;
    private final AdmissionController admission;

    /**
     * Creates a router on the current Vert.x loop, which owns it. {@code ledger} is null if usage
     * is not recorded.
     */
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
     * Creates a router with another scheduler and the given policy. Servers that need a Vert.x loop
     * cannot use it.
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
        loop =
                context.scheduler instanceof VertxScheduler vertxScheduler
                        ? vertxScheduler.loop()
                        : null;
        final String idPrefix = context.scheduler.uniqueIdPrefix();
        context.updateClock();
        budgets = context.site.createBudgets(context.routerNumber, context.nowMs());
        final RoutingSettings settings = context.site.routingSettingsOf(context.routerNumber);

        shutdown = new GracefulShutdown(context);
        readStateReleaser = new ReadStateReleaser(context);
        attemptCanceller = new AttemptCanceller(context, readStateReleaser);
        UsageRecorder usageRecorder = new UsageRecorder(context, budgets, ledger);
        finalResponses = new FinalResponseSender(context, usageRecorder);
        policy = new PolicyNotifier(context, finalResponses);
        closer =
                new RequestCloser(
                        context,
                        policy,
                        finalResponses,
                        attemptCanceller,
                        readStateReleaser,
                        usageRecorder,
                        shutdown);
        timeouts = new RequestTimeouts(context, closer, attemptCanceller);
        RequestServices services =
                new RequestServices(
                        context, policy, finalResponses, readStateReleaser, closer, timeouts);
        attemptSender = new AttemptSender(services, endpoints, settings.hedgingAllowed());
        admission =
                new AdmissionController(this, services, budgets, usageRecorder, shutdown, idPrefix);

        policy.attach(policyFactory.create(settings, this));
        new LoopMonitor(context, readStateReleaser).start();
    }

    // ------------------------------------------------------------------ admission

    /** Sets the client through which budgets that run short lease tokens from the lender. */
    public void setTokenLeaseClient(TokenLeaseClient tokenLeaseClient) {
        admission.setTokenLeaseClient(tokenLeaseClient);
    }

    /**
     * Admits one more exchange, or returns false. An exchange is one request of a client and its
     * response; it is counted before its generation is submitted, until the one call of {@link
     * #exchangeEnded} that must follow.
     */
    public boolean tryAdmitExchange() {
        return admission.tryAdmitExchange();
    }

    /** An admitted exchange has ended. */
    public void exchangeEnded() {
        shutdown.exchangeEnded();
    }

    /**
     * Submits a generation; its client may get the final response before this method returns. The
     * admitted request is passed to {@code onAdmitted}, either immediately or once a request for a
     * lease has ended. {@code onAdmitted} is not called if a budget does not allow the generation,
     * since its client has been sent the rejection, nor if the client disconnects while the
     * lender's response is awaited.
     */
    public void submit(
            GenerationRequest generationRequest,
            ResponseSink responseSink,
            Consumer<InFlightRequest> onAdmitted) {
        context.updateClock();
        admission.submit(generationRequest, responseSink, onAdmitted);
    }

    /** Replaces the budgets; requests in flight stay charged. */
    public void updateBudgets(Site newSite) {
        context.updateClock();
        newSite.configureBudgets(budgets, context.nowMs());
    }

    /**
     * Restores a tenant's usage of the current month from the ledger; must be called before any
     * admission.
     */
    public void restoreUsage(String tenant, String product, double usedTokens) {
        budgets.restoreMonthlyUsage(tenant, product, usedTokens, context.nowMs());
    }

    // ------------------------------------------------------------------ state

    /** Whether the router is shutting down. */
    public boolean isStopping() {
        return shutdown.isStopping();
    }

    /** The site whose settings the router was created with. */
    public Site site() {
        return context.site;
    }

    /** The Vert.x loop that owns the router, or null with another scheduler. */
    public Context loop() {
        return loop;
    }

    /** The Vert.x instance of its loop, or null with another scheduler. */
    public Vertx vertx() {
        return vertx;
    }

    /** Number of generations in flight. */
    public int generationsInFlight() {
        return context.requests.size();
    }

    /**
     * Returns the latency of interactive generations since the last call, and starts a new sample;
     * must be called on the loop.
     */
    public LatencySample takeLatencySample() {
        context.updateClock();
        return context.latencyTracker.takeSample(context.requests.values(), context.nowMs());
    }

    /**
     * Visits the engines that the policy knows, with their addresses; the engines must not be
     * modified.
     */
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
     * Replaces the endpoint list. An id at a new address is a new engine; the previous one counts
     * as removed.
     */
    public void endpointsChanged(List<EngineEntry> list) {
        context.updateClock();
        List<EndpointUpdate> updates = endpoints.replaceWith(list);
        policy.endpointsChanged(updates);
        endpoints.dropRemoved();
        closer.closeAllFinished();
    }

    /**
     * Stops admission. Requests in flight may complete until the stop timeout, when the remaining
     * ones fail; then {@code onStopped} is called.
     */
    public void shutDown(Runnable onStopped) {
        shutdown.begin(onStopped);
        context.scheduler.schedule(
                context.site.limits.shutdownTimeoutMs,
                () -> {
                    context.updateClock();
                    closer.failAll(ResponseSink.FailureCause.SHUTTING_DOWN);
                });
        shutdown.checkIdle();
    }

    // ------------------------------------------------------------------ policy actions

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
        readStateReleaser.releaseUnclaimed(generation);
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
        // No-op: the endpoint list is pushed to the router through endpointsChanged.

    }

    @Override
    public void log(String line) {
        LOG.atWarn().addKeyValue("router", context.routerNumber).log(line);
    }
}
