package larchridge.router;

/**
 * A router's clock, timers and single-threaded loop: an event loop in production, virtual time in
 * simulations and in the warm-up of a node at its start.
 */
public interface Scheduler {
    /** The Unix time at the start plus the elapsed time, in milliseconds; never goes back. */
    double nowMs();

    /**
     * Runs a task on the loop after a delay of at least 1 ms; returns a timer for {@link #cancel}.
     */
    long schedule(double delayMs, Runnable task);

    /** Cancels a timer; does nothing if its task has run. */
    void cancel(long timer);

    /** Runs a task on the loop, never from within this call; may be called on any thread. */
    void execute(Runnable task);

    /** Runs a task on the loop periodically. */
    void scheduleAtFixedDelay(double delayMs, Runnable task);

    /** A prefix for ids that no other router uses, not even one that starts at the same moment. */
    String uniqueIdPrefix();
}
