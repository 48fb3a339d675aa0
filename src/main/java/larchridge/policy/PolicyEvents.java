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
    void arrived(Generation gen);

    void readDone(Attempt attempt, int keptToks, LoadReport report, boolean over);

    void begun(Attempt attempt);

    void ended(Attempt attempt, AttemptOutcome outcome, LoadReport report, boolean over);

    /**
     * The state that an attempt is to fetch has been released beside it; only an attempt that has
     * arrived keeps it.
     */
    default void stateReleased(Attempt attempt) {
        return;
    }

    void departed(Generation gen);

    void probed(Engine engine, boolean answered, LoadReport report);

    void listed(List<EndpointUpdate> entries, boolean complete);

    void woken();

    /** Makes a module for one front. */
    interface Factory {
        PolicyEvents make(RoutingSettings terms, PolicyActions host);
    }

    /** The module of this program. */
    static PolicyEvents choice(RoutingSettings terms, PolicyActions host) {
        RoutingPolicy choice = new RoutingPolicy(terms, host);
        return new PolicyEvents() {
            @Override
            public void arrived(Generation gen) {
                choice.arrived(gen);
            }

            @Override
            public void readDone(Attempt attempt, int keptToks, LoadReport report, boolean over) {
                choice.readDone(attempt, keptToks, report, over);
            }

            @Override
            public void begun(Attempt attempt) {
                choice.begun(attempt);
            }

            @Override
            public void ended(
                    Attempt attempt, AttemptOutcome outcome, LoadReport report, boolean over) {
                choice.ended(attempt, outcome, report, over);
            }

            @Override
            public void stateReleased(Attempt attempt) {
                choice.stateReleased(attempt);
            }

            @Override
            public void departed(Generation gen) {
                choice.departed(gen);
            }

            @Override
            public void probed(Engine engine, boolean answered, LoadReport report) {
                choice.probed(engine, answered, report);
            }

            @Override
            public void listed(List<EndpointUpdate> entries, boolean complete) {
                choice.listed(entries, complete);
            }

            @Override
            public void woken() {
                choice.woken();
            }
        };
    }
}
