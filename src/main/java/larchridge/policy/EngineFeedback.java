package larchridge.policy;

import larchridge.state.Attempt;
import larchridge.state.AttemptOutcome;
import larchridge.state.Engine;
import larchridge.state.LoadReport;

/** Records what each event of an attempt or probe says of its engine. */
final class EngineFeedback {
    private final PolicyActions actions;
    private final EngineKnowledge known;

    EngineFeedback(PolicyActions actions, EngineKnowledge known) {
        this.actions = actions;
        this.known = known;
    }

    /** A read has completed; of its prompt so many tokens were cached. */
    void recordRead(Attempt read, int cachedTokens, LoadReport report) {
        double nowMs = actions.nowMs();
        int promptTokens = read.generation.promptTokens;
        double unread = PrefixAffinity.tokensToRead(promptTokens, cachedTokens);
        known.outliers().recordSuccess(read.engine);
        recordContact(read.engine, report);
        known.latency().recordRead(read.engine, unread, nowMs - read.sentMs, nowMs);
        known.load().recordRead(unread, promptTokens, nowMs);
        known.affinity().recordRead(read, cachedTokens, nowMs);
        known.slowStart().recordRead(read.engine, nowMs);
    }

    /** An answer has started; its state, if it needed one, is still noted at the generation. */
    void recordFirstToken(Attempt write) {
        double nowMs = actions.nowMs();
        known.outliers().recordSuccess(write.engine);
        recordContact(write.engine, null);
        Attempt read = write.generation.heldRead();
        if (read != null) {
            StateTransfers.recordStarted(read.engine, write, nowMs);
        }
        // Guards against: late transfers would make every generation look too late, also those that
        // need no transfer.
        if (read == null || !StateTransfers.areLate(read.engine, nowMs)) {
            known.latency().recordFirstToken(nowMs - write.sentMs);
        }
        known.slowStart().recordWrite(write.engine, nowMs);
    }

    /** An attempt has ended otherwise than with a completed read. */
    void recordOutcome(Attempt attempt, AttemptOutcome outcome, LoadReport report) {
        Engine engine = attempt.engine;
        switch (outcome) {
            case STREAMED, NO_STATE -> recordContact(engine, report);
            case FAULT, CUT -> {
                // Errors on generations that are over say nothing of the engine.
                if (!attempt.generation.isFinished()) {
                    known.outliers().recordError(engine);
                }
                if (outcome == AttemptOutcome.FAULT) {
                    recordContact(engine, report);
                }
                known.outliers().ejectIfFailing(engine);
            }
            case FULL -> {
                recordContact(engine, report);
                known.outliers().recordFull(engine, actions.nowMs());
            }
            case UNREACHABLE -> known.outliers().eject(engine);
            default -> {
                // Nothing is known against an engine whose attempt was cancelled, timed out or
                // never sent.
            }
        }
    }

    /** A probe was answered or not. */
    void recordProbe(Engine engine, boolean answered, LoadReport report) {
        if (answered) {
            recordContact(engine, report);
        } else {
            known.outliers().eject(engine);
        }
    }

    /** Something was heard from an engine; the report is null where it reported no load. */
    private void recordContact(Engine engine, LoadReport report) {
        double nowMs = actions.nowMs();
        known.outliers().recordContact(engine, nowMs);
        if (report != null) {
            known.load().recordReport(engine, report, nowMs);
        }
    }
}
