package larchridge.router;

import io.vertx.core.Context;
import io.vertx.core.Vertx;
import java.security.SecureRandom;

/** Schedules tasks on the Vert.x event loop on which it was created. */
final class VertxScheduler implements Scheduler {
    private static final double NANOS_PER_MS = 1e6;
    private static final int ID_RADIX = 36;
    private static final long RANDOM_ID_MASK = 0xFFFFFFFFFL;

    private final Vertx vertx;
    private final Context loop;
    private final double clockBaseMs =
            System.currentTimeMillis() - System.nanoTime() / NANOS_PER_MS;

    VertxScheduler(Vertx vertx) {
        this.vertx = vertx;
        loop = vertx.getOrCreateContext();
    }

    Context loop() {
        return loop;
    }

    @Override
    public double nowMs() {
        return clockBaseMs + System.nanoTime() / NANOS_PER_MS;
    }

    @Override
    public long schedule(double delayMs, Runnable task) {
        return vertx.setTimer(Math.max(1, (long) Math.ceil(delayMs)), timer -> task.run());
    }

    @Override
    public void cancel(long timer) {
        vertx.cancelTimer(timer);
    }

    @Override
    public void execute(Runnable task) {
        loop.runOnContext(v -> task.run());
    }

    @Override
    public void scheduleAtFixedDelay(double delayMs, Runnable task) {
        vertx.setPeriodic(Math.max(1, (long) delayMs), timer -> task.run());
    }

    @Override
    public String uniqueIdPrefix() {
        // Guards against: two routers that start at the same moment would assign the same attempt
        // ids and release each other's states.
        return Long.toString(System.currentTimeMillis(), ID_RADIX)
                + Long.toString(new SecureRandom().nextLong() & RANDOM_ID_MASK, ID_RADIX)
                + "-";
    }
}
