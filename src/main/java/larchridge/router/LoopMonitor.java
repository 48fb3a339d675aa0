package larchridge.router;

/**
 * Measures the scheduling delay of the router's loop, and publishes gauge values to other threads.
 */
final class LoopMonitor {
    private static final int INTERVAL_MS = 100;

    private final RouterContext context;
    private final ReadStateReleaser readStateReleaser;
    private double lastRunMs;
    private volatile int requestsInFlight;
    private volatile int heldStates;

    LoopMonitor(RouterContext context, ReadStateReleaser readStateReleaser) {
        this.context = context;
        this.readStateReleaser = readStateReleaser;
    }

    void start() {
        context.metrics.registerRouter(
                context.routerNumber, () -> requestsInFlight, () -> heldStates);
        context.scheduler.scheduleAtFixedDelay(INTERVAL_MS, this::run);
    }

    private void run() {
        context.updateClock();
        if (lastRunMs > 0) {
            double delayMs = Math.max(0, context.nowMs() - lastRunMs - INTERVAL_MS);
            context.metrics.loopDelay(context.routerNumber, delayMs);
        }
        lastRunMs = context.nowMs();
        requestsInFlight = context.requests.size();
        heldStates = readStateReleaser.heldStates();
    }
}
