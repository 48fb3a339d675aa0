package larchridge.policy;

import larchridge.state.Attempt;
import larchridge.state.Engine;
import larchridge.state.Generation;

/** Actions of a policy, carried out by its router. Times are milliseconds. */
public interface PolicyActions {
    /** The current time; constant while the policy handles one event. */
    double nowMs();

    /** Sends an attempt; it ends no later than the client's deadline. */
    void send(Attempt attempt);

    /** Cancels an attempt; its outcome is still reported. */
    void cancel(Attempt attempt);

    /** Releases every state held for a generation that no attempt is waiting for. */
    void releaseState(Generation generation);

    /**
     * Gives the final answer that the generation is rejected and may safely be retried.
     *
     * @param retryAfterMs advised delay before the retry, or 0 for none
     */
    void reject(Generation generation, double retryAfterMs);

    /** Gives the final answer that the generation failed; it may have had effects. */
    void fail(Generation generation);

    /** Probes an engine for its load; the result is reported as an event. */
    void probeLoad(Engine engine);

    /** Schedules a call of {@link PolicyEvents#wakeUp}. */
    void wakeAt(double atMs);

    /** Subscribes to the endpoint list; the list and its changes are reported as events. */
    void watchEndpoints();

    /** Logs a line at warning level. */
    void log(String line);
}
