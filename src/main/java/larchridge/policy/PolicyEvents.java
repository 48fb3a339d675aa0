package larchridge.policy;

import java.util.List;
import larchridge.state.Attempt;
import larchridge.state.AttemptOutcome;
import larchridge.state.EndpointUpdate;
import larchridge.state.Engine;
import larchridge.state.Generation;
import larchridge.state.LoadReport;
import larchridge.state.RoutingSettings;

/**
 * The events that a router reports to its policy, one call each and one at a time. In service the
 * policy is {@link RoutingPolicy}; experiments also compare it with baseline policies.
 */
public interface PolicyEvents {
    /** A generation was admitted by its tenant's budget. */
    void requestArrived(Generation generation);

    /**
     * A read has completed and its state is held at its reader.
     *
     * @param cachedTokens tokens of the prompt that were cached there
     * @param report the engine's load, or null
     * @param finished whether the generation has its final answer
     */
    void readCompleted(Attempt attempt, int cachedTokens, LoadReport report, boolean finished);

    /** The first token of an answer has come from an attempt. */
    void responseStarted(Attempt attempt);

    /**
     * An attempt has ended otherwise than with a completed read.
     *
     * @param report the engine's load, or null
     * @param finished whether the generation has its final answer
     */
    void attemptEnded(Attempt attempt, AttemptOutcome outcome, LoadReport report, boolean finished);

    /**
     * The state that an attempt is to fetch has been released beside it; only an attempt that has
     * arrived keeps it.
     */
    default void stateReleased(Attempt attempt) {}

    /** The client of a generation has left, or the router has ended the generation itself. */
    void clientDisconnected(Generation generation);

    /** A probe of an engine's load was answered, with a report or null, or was not. */
    void loadProbed(Engine engine, boolean answered, LoadReport report);

    /** The endpoint list has changed; a complete list also removes every engine that it lacks. */
    void endpointsChanged(List<EndpointUpdate> entries, boolean complete);

    /** The time has come that {@link PolicyActions#wakeAt} named. */
    void wakeUp();

    /** Creates the policy of one router. */
    interface Factory {
        /** A policy by the settings that acts through the given actions. */
        PolicyEvents create(RoutingSettings settings, PolicyActions actions);
    }
}
