package larchridge.policy;

import larchridge.state.Attempt;
import larchridge.state.Engine;
import larchridge.state.Generation;

/** What a policy can do: the decisions that its router carries out. Times are milliseconds. */
public interface PolicyActions {
    /** The clock; it stands still while the policy handles one event. */
    double nowMs();

    /** Sends an attempt; it ends at the latest at the client's deadline. */
    void send(Attempt attempt);

    /** Cancels an attempt; its outcome is still reported. */
    void cancel(Attempt attempt);

    /** Releases every state that is held for a generation and that no attempt waits for. */
    void releaseState(Generation generation);

    /**
     * Final answer: rejected, and trying again is harmless.
     *
     * @param retryAfterMs the advice when to retry, or 0 for none
     */
    void reject(Generation generation, double retryAfterMs);

    /** Final answer: failed, and nothing is promised of its effects. */
    void fail(Generation generation);

    /** Probes an engine for its load; the answer is reported as an event. */
    void probeLoad(Engine engine);

    /** Plans a call of {@link PolicyEvents#wakeUp} at a time. */
    void wakeAt(double atMs);

    /** Requests the endpoint list and its changes from now on. */
    void watchEndpoints();

    /** Logs a line as a warning. */
    void log(String line);
}
