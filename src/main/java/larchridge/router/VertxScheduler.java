package larchridge.router;

import io.vertx.core.Context;
import io.vertx.core.Vertx;
import java.security.SecureRandom;

/** The event loop on which it was made. */
final class VertxScheduler implements Scheduler {
    private final Vertx vertx;
    private final Context loop;
    private final double clockBaseMs = System.currentTimeMillis() - System.nanoTime() / 1e6;

    VertxScheduler(Vertx vertx) {
        this.vertx = vertx;
        loop = vertx.getOrCreateContext();
    }

    Context loop() {
        return loop;
    }

    @Override
    public double nowMs() {
        return clockBaseMs + System.nanoTime() / 1e6;
    }

    @Override
    public long schedule(double ms, Runnable step) {
        return vertx.setTimer(Math.max(1, (long) Math.ceil(ms)), timer -> step.run());
    }

    @Override
    public void cancel(long number) {
        vertx.cancelTimer(number);
    }

    @Override
    public void execute(Runnable step) {
        loop.runOnContext(v -> step.run());
    }

    @Override
    public void scheduleAtFixedDelay(double ms, Runnable step) {
        vertx.setPeriodic(Math.max(1, (long) ms), timer -> step.run());
    }

    @Override
    public String uniqueIdPrefix() {
        // Guards against: two fronts that start in one moment would name their attempts alike and
        // let go of
        // each other's states.
        return Long.toString(System.currentTimeMillis(), 36)
                + Long.toString(new SecureRandom().nextLong() & 0xFFFFFFFFFL, 36)
                + "-";
    }
}
