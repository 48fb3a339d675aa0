package larchridge.node;

import io.netty.channel.EventLoop;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import larchridge.router.Scheduler;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Clock and timers of a node, based on its single Netty event loop. */
final class NettyScheduler implements Scheduler {
    private static final Logger LOG = LoggerFactory.getLogger(NettyScheduler.class);
    private static final double NANOS_PER_MILLISECOND = 1e6;
    private static final double MIN_DELAY_MS = 1;

    private final EventLoop loop;
    private final String idPrefix;
    private final double clockBaseMs =
            System.currentTimeMillis() - System.nanoTime() / NANOS_PER_MILLISECOND;
    private final Map<Long, Future<?>> timers = new HashMap<>();
    private long lastTimerId;

    /**
     * @param idPrefix prefix of generated ids; unique to this run of this node
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
        return clockBaseMs + System.nanoTime() / NANOS_PER_MILLISECOND;
    }

    @Override
    public long schedule(double delayMs, Runnable task) {
        long timerId = ++lastTimerId;
        timers.put(
                timerId,
                loop.schedule(
                        () -> {
                            timers.remove(timerId);
                            runAndLogFailure(task);
                        },
                        (long) (Math.max(MIN_DELAY_MS, delayMs) * NANOS_PER_MILLISECOND),
                        TimeUnit.NANOSECONDS));
        return timerId;
    }

    @Override
    public void cancel(long timerId) {
        Future<?> scheduled = timers.remove(timerId);
        if (scheduled != null) {
            scheduled.cancel(false);
        }
    }

    @Override
    public void execute(Runnable task) {
        loop.execute(() -> runAndLogFailure(task));
    }

    @Override
    public void scheduleAtFixedDelay(double delayMs, Runnable task) {
        long nanos = (long) (delayMs * NANOS_PER_MILLISECOND);
        // A fixed delay, not a fixed rate: a process that was suspended does not catch up on missed
        // runs.
        loop.scheduleWithFixedDelay(
                () -> runAndLogFailure(task), nanos, nanos, TimeUnit.NANOSECONDS);
    }

    @Override
    public String uniqueIdPrefix() {
        return idPrefix;
    }

    /**
     * Guards against: a task that throws an exception would cancel its periodic timer for good, and
     * one that throws an error would stop the work of the process.
     */
    private static void runAndLogFailure(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException | Error e) {
            LOG.error("event loop task failed", e);
        }
    }
}
