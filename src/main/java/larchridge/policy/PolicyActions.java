package larchridge.policy;

import larchridge.state.Attempt;
import larchridge.state.Engine;
import larchridge.state.Generation;

/** What the decision module can do to the world around it. Times are milliseconds. */
public interface PolicyActions {
    /** The clock; it stands still while the module handles one happening. */
    double nowMs();

    /** Sends an attempt; it ends at the latest when the client gives up. */
    void send(Attempt attempt);

    /** Stops waiting for an attempt; its outcome still comes. */
    void cancel(Attempt attempt);

    /** Lets go of every state that is held for a generation and that no attempt waits for. */
    void releaseState(Generation generation);

    /**
     * Final answer: not now, and trying again is harmless. With comeBackMs 0 there is no advice
     * when.
     */
    void reject(Generation generation, double comeBackMs);

    /** Final answer: failed, and nothing is promised of its effects. */
    void fail(Generation generation);

    void probeLoad(Engine engine);

    /** Asks for {@link RoutingPolicy#wakeUp} at a time. */
    void wakeAt(double atMs);

    /** Asks the engine list for its changes from now on. */
    void watchEndpoints();

    void log(String line);
}
