package larchridge.policy;

import larchridge.state.Attempt;
import larchridge.state.Engine;
import larchridge.state.Generation;
import larchridge.state.Role;
import larchridge.state.RoutingSettings;

/** Sends, closes and cancels attempts, and updates the load accounting. */
final class AttemptDispatcher {
    private final PolicyActions actions;
    private final PrefixAffinity affinity;
    private final LoadEstimator load;
    private final LatencyEstimator latency;
    private final WriterCapacity capacity;
    private final LoadProbes probes;
    private final boolean cancellationAllowed;

    AttemptDispatcher(
            RoutingSettings settings,
            PolicyActions actions,
            EngineView engineView,
            LoadProbes probes) {
        this.actions = actions;
        this.probes = probes;
        affinity = engineView.affinity();
        load = engineView.load();
        latency = engineView.latency();
        capacity = engineView.capacity();
        cancellationAllowed = settings.cancellationAllowed();
    }

    /** Sends a prompt to be read; an engine of role WRITER or BOTH also writes the answer. */
    void sendRead(Generation generation, Engine engine) {
        double nowMs = actions.nowMs();
        double unreadTokens = affinity.tokensToRead(generation, engine);
        boolean readsOnly = engine.role() == Role.READER;
        double heldTokens = readsOnly ? unreadTokens : WriterCapacity.neededTokens(generation);
        Attempt attempt =
                new Attempt(generation, engine, readsOnly, nowMs, heldTokens, unreadTokens);
        double readMs =
                (load.unreadTokens(engine, nowMs) + unreadTokens)
                        * latency.msPerToken(engine, nowMs);
        attempt.setSilenceTimeoutMs(
                readsOnly
                        ? HedgingPolicy.readTimeoutMs(readMs)
                        : HedgingPolicy.writeTimeoutMs(readMs));
        // Guards against: a read whose response is lost leaves a state behind that no outcome
        // reports.
        generation.setStatePossiblyHeld(true);
        if (readsOnly) {
            capacity.reserve(generation);
        }
        affinity.recordSent(generation, engine, nowMs);
        send(attempt);
        if (readsOnly) {
            probes.probeRandomWriters();
        }
    }

    /** Sends a generation with a held state to the writer that fetches the state. */
    void sendWrite(Generation generation, Engine writer) {
        double heldTokens = WriterCapacity.neededTokens(generation);
        Attempt attempt = new Attempt(generation, writer, false, actions.nowMs(), heldTokens, 0);
        attempt.setSilenceTimeoutMs(HedgingPolicy.writeTimeoutMs(latency.firstTokenMs()));
        generation.clearStateReleased();
        send(attempt);
    }

    private void send(Attempt attempt) {
        if (!attempt.readsOnly) {
            load.recordWrite(attempt, actions.nowMs());
        }
        attempt.open();
        actions.send(attempt);
    }

    /** Removes an attempt that has ended from the load accounting. */
    void close(Attempt attempt) {
        if (attempt.close() && attempt.readsOnly) {
            capacity.release(attempt);
        }
    }

    /** Cancels all active attempts of a generation. */
    void cancelAll(Generation generation) {
        cancelOthers(generation, null);
    }

    /** Cancels all active attempts of a generation except one. */
    void cancelOthers(Generation generation, Attempt kept) {
        for (Attempt attempt : generation.attempts()) {
            if (attempt != kept && attempt.isActive() && cancellationAllowed) {
                attempt.cancel();
                actions.cancel(attempt);
            }
        }
    }
}
