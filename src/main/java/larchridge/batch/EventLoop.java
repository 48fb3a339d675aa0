package larchridge.batch;

import java.util.concurrent.Callable;
import java.util.concurrent.Executor;
import java.util.function.BiConsumer;

/** The single thread that owns a store and its batches; tests implement it in virtual time. */
interface EventLoop extends Executor {
    /**
     * The Unix time at the start plus the elapsed time, in milliseconds; unaffected by steps of the
     * system clock.
     */
    double nowMs();

    /** Runs a task on the loop after a delay of at least 1 ms. */
    void schedule(double delayMs, Runnable task);

    /**
     * Runs blocking work on another thread, then calls {@code onDone} on the loop with its result
     * or its exception.
     */
    <T> void runBlocking(Callable<T> work, BiConsumer<T, Exception> onDone);
}
