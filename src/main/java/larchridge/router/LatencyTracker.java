package larchridge.router;

import larchridge.planner.LatencySample;

/** Samples the latency of interactive (non-batch) generations, for the limit on batch work. */
final class LatencyTracker {
    private LatencySample sample = new LatencySample();

    /** An answer has begun. */
    void responseStarted(InFlightRequest request, double nowMs) {
        if (!request.isBatch()) {
            sample.recordFirstToken(request.shareOfLatencyObjective(nowMs));
        }
    }

    /** A request was rejected, or failed because its time was up. */
    void rejected(InFlightRequest request) {
        if (!request.isBatch()) {
            sample.recordRejection();
        }
    }

    /** The sample since the last call, completed by the requests in flight now. */
    LatencySample take(Iterable<InFlightRequest> requests, double nowMs) {
        int unanswered = 0;
        double longestWait = 0;
        for (InFlightRequest request : requests) {
            if (!request.isBatch() && !request.responseGuard().isDone()) {
                unanswered++;
                if (request.generation().isWaiting()) {
                    longestWait = Math.max(longestWait, request.shareOfLatencyObjective(nowMs));
                }
            }
        }
        LatencySample taken = sample;
        taken.recordUnanswered(unanswered, longestWait);
        sample = new LatencySample();
        return taken;
    }
}
