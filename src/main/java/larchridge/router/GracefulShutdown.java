package larchridge.router;

/**
 * Counts the clients' exchanges. Once the router is shutting down, waits until none is left and
 * engines have acknowledged the last state releases, then closes the connections to the engines.
 */
final class GracefulShutdown {
    /** Time for engines to acknowledge the last state releases before these are first checked. */
    private static final double RELEASE_GRACE_MS = 200;

    /** Interval between checks of the last state releases after that. */
    private static final double RELEASE_CHECK_INTERVAL_MS = 20;

    private final RouterContext context;
    private int exchanges;
    private boolean stopping;

    /**
     * Called at the end of the shutdown; null before the shutdown begins and once the router is
     * idle.
     */
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

    /** Proceeds to the last state releases if the router is shutting down and is idle. */
    void checkIdle() {
        if (onStopped != null && exchanges == 0 && context.requests.isEmpty()) {
            Runnable whenStopped = onStopped;
            onStopped = null;
            double releaseMs = context.site.maxStateHoldMs;
            context.scheduler.schedule(
                    Math.min(RELEASE_GRACE_MS, releaseMs),
                    () -> closeUpstream(context.nowMs() + releaseMs, whenStopped));
        }
    }

    /**
     * Closes the connections once engines have acknowledged the last state releases, or after the
     * deadline, when engines have freed the states themselves and releases have no effect.
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
