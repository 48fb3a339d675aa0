package larchridge.router;

/**
 * Ends requests that exceed a deadline, whose clients do not read their response, or whose streams
 * are idle for too long.
 */
final class RequestTimeouts {
    /**
     * The router fails a request this long before the client's deadline if the policy, which gives
     * up earlier, has not.
     */
    static final double DEADLINE_MARGIN_MS = 8;

    /** A stream with this much or less of its idle timeout left counts as idle. */
    private static final double IDLE_TOLERANCE_MS = 1;

    private final RouterContext context;
    private final RequestCloser closer;
    private final AttemptCanceller attemptCanceller;

    RequestTimeouts(
            RouterContext context, RequestCloser closer, AttemptCanceller attemptCanceller) {
        this.context = context;
        this.closer = closer;
        this.attemptCanceller = attemptCanceller;
    }

    // ------------------------------------------------------------------ deadlines

    /** Ends the request if its response has not started shortly before the deadline. */
    void watchDeadline(InFlightRequest request) {
        double delayMs = request.firstTokenDeadlineMs() - context.nowMs() - DEADLINE_MARGIN_MS;
        request.setDeadlineTimer(
                context.scheduler.schedule(delayMs, () -> firstTokenDeadlineReached(request)));
    }

    private void firstTokenDeadlineReached(InFlightRequest request) {
        context.updateClock();
        request.clearDeadlineTimer();
        ResponseGuard responseGuard = request.responseGuard();
        if (!responseGuard.isFinished() && !responseGuard.isStarted()) {
            closer.failAndAbandon(request, ResponseSink.FailureCause.DEADLINE_EXCEEDED);
        }
        if (!responseGuard.isStarted()) {
            attemptCanceller.cancelAll(request, CancellationReason.TIME_UP);
        }
        if (responseGuard.isStarted()
                && !responseGuard.isFinished()
                && request.generationRequest().nonStreaming()) {
            double delayMs = request.completionDeadlineMs() - context.nowMs();
            request.setDeadlineTimer(
                    context.scheduler.schedule(delayMs, () -> completionDeadlineReached(request)));
        }
    }

    private void completionDeadlineReached(InFlightRequest request) {
        request.clearDeadlineTimer();
        if (!request.responseGuard().isFinished()) {
            context.updateClock();
            closer.failAndAbandon(request, ResponseSink.FailureCause.DEADLINE_EXCEEDED);
        }
    }

    // ------------------------------------------------------------------ slow clients

    /**
     * Pauses the stream of a client that cannot receive more for now, and aborts the response if it
     * stays paused for too long.
     */
    void pause(InFlightRequest request) {
        if (request.isPaused()) {
            return;
        }
        context.updateClock();
        double sinceMs = context.nowMs();
        request.pauseStream(sinceMs);
        context.scheduler.schedule(
                context.site.limits.pausedStreamTimeoutMs,
                () -> {
                    // Guards against: a client that never reads its response would occupy its
                    // writer's memory indefinitely.
                    if (request.isPausedSince(sinceMs)) {
                        closer.abortSlowClient(request);
                    }
                });
    }

    /** Resumes the stream of a client that can receive more again. */
    void resume(InFlightRequest request) {
        if (request.isPaused()) {
            context.updateClock();
            request.resumeStream(context.nowMs());
        }
    }

    // ------------------------------------------------------------------ idle streams

    /** Ends the stream, which has just started, if it is idle for too long. */
    void watchStreamIdle(InFlightRequest request) {
        scheduleStreamIdleCheck(request, context.site.limits.streamIdleTimeoutMs);
    }

    private void scheduleStreamIdleCheck(InFlightRequest request, double delayMs) {
        request.setStreamIdleTimer(
                context.scheduler.schedule(delayMs, () -> checkStreamIdle(request)));
    }

    private void checkStreamIdle(InFlightRequest request) {
        request.clearStreamIdleTimer();
        if (request.responseGuard().isFinished()) {
            return;
        }
        context.updateClock();
        double idleTimeoutMs = context.site.limits.streamIdleTimeoutMs;
        double remainingMs = request.streamIdleSinceMs() + idleTimeoutMs - context.nowMs();
        if (request.isPaused()) {
            scheduleStreamIdleCheck(request, idleTimeoutMs);
        } else if (remainingMs > IDLE_TOLERANCE_MS) {
            scheduleStreamIdleCheck(request, remainingMs);
        } else {
            attemptCanceller.expireIdleStream(request.streamingAttempt());
        }
    }
}
