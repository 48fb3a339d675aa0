package larchridge.router;

import java.util.Locale;
import larchridge.state.DeduplicationScope;
import larchridge.state.Effect;
import larchridge.state.TrafficClass;
import larchridge.upstream.AnswerSummary;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Sends each client its one final response, and counts and logs it. */
final class FinalResponseSender {
    private static final Logger LOG = LoggerFactory.getLogger(FinalResponseSender.class);

    /** A failure this close to the first-token deadline is reported as an exceeded deadline. */
    private static final double NEAR_DEADLINE_MS = 100;

    private final RouterContext context;
    private final UsageRecorder usageRecorder;

    FinalResponseSender(RouterContext context, UsageRecorder usageRecorder) {
        this.context = context;
        this.usageRecorder = usageRecorder;
    }

    /** Completes the response; returns false if a final response was sent before. */
    boolean complete(InFlightRequest request, AnswerSummary completion) {
        if (!request.responseGuard().finish(ResponseGuard.FinalResponse.COMPLETED)) {
            return false;
        }
        request.usageMeter().responseCompleted(completion.outputTokens());
        recordFinalResponse(request, "streamed");
        usageRecorder.recordThen(request, () -> request.responseSink().completed(completion));
        return true;
    }

    /** Rejects the request; a retry is harmless. Does nothing after a final response. */
    void reject(InFlightRequest request, double retryAfterMs) {
        if (request.responseGuard().finish(ResponseGuard.FinalResponse.REJECTED)) {
            recordFinalResponse(request, "throttled");
            context.latencyTracker.rejectedOrTimedOut(request);
            request.responseSink().rejected(retryAfterMs);
        }
    }

    /** Fails the request; the cause depends on whether its first-token deadline is near. */
    void fail(InFlightRequest request) {
        boolean nearDeadline = context.nowMs() >= request.firstTokenDeadlineMs() - NEAR_DEADLINE_MS;
        fail(
                request,
                nearDeadline
                        ? ResponseSink.FailureCause.DEADLINE_EXCEEDED
                        : ResponseSink.FailureCause.UPSTREAM_FAILED);
    }

    /** Fails the request with this cause. Does nothing after a final response. */
    void fail(InFlightRequest request, ResponseSink.FailureCause cause) {
        if (request.responseGuard().finish(ResponseGuard.FinalResponse.FAILED)) {
            recordFinalResponse(request, "terminated");
            if (cause == ResponseSink.FailureCause.DEADLINE_EXCEEDED) {
                context.latencyTracker.rejectedOrTimedOut(request);
            }
            request.responseSink().failed(cause, mayRetry(request.generation().trafficClass));
        }
    }

    private static boolean mayRetry(TrafficClass trafficClass) {
        return trafficClass.effect == Effect.IDEMPOTENT
                || (trafficClass.effect == Effect.DEDUPLICATED
                        && trafficClass.deduplicationScope == DeduplicationScope.ALL);
    }

    /** Counts the end of a request whose client disconnected or does not read its response. */
    void recordAborted(InFlightRequest request, String kind) {
        context.metrics.requestFinished(
                context.routerNumber, request.offering().trafficClass.name, kind, Double.NaN);
    }

    private void recordFinalResponse(InFlightRequest request, String kind) {
        // Equal to the product's name, also for a generation that is charged to a parent budget.
        String trafficClassName = request.generation().trafficClass.name;
        double elapsedMs = request.elapsedMs(context.nowMs());
        if (request.generation().giveUpReason() != null) {
            context.metrics.policyGaveUp(
                    context.routerNumber,
                    trafficClassName,
                    request.generation().giveUpReason().name().toLowerCase(Locale.ROOT));
        }
        context.metrics.requestFinished(context.routerNumber, trafficClassName, kind, elapsedMs);
        LOG.atDebug()
                .addKeyValue("generation", request.id())
                .addKeyValue("router", context.routerNumber)
                .addKeyValue("product", trafficClassName)
                .addKeyValue("attempts", request.attempts().size())
                .addKeyValue("ms", Math.round(elapsedMs))
                .addKeyValue("reason", request.generation().giveUpReason())
                .log(kind);
    }
}
