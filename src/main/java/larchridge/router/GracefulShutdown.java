package larchridge.router;

/**
 * Counts the clients' exchanges and, once the router shuts down, waits until none is left and the
 * last releases of states have been sent; then closes the connections to the engines.
 */
final class GracefulShutdown {
    /** How long the last releases have to be sent before they are first checked. */
    private static final double RELEASE_GRACE_MS = 200;

    /** How often the last releases are checked after that. */
    private static final double RELEASE_CHECK_INTERVAL_MS = 20;

    private final RouterContext context;
    private int exchanges;
    private boolean stopping;

    /** Run once all is over; null before the shutdown begins and after it has ended. */
    private Runnable onStopped;

    GracefulShutdown(RouterContext context) {
        this.context = context;
    }

    int exchanges() {
        return exchanges;
    }

    void exchangeStarted() {
        exchanges++;
    }

    void exchangeEnded() {
        exchanges--;
        checkIdle();
    }

    boolean isStopping() {
        return stopping;
    }

    void begin(Runnable whenStopped) {
        stopping = true;
        onStopped = whenStopped;
    }

    /** Goes on to the last releases if the router is shutting down and has nothing left to do. */
    void checkIdle() {
        if (onStopped != null && exchanges == 0 && context.requests.isEmpty()) {
            Runnable whenStopped = onStopped;
            onStopped = null;
            double releaseMs = context.site.releaseMs;
            context.scheduler.schedule(
                    Math.min(RELEASE_GRACE_MS, releaseMs),
                    () -> closeUpstream(context.nowMs() + releaseMs, whenStopped));
        }
    }

    /**
     * Closes the connections once the last releases have been sent; after the time for which
     * engines hold states they have no effect.
     */
    private void closeUpstream(double deadlineMs, Runnable whenStopped) {
        context.updateClock();
        if (context.upstream.hasPendingReleases() && context.nowMs() < deadlineMs) {
            context.scheduler.schedule(
                    RELEASE_CHECK_INTERVAL_MS, () -> closeUpstream(deadlineMs, whenStopped));
            return;
        }
        context.upstream.close();
        whenStopped.run();
    }
}
