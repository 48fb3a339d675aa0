package larchridge.router;

/** Ends requests whose time is up, whose clients take nothing or whose streams fall silent. */
final class RequestTimeouts {
    /**
     * The router answers this long before the client's deadline if the policy, which gives up
     * earlier, has not.
     */
    static final double LAST_RESORT_MS = 8;

    /** A stream that has this much or less of its quiet time left counts as silent. */
    private static final double QUIET_TOLERANCE_MS = 1;

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

    /** Ends the request if it has no answer shortly before its deadline. */
    void watchDeadline(InFlightRequest request) {
        double delayMs = request.firstTokenDeadlineMs() - context.nowMs() - LAST_RESORT_MS;
        request.setDeadlineTimer(
                context.scheduler.schedule(delayMs, () -> firstTokenDeadlineReached(request)));
    }

    private void firstTokenDeadlineReached(InFlightRequest request) {
        context.updateClock();
        request.clearDeadlineTimer();
        ResponseGuard responseGuard = request.responseGuard();
        if (!responseGuard.isDone() && !responseGuard.isBegun()) {
            closer.failAndAbandon(request, ResponseSink.FailureCause.DEADLINE_EXCEEDED);
        }
        if (!responseGuard.isBegun()) {
            attemptCanceller.cancelAll(request, CancellationReason.TIME_UP);
        }
        if (responseGuard.isBegun()
                && !responseGuard.isDone()
                && request.generationRequest().unstreamed()) {
            double delayMs = request.completionDeadlineMs() - context.nowMs();
            request.setDeadlineTimer(
                    context.scheduler.schedule(delayMs, () -> completionDeadlineReached(request)));
        }
    }

    private void completionDeadlineReached(InFlightRequest request) {
        request.clearDeadlineTimer();
        if (!request.responseGuard().isDone()) {
            context.updateClock();
            closer.failAndAbandon(request, ResponseSink.FailureCause.DEADLINE_EXCEEDED);
        }
    }

    // ------------------------------------------------------------------ slow clients

    /** The client takes no more for now; if it stays so for too long it is cut off. */
    void pause(InFlightRequest request) {
        if (request.isPaused()) {
            return;
        }
        context.updateClock();
        double sinceMs = context.nowMs();
        request.pauseStream(sinceMs);
        context.scheduler.schedule(
                context.site.limit.slowClientMs,
                () -> {
                    // Guards against: a client that takes nothing would hold its writer's memory
                    // for ever.
                    if (request.isPausedSince(sinceMs)) {
                        closer.abortSlowClient(request);
                    }
                });
    }

    /** The client takes more of its answer again. */
    void resume(InFlightRequest request) {
        if (request.isPaused()) {
            context.updateClock();
            request.resumeStream(context.nowMs());
        }
    }

    // ------------------------------------------------------------------ silent streams

    /** Ends the stream that has just begun if it falls silent for too long. */
    void watchStream(InFlightRequest request) {
        scheduleQuietCheck(request, context.site.limit.quietStreamMs);
    }

    private void scheduleQuietCheck(InFlightRequest request, double delayMs) {
        request.setQuietTimer(context.scheduler.schedule(delayMs, () -> checkQuietStream(request)));
    }

    private void checkQuietStream(InFlightRequest request) {
        request.clearQuietTimer();
        if (request.responseGuard().isDone()) {
            return;
        }
        context.updateClock();
        double quietStreamMs = context.site.limit.quietStreamMs;
        double leftMs = request.lastPieceMs() + quietStreamMs - context.nowMs();
        if (request.isPaused()) {
            scheduleQuietCheck(request, quietStreamMs);
        } else if (leftMs > QUIET_TOLERANCE_MS) {
            scheduleQuietCheck(request, leftMs);
        } else {
            attemptCanceller.expireSilentStream(request.streamingAttempt());
        }
    }
}
