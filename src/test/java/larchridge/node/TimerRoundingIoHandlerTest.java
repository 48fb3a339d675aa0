package larchridge.node;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SelectStrategy;
import io.netty.channel.nio.NioIoHandler;
import java.nio.channels.spi.SelectorProvider;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(30)
class TimerRoundingIoHandlerTest {
    private static final int TIMERS = 200;
    private static final long DELAY_NANOS = 1_400_000;

    private final AtomicInteger iterations = new AtomicInteger();

    /** Netty's handler, with a strategy that counts the iterations of its event loop. */
    private IoHandlerFactory counted() {
        return NioIoHandler.newFactory(
                SelectorProvider.provider(),
                () ->
                        (selectNow, hasTasks) -> {
                            iterations.incrementAndGet();
                            return hasTasks ? selectNow.get() : SelectStrategy.SELECT;
                        });
    }

    /**
     * Runs timers one after the other on an otherwise idle event loop; returns its number of
     * iterations.
     */
    private int iterationsOf(IoHandlerFactory factory) throws InterruptedException {
        MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, factory);
        EventLoop loop = (EventLoop) group.next();
        CountDownLatch left = new CountDownLatch(TIMERS);
        loop.execute(() -> next(loop, left));
        left.await();
        int counted = iterations.getAndSet(0);
        group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS).await();
        return counted;
    }

    private static void next(EventLoop loop, CountDownLatch left) {
        loop.schedule(
                () -> {
                    left.countDown();
                    if (left.getCount() > 0) {
                        next(loop, left);
                    }
                },
                DELAY_NANOS,
                TimeUnit.NANOSECONDS);
    }

    @Test
    void loopDoesNotPollDuringTheLastPartialMillisecondBeforeATimer() throws Exception {
        int plain = iterationsOf(counted());
        int rounded = iterationsOf(TimerRoundingIoHandler.wrap(counted()));
        assertTrue(
                plain > 10 * TIMERS,
                "iterations of Netty's own handler, which is expected to poll: " + plain);
        assertTrue(rounded < 3 * TIMERS, "iterations for " + TIMERS + " timers: " + rounded);
    }
}
