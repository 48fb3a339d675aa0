package larchridge.node;

import io.netty.channel.EventLoop;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import larchridge.router.Scheduler;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The node's one event loop as a front's ground. */
final class NettyScheduler implements Scheduler {
    private static final Logger LOG = LoggerFactory.getLogger(NettyScheduler.class);

    private final EventLoop loop;
    private final String stem;
    private final double clockBaseMs = System.currentTimeMillis() - System.nanoTime() / 1e6;
    private final Map<Long, Future<?>> timers = new HashMap<>();
    private long last;

    /** On this loop; stem is the part of names that no other start of any node has. */
    NettyScheduler(EventLoop loop, String stem) {
        this.loop = loop;
        this.stem = stem;
    }

    @Override
    public double nowMs() {
        return clockBaseMs + System.nanoTime() / 1e6;
    }

    @Override
    public long schedule(double ms, Runnable step) {
        long number = ++last;
        timers.put(
                number,
                loop.schedule(
                        () -> {
                            timers.remove(number);
                            safely(step);
                        },
                        (long) (Math.max(1, ms) * 1e6),
                        TimeUnit.NANOSECONDS));
        return number;
    }

    @Override
    public void cancel(long number) {
        Future<?> timer = timers.remove(number);
        if (timer != null) {
            timer.cancel(false);
        }
    }

    @Override
    public void execute(Runnable step) {
        loop.execute(() -> safely(step));
    }

    @Override
    public void scheduleAtFixedDelay(double ms, Runnable step) {
        // A process that was stopped for a while does not make up for the turns it has missed.
        loop.scheduleWithFixedDelay(
                () -> safely(step), (long) (ms * 1e6), (long) (ms * 1e6), TimeUnit.NANOSECONDS);
    }

    @Override
    public String uniqueIdPrefix() {
        return stem;
    }

    /**
     * Guards against: a step that throws would end its timer for good, and an error the process's
     * work.
     */
    private static void safely(Runnable step) {
        try {
            step.run();
        } catch (RuntimeException | Error e) {
            LOG.error("a step on the loop failed", e);
        }
    }
}
