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
 * What a front tells its decision module; in service that is {@link RoutingPolicy}, in experiments
 * also plain policies beside it.
 */
public interface PolicyEvents {
    void requestArrived(Generation generation);

    void readCompleted(Attempt attempt, int keptTokens, LoadReport report, boolean over);

    void responseStarted(Attempt attempt);

    void attemptEnded(Attempt attempt, AttemptOutcome outcome, LoadReport report, boolean over);

    /**
     * The state that an attempt is to fetch has been released beside it; only an attempt that has
     * arrived keeps it.
     */
    default void stateReleased(Attempt attempt) {}

    void clientDisconnected(Generation generation);

    void loadProbed(Engine engine, boolean answered, LoadReport report);

    void endpointsChanged(List<EndpointUpdate> entries, boolean complete);

    void wakeUp();

    /** Makes a module for one front. */
    interface Factory {
        PolicyEvents create(RoutingSettings terms, PolicyActions host);
    }

    /** The module of this program. */
    static PolicyEvents choice(RoutingSettings terms, PolicyActions host) {
        RoutingPolicy choice = new RoutingPolicy(terms, host);
        return new PolicyEvents() {
            @Override
            public void requestArrived(Generation generation) {
                choice.requestArrived(generation);
            }

            @Override
            public void readCompleted(
                    Attempt attempt, int keptTokens, LoadReport report, boolean over) {
                choice.readCompleted(attempt, keptTokens, report, over);
            }

            @Override
            public void responseStarted(Attempt attempt) {
                choice.responseStarted(attempt);
            }

            @Override
            public void attemptEnded(
                    Attempt attempt, AttemptOutcome outcome, LoadReport report, boolean over) {
                choice.attemptEnded(attempt, outcome, report, over);
            }

            @Override
            public void stateReleased(Attempt attempt) {
                choice.stateReleased(attempt);
            }

            @Override
            public void clientDisconnected(Generation generation) {
                choice.clientDisconnected(generation);
            }

            @Override
            public void loadProbed(Engine engine, boolean answered, LoadReport report) {
                choice.loadProbed(engine, answered, report);
            }

            @Override
            public void endpointsChanged(List<EndpointUpdate> entries, boolean complete) {
                choice.endpointsChanged(entries, complete);
            }

            @Override
            public void wakeUp() {
                choice.wakeUp();
            }
        };
    }
}
