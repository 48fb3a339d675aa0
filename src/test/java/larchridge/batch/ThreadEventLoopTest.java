package larchridge.batch;

import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Guards against: an error in a task is swallowed, and whoever waits for the task waits for ever.
 */
@Timeout(30)
class ThreadEventLoopTest {
    private final OutOfMemoryError error = new OutOfMemoryError("thrown by a test");

    @Test
    void errorOfACalledTaskReachesItsCaller() {
        try (ThreadEventLoop loop = new ThreadEventLoop()) {
            CompletableFuture<Void> result =
                    loop.call(
                            () -> {
                                throw error;
                            });
            ExecutionException thrown =
                    assertThrows(ExecutionException.class, () -> result.get(10, TimeUnit.SECONDS));
            assertSame(error, thrown.getCause());
        }
    }

    @Test
    void errorOfBlockingWorkReachesItsListener() throws Exception {
        try (ThreadEventLoop loop = new ThreadEventLoop()) {
            CompletableFuture<Exception> failure = new CompletableFuture<>();
            loop.runBlocking(
                    () -> {
                        throw error;
                    },
                    (result, e) -> failure.complete(e));
            Exception received = failure.get(10, TimeUnit.SECONDS);
            assertInstanceOf(ExecutionException.class, received);
            assertSame(error, received.getCause());
        }
    }

    /**
     * Guards against: the outcome of a line is reported as the loop closes, the write that its task
     * queues is rejected, and the line is taken for one that may have run.
     */
    @Test
    void closeRunsWhatAQueuedTaskQueues() throws Exception {
        ThreadEventLoop loop = new ThreadEventLoop();
        CountDownLatch started = new CountDownLatch(1);
        CountDownLatch released = new CountDownLatch(1);
        AtomicBoolean written = new AtomicBoolean();
        loop.call(
                () -> {
                    started.countDown();
                    released.await();
                    loop.execute(() -> loop.execute(() -> written.set(true)));
                    return null;
                });
        started.await();
        Thread closer = new Thread(loop::close);
        closer.start();
        while (closer.getState() != Thread.State.TIMED_WAITING) {
            Thread.onSpinWait();
        }
        released.countDown();
        closer.join();
        assertTrue(written.get());
    }
}
