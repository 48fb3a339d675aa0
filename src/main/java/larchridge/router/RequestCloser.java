package larchridge.router;

import java.util.ArrayList;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Ends processing of requests that have their final response or whose clients have disconnected.
 */
final class RequestCloser {
    private static final Logger LOG = LoggerFactory.getLogger(RequestCloser.class);

    private final RouterContext context;
    private final PolicyNotifier policy;
    private final FinalResponseSender finalResponses;
    private final AttemptCanceller attemptCanceller;
    private final ReadStateReleaser readStateReleaser;
    private final UsageRecorder usageRecorder;
    private final GracefulShutdown shutdown;

    RequestCloser(
            RouterContext context,
            PolicyNotifier policy,
            FinalResponseSender finalResponses,
            AttemptCanceller attemptCanceller,
            ReadStateReleaser readStateReleaser,
            UsageRecorder usageRecorder,
            GracefulShutdown shutdown) {
        this.context = context;
        this.policy = policy;
        this.finalResponses = finalResponses;
        this.attemptCanceller = attemptCanceller;
        this.readStateReleaser = readStateReleaser;
        this.usageRecorder = usageRecorder;
        this.shutdown = shutdown;
    }

    /** Ends a request whose client disconnected. */
    void clientDisconnected(InFlightRequest request) {
        if (!request.responseGuard().finish(ResponseGuard.FinalResponse.DISCONNECTED)) {
            return;
        }
        context.updateClock();
        finalResponses.recordAborted(request, "gone");
        LOG.atDebug().addKeyValue("generation", request.id()).log("client disconnected");
        abandon(request);
    }

    /** Aborts the response to a client that does not read it. */
    void abortSlowClient(InFlightRequest request) {
        if (!request.responseGuard().finish(ResponseGuard.FinalResponse.FAILED)) {
            return;
        }
        context.updateClock();
        finalResponses.recordAborted(request, "slow_client");
        request.responseSink().aborted();
        abandon(request);
    }

    /** Fails a request and cancels its attempts. */
    void failAndAbandon(InFlightRequest request, ResponseSink.FailureCause cause) {
        finalResponses.fail(request, cause);
        abandon(request);
    }

    /** Fails all requests in flight that have no final response yet. */
    void failAll(ResponseSink.FailureCause cause) {
        for (InFlightRequest request : List.copyOf(context.requests.values())) {
            if (!request.responseGuard().isFinished()) {
                failAndAbandon(request, cause);
            }
        }
    }

    /** Notifies the policy that no client waits for the request, and cancels its attempts. */
    private void abandon(InFlightRequest request) {
        policy.clientDisconnected(request);
        attemptCanceller.cancelAll(request, CancellationReason.REQUEST_OVER);
        closeIfFinished(request);
    }

    /** Removes the request if it has its final response and no attempt in flight. */
    void closeIfFinished(InFlightRequest request) {
        if (!isFinished(request) || context.requests.get(request.generation()) == null) {
            return;
        }
        readStateReleaser.releaseUnclaimed(request.generation());
        context.requests.remove(request.generation());
        usageRecorder.settle(request);
        request.cancelTimers(context.scheduler);
        shutdown.checkIdle();
    }

    /** Removes all finished requests, after an event that does not concern a single request. */
    void closeAllFinished() {
        if (context.requests.isEmpty()) {
            return;
        }
        List<InFlightRequest> finished = null;
        for (InFlightRequest request : context.requests.values()) {
            if (isFinished(request)) {
                finished = finished == null ? new ArrayList<>() : finished;
                finished.add(request);
            }
        }
        if (finished != null) {
            finished.forEach(this::closeIfFinished);
        }
    }

    private static boolean isFinished(InFlightRequest request) {
        return request.responseGuard().isFinished() && request.generation().attemptsInFlight() <= 0;
    }
}
