package larchridge.router;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import larchridge.budget.BudgetDecision;
import larchridge.budget.Budgets;
import larchridge.budget.QuotaRequest;
import larchridge.site.ProductOffering;
import larchridge.site.Site;
import larchridge.state.Generation;
import larchridge.state.TenantQuota;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Admits or rejects exchanges and generations: first by the router's own limits, then by the
 * tenant's budget and those above it, which may lease tokens from the lender.
 */
final class AdmissionController {
    private static final Logger LOG = LoggerFactory.getLogger(AdmissionController.class);

    private static final int ID_RADIX = 36;

    private final Router router;
    private final RequestServices services;
    private final RouterContext context;
    private final Budgets budgets;
    private final UsageRecorder usageRecorder;
    private final GracefulShutdown shutdown;
    private final String idPrefix;
    private final SessionRegistry sessions = new SessionRegistry();
    private final Map<String, TenantQuota> tenantQuotas = new HashMap<>();
    private long nextIdNumber;

    /** Null if no tokens are leased. */
    private TokenLeaseClient tokenLeaseClient;

    AdmissionController(
            Router router,
            RequestServices services,
            Budgets budgets,
            UsageRecorder usageRecorder,
            GracefulShutdown shutdown,
            String idPrefix) {
        this.router = router;
        this.services = services;
        this.context = services.context();
        this.budgets = budgets;
        this.usageRecorder = usageRecorder;
        this.shutdown = shutdown;
        this.idPrefix = idPrefix;
    }

    void setTokenLeaseClient(TokenLeaseClient client) {
        tokenLeaseClient = client;
    }

    /** Admits one more exchange and counts it, or returns false. */
    boolean tryAdmitExchange() {
        // Guards against: the usage of a request could not be billed if the ledger's queue were
        // full when the request ends. The ledger is behind before its queue is full.
        boolean ledgerBehind = usageRecorder.isBehind();
        if (shutdown.isStopping()
                || ledgerBehind
                || shutdown.exchanges() >= context.site.limits.maxOpenExchanges) {
            String reason =
                    shutdown.isStopping() ? "stopping" : ledgerBehind ? "ledger" : "too_many";
            context.metrics.exchangeNotAdmitted(context.routerNumber, reason);
            return false;
        }
        shutdown.exchangeStarted();
        return true;
    }

    /**
     * Admits a generation, or rejects it because a budget does not allow it; see {@link
     * Router#submit}.
     */
    void submit(
            GenerationRequest generationRequest,
            ResponseSink responseSink,
            Consumer<InFlightRequest> onAdmitted) {
        // Guards against: a client whose request body waited for its tokens to be counted would
        // wait that much longer than its deadline.
        double arrivedMs = context.nowMs() - generationRequest.sinceArrivalMs();
        BudgetDecision decision = checkBudget(generationRequest);
        if (!decision.isAdmitted() && decision.isRateLimited() && tokenLeaseClient != null) {
            if (requestLease(generationRequest, responseSink, arrivedMs, onAdmitted)) {
                return;
            }
            budgets.setLenderAvailable(tokenLeaseClient.isResponsive());
        }
        admitOrReject(generationRequest, responseSink, decision, arrivedMs, onAdmitted);
    }

    private BudgetDecision checkBudget(GenerationRequest generationRequest) {
        return budgets.requestAdmission(
                generationRequest.tenant().name(),
                generationRequest.offering().trafficClass.name,
                estimatedTokens(generationRequest),
                context.nowMs());
    }

    private static double estimatedTokens(GenerationRequest generationRequest) {
        return Budgets.estimate(generationRequest.promptTokens(), generationRequest.maxTokens());
    }

    /**
     * Requests a lease of the missing tokens, and decides on admission once the request has ended;
     * returns false if no lease can be requested.
     */
    private boolean requestLease(
            GenerationRequest generationRequest,
            ResponseSink responseSink,
            double arrivedMs,
            Consumer<InFlightRequest> onAdmitted) {
        QuotaRequest quotaRequest =
                budgets.quotaRequestFor(
                        generationRequest.tenant().name(),
                        generationRequest.offering().trafficClass.name,
                        estimatedTokens(generationRequest),
                        context.nowMs());
        if (quotaRequest == null) {
            return false;
        }
        TokenLeaseClient.Listener listener =
                (grantedTokens, retryAfterMs) -> {
                    context.updateClock();
                    budgets.setLenderAvailable(tokenLeaseClient.isResponsive());
                    budgets.addLease(
                            quotaRequest.budgetName(),
                            grantedTokens,
                            context.nowMs() + context.site.leaseDurationMs);
                    if (!responseSink.isDisconnected()) {
                        BudgetDecision newDecision = checkBudget(generationRequest);
                        admitOrReject(
                                generationRequest,
                                responseSink,
                                newDecision.isAdmitted()
                                        ? newDecision
                                        : newDecision.withRetryAfterAtLeast(retryAfterMs),
                                arrivedMs,
                                onAdmitted);
                    }
                };
        return tokenLeaseClient.request(quotaRequest, listener);
    }

    private void admitOrReject(
            GenerationRequest generationRequest,
            ResponseSink responseSink,
            BudgetDecision decision,
            double arrivedMs,
            Consumer<InFlightRequest> onAdmitted) {
        responseSink.budgetChecked(decision);
        if (!decision.isAdmitted()) {
            rejectOverBudget(generationRequest, responseSink, decision);
            return;
        }
        InFlightRequest request = newRequest(generationRequest, responseSink, decision, arrivedMs);
        usageRecorder.assignBillId(request);
        context.requests.put(request.generation(), request);
        services.timeouts().watchDeadline(request);
        services.policy().requestArrived(request);
        services.closer().closeIfFinished(request);
        onAdmitted.accept(request);
    }

    private void rejectOverBudget(
            GenerationRequest generationRequest,
            ResponseSink responseSink,
            BudgetDecision decision) {
        context.metrics.requestFinished(
                context.routerNumber,
                generationRequest.offering().trafficClass.name,
                "over_budget",
                Double.NaN);
        LOG.atDebug()
                .addKeyValue("tenant", generationRequest.tenant().name())
                .addKeyValue("reason", decision.reason())
                .log("request rejected by a budget");
        responseSink.rejectedOverBudget(decision);
    }

    private InFlightRequest newRequest(
            GenerationRequest generationRequest,
            ResponseSink responseSink,
            BudgetDecision decision,
            double arrivedMs) {
        ResponseDeadlines deadlines =
                ResponseDeadlines.of(
                        generationRequest.offering(),
                        generationRequest.promptTokens(),
                        generationRequest.maxTokens(),
                        generationRequest.nonStreaming(),
                        generationRequest.clientTimeoutMs());
        ProductOffering offering = generationRequest.offering();
        Generation generation =
                new Generation(
                        generationIdOf(generationRequest),
                        decision.charge().isBorrowed()
                                ? offering.borrowedTrafficClass
                                : offering.trafficClass,
                        tenantQuotaOf(generationRequest.tenant()),
                        sessions.sessionOf(generationRequest),
                        sessions.sharedPrefixOf(generationRequest),
                        generationRequest.promptTokens(),
                        generationRequest.sharedPrefixTokens(),
                        generationRequest.maxTokens(),
                        Double.NaN,
                        generationRequest.clientRetry(),
                        arrivedMs,
                        arrivedMs + deadlines.firstTokenMs);
        return new InFlightRequest(
                router,
                generationRequest,
                responseSink,
                generation,
                decision.charge(),
                arrivedMs + deadlines.completionMs);
    }

    /** The client's id for a forwarded request, or else an id that no other router assigns. */
    private String generationIdOf(GenerationRequest generationRequest) {
        return generationRequest.forwardedRequest() != null
                ? generationRequest.forwardedRequest().id()
                : idPrefix + Long.toString(nextIdNumber++, ID_RADIX);
    }

    private TenantQuota tenantQuotaOf(Site.Tenant tenant) {
        return tenantQuotas.computeIfAbsent(tenant.name(), name -> tenant.quota());
    }
}
