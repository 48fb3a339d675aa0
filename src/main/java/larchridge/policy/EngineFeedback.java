package larchridge.policy;

import larchridge.state.Attempt;
import larchridge.state.AttemptOutcome;
import larchridge.state.Engine;
import larchridge.state.LoadReport;

/** Updates load, latency and health estimates of engines from events of attempts and probes. */
final class EngineFeedback {
    private final PolicyActions actions;
    private final EngineView engineView;

    EngineFeedback(PolicyActions actions, EngineView engineView) {
        this.actions = actions;
        this.engineView = engineView;
    }

    /** Records a completed read and how many tokens of its prompt were cached. */
    void recordRead(Attempt read, int cachedTokens, LoadReport report) {
        double nowMs = actions.nowMs();
        int promptTokens = read.generation.promptTokens;
        double uncachedTokens = PrefixAffinity.tokensToRead(promptTokens, cachedTokens);
        engineView.outliers().recordSuccess(read.engine);
        recordResponse(read.engine, report);
        engineView.latency().recordRead(read.engine, uncachedTokens, nowMs - read.sentMs, nowMs);
        engineView.load().recordRead(uncachedTokens, promptTokens, nowMs);
        engineView.affinity().recordRead(read, cachedTokens, nowMs);
        engineView.slowStart().recordRead(read.engine, nowMs);
    }

    /** Records the start of an answer; must be called before the generation's state is dropped. */
    void recordFirstToken(Attempt write) {
        double nowMs = actions.nowMs();
        engineView.outliers().recordSuccess(write.engine);
        recordResponse(write.engine, null);
        Attempt read = write.generation.readWithHeldState();
        if (read != null) {
            StateTransfers.recordStarted(read.engine, write, nowMs);
        }
        // Guards against: late transfers would make every generation look too late, including
        // those that need no transfer.
        if (read == null || !StateTransfers.areLate(read.engine, nowMs)) {
            engineView.latency().recordFirstToken(nowMs - write.sentMs);
        }
        engineView.slowStart().recordWrite(write.engine, nowMs);
    }

    /** Records the end of an attempt other than by a completed read. */
    void recordOutcome(Attempt attempt, AttemptOutcome outcome, LoadReport report) {
        Engine engine = attempt.engine;
        switch (outcome) {
            case STREAMED, NO_STATE -> recordResponse(engine, report);
            case FAULT, CUT -> {
                // Errors on finished generations are no evidence against the engine.
                if (!attempt.generation.isFinished()) {
                    engineView.outliers().recordError(engine);
                }
                if (outcome == AttemptOutcome.FAULT) {
                    recordResponse(engine, report);
                }
                engineView.outliers().ejectIfFailing(engine);
            }
            case FULL -> {
                recordResponse(engine, report);
                engineView.outliers().recordFull(engine, actions.nowMs());
            }
            case UNREACHABLE -> engineView.outliers().eject(engine);
            default -> {
                // A cancelled, timed-out or unsent attempt is no evidence against the engine.
            }
        }
    }

    /** Records whether a probe was answered. */
    void recordProbe(Engine engine, boolean answered, LoadReport report) {
        if (answered) {
            recordResponse(engine, report);
        } else {
            engineView.outliers().eject(engine);
        }
    }

    /** Records a response from an engine; the report is null if it contained no load report. */
    private void recordResponse(Engine engine, LoadReport report) {
        double nowMs = actions.nowMs();
        engineView.outliers().recordResponse(engine, nowMs);
        if (report != null) {
            engineView.load().recordReport(engine, report, nowMs);
        }
    }
}
