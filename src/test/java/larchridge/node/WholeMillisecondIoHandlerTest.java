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
class WholeMillisecondIoHandlerTest {
    private static final int TIMERS = 200;
    private static final long DELAY_NANOS = 1_400_000;

    private final AtomicInteger iterations = new AtomicInteger();

    /** Netty's handler, which counts the turns of its loop. */
    private IoHandlerFactory counted() {
        return NioIoHandler.newFactory(
                SelectorProvider.provider(),
                () ->
                        (selectNow, hasTasks) -> {
                            iterations.incrementAndGet();
                            return hasTasks ? selectNow.get() : SelectStrategy.SELECT;
                        });
    }

    /** Timers one after the other on a loop that has nothing else to do. */
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
        int rounded = iterationsOf(WholeMillisecondIoHandler.wrap(counted()));
        assertTrue(
                plain > 10 * TIMERS,
                "Netty's own handler is expected to poll, it took turns: " + plain);
        assertTrue(rounded < 3 * TIMERS, "turns for " + TIMERS + " timers: " + rounded);
    }
}
