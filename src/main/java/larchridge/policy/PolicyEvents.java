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
 * Events that a router reports to its policy, one call per event, never concurrently. In production
 * the policy is {@link RoutingPolicy}; experiments compare it with baseline policies.
 */
public interface PolicyEvents {
    /** A generation arrived and the router admitted it. */
    void requestArrived(Generation generation);

    /**
     * A read has completed and the reader holds its state.
     *
     * @param cachedTokens prompt tokens that were cached on the reader
     * @param report the engine's load, or null
     * @param finished whether the generation already has its final answer
     */
    void readCompleted(Attempt attempt, int cachedTokens, LoadReport report, boolean finished);

    /** The first token of an answer arrived from an attempt. */
    void responseStarted(Attempt attempt);

    /**
     * An attempt has ended, other than by a completed read.
     *
     * @param report the engine's load, or null
     * @param finished whether the generation already has its final answer
     */
    void attemptEnded(Attempt attempt, AttemptOutcome outcome, LoadReport report, boolean finished);

    /**
     * The state that an attempt is to fetch was released while the attempt is in flight. An attempt
     * already queued at its engine can still fetch the state; any other will find none.
     */
    default void stateReleased(Attempt attempt) {}

    /**
     * No client waits for a generation any more: it disconnected, or the router ended the
     * generation.
     */
    void generationAbandoned(Generation generation);

    /** A load probe was answered, with a report or null, or it failed. */
    void loadProbed(Engine engine, boolean answered, LoadReport report);

    /** The endpoint list changed; a complete list removes every engine it does not contain. */
    void endpointsChanged(List<EndpointUpdate> entries, boolean complete);

    /** The time passed to {@link PolicyActions#wakeAt} has come. */
    void wakeUp();

    /** Creates the policy of one router. */
    interface Factory {
        /** Creates a policy with the given settings that acts through the given actions. */
        PolicyEvents create(RoutingSettings settings, PolicyActions actions);
    }
}
