package larchridge.front;

import java.util.List;
import larchridge.Choice;
import larchridge.Host;
import larchridge.state.Attempt;
import larchridge.state.Engine;
import larchridge.state.Gen;
import larchridge.state.Listing;
import larchridge.state.Outcome;
import larchridge.state.Report;
import larchridge.state.Terms;

/**
 * What a front tells its decision module; in service that is {@link Choice}, in experiments also
 * plain policies beside it.
 */
public interface Decider {
    void arrived(Gen gen);

    void readDone(Attempt attempt, int keptToks, Report report, boolean over);

    void begun(Attempt attempt);

    void ended(Attempt attempt, Outcome outcome, Report report, boolean over);

    /**
     * The state that an attempt is to fetch has been released beside it; only an attempt that has
     * arrived keeps it.
     */
    default void stateReleased(Attempt attempt) {
        return;
    }

    void departed(Gen gen);

    void probed(Engine engine, boolean answered, Report report);

    void listed(List<Listing> entries, boolean complete);

    void woken();

    /** Makes a module for one front. */
    interface Maker {
        Decider make(Terms terms, Host host);
    }

    /** The module of this program. */
    static Decider choice(Terms terms, Host host) {
        Choice choice = new Choice(terms, host);
        return new Decider() {
            @Override
            public void arrived(Gen gen) {
                choice.arrived(gen);
            }

            @Override
            public void readDone(Attempt attempt, int keptToks, Report report, boolean over) {
                choice.readDone(attempt, keptToks, report, over);
            }

            @Override
            public void begun(Attempt attempt) {
                choice.begun(attempt);
            }

            @Override
            public void ended(Attempt attempt, Outcome outcome, Report report, boolean over) {
                choice.ended(attempt, outcome, report, over);
            }

            @Override
            public void stateReleased(Attempt attempt) {
                choice.stateReleased(attempt);
            }

            @Override
            public void departed(Gen gen) {
                choice.departed(gen);
            }

            @Override
            public void probed(Engine engine, boolean answered, Report report) {
                choice.probed(engine, answered, report);
            }

            @Override
            public void listed(List<Listing> entries, boolean complete) {
                choice.listed(entries, complete);
            }

            @Override
            public void woken() {
                choice.woken();
            }
        };
    }
}
