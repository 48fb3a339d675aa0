package larchridge.node;

import io.netty.channel.EventLoop;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import larchridge.router.Scheduler;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Clock and timers of a node on its one Netty event loop. */
final class NettyScheduler implements Scheduler {
    private static final Logger LOG = LoggerFactory.getLogger(NettyScheduler.class);
    private static final double MILLISECOND_NANOS = 1e6;
    private static final double MIN_DELAY_MS = 1;

    private final EventLoop loop;
    private final String idPrefix;
    private final double clockBaseMs =
            System.currentTimeMillis() - System.nanoTime() / MILLISECOND_NANOS;
    private final Map<Long, Future<?>> timers = new HashMap<>();
    private long lastTimer;

    /**
     * @param idPrefix the part of ids that no other start of any node has
     */
    NettyScheduler(EventLoop loop, String idPrefix) {
        this.loop = loop;
        this.idPrefix = idPrefix;
    }

    EventLoop loop() {
        return loop;
    }

    @Override
    public double nowMs() {
        return clockBaseMs + System.nanoTime() / MILLISECOND_NANOS;
    }

    @Override
    public long schedule(double ms, Runnable task) {
        long timer = ++lastTimer;
        timers.put(
                timer,
                loop.schedule(
                        () -> {
                            timers.remove(timer);
                            runSafely(task);
                        },
                        (long) (Math.max(MIN_DELAY_MS, ms) * MILLISECOND_NANOS),
                        TimeUnit.NANOSECONDS));
        return timer;
    }

    @Override
    public void cancel(long timer) {
        Future<?> scheduled = timers.remove(timer);
        if (scheduled != null) {
            scheduled.cancel(false);
        }
    }

    @Override
    public void execute(Runnable task) {
        loop.execute(() -> runSafely(task));
    }

    @Override
    public void scheduleAtFixedDelay(double ms, Runnable task) {
        long nanos = (long) (ms * MILLISECOND_NANOS);
        // A fixed delay: a process that was stopped for a while does not catch up on missed runs.
        loop.scheduleWithFixedDelay(() -> runSafely(task), nanos, nanos, TimeUnit.NANOSECONDS);
    }

    @Override
    public String uniqueIdPrefix() {
        return idPrefix;
    }

    /**
     * Guards against: a task that throws would end its periodic timer for good, and an error the
     * process's work.
     */
    private static void runSafely(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException | Error e) {
            LOG.error("a step on the loop failed", e);
        }
    }
}
