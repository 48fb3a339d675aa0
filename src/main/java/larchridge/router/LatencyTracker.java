package larchridge.router;

import larchridge.planner.LatencySample;

/**
 * Samples the latency of interactive (non-batch) generations; the limit on batch work depends on
 * it.
 */
final class LatencyTracker {
    private LatencySample sample = new LatencySample();

    /** A response has started. */
    void responseStarted(InFlightRequest request, double nowMs) {
        if (!request.isBatch()) {
            sample.recordFirstToken(request.latencyObjectiveFraction(nowMs));
        }
    }

    /** A request was rejected, or failed because its deadline had passed. */
    void rejectedOrTimedOut(InFlightRequest request) {
        if (!request.isBatch()) {
            sample.recordOverloadFailure();
        }
    }

    /** Returns the sample since the last call, including the requests that are in flight now. */
    LatencySample takeSample(Iterable<InFlightRequest> requests, double nowMs) {
        int unfinished = 0;
        double longestWaitFraction = 0;
        for (InFlightRequest request : requests) {
            if (!request.isBatch() && !request.responseGuard().isFinished()) {
                unfinished++;
                if (request.generation().isWaiting()) {
                    longestWaitFraction =
                            Math.max(longestWaitFraction, request.latencyObjectiveFraction(nowMs));
                }
            }
        }
        LatencySample taken = sample;
        taken.setUnanswered(unfinished, longestWaitFraction);
        sample = new LatencySample();
        return taken;
    }
}
