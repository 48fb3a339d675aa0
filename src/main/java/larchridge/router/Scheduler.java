package larchridge.router;

/**
 * What a front stands on: its clock, its timers and its one loop. In service that is an event loop,
 * in drills virtual time.
 */
public interface Scheduler {
    /** Milliseconds of Unix time at the start plus what has passed since; never goes back. */
    double nowMs();

    /** Runs a step on the loop after a time, 1 ms at least; the number is for {@link #cancel}. */
    long schedule(double ms, Runnable step);

    void cancel(long number);

    /** Runs a step on the loop, never from inside the call; on any thread. */
    void execute(Runnable step);

    /** Runs a step on the loop again and again. */
    void scheduleAtFixedDelay(double ms, Runnable step);

    /** A part of names that no other front has, also one that starts in the same moment. */
    String uniqueIdPrefix();
}
