package larchridge.router;

/**
 * A router's clock, timers and single-threaded loop: an event loop in service, virtual time in
 * simulations.
 */
public interface Scheduler {
    /** Milliseconds of Unix time at the start plus what has passed since; never goes back. */
    double nowMs();

    /**
     * Runs a step on the loop after a delay, 1 ms at least; returns a timer for {@link #cancel}.
     */
    long schedule(double delayMs, Runnable task);

    /** Cancels a timer; without effect once its step has run. */
    void cancel(long timer);

    /** Runs a step on the loop, never from inside the call; on any thread. */
    void execute(Runnable task);

    /** Runs a step on the loop again and again. */
    void scheduleAtFixedDelay(double delayMs, Runnable task);

    /** A prefix for names that no other router uses, also one that starts at the same moment. */
    String uniqueIdPrefix();
}
