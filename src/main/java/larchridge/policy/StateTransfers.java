package larchridge.policy;

import larchridge.state.Attempt;
import larchridge.state.Engine;
import larchridge.state.Generation;

/**
 * Transfers of a read state from its reader to the writer that fetches it: how far they go, and
 * whether those that leave a reader's rack have started late in the last seconds.
 *
 * <p>Guards against: all states of a rack's readers share its one link; once that is slow or full,
 * each answer waits for seconds while writers in the rack, and engines that can read for
 * themselves, have capacity.
 */
final class StateTransfers {
    /** Transfers that start later than this are late; a tenth to a quarter of an SLO time. */
    private static final double LATE_START_MS = 400;

    /** What a transfer counts that has not started by then: it will take at least twice as long. */
    private static final double OVERDUE_START_MS = 2 * LATE_START_MS;

    private StateTransfers() {}

    /** The cost of a transfer: 0 within the rack, 1 within the zone, 2 across zones. */
    static int transferDistance(Engine reader, Engine writer) {
        if (!reader.zone().equals(writer.zone())) {
            return 2;
        }
        return reader.rack() != writer.rack() ? 1 : 0;
    }

    /** Whether transfers out of a reader's rack have started late on average. */
    static boolean areLate(Engine reader, double nowMs) {
        return reader.meanTransferStartMs(nowMs) > LATE_START_MS;
    }

    /** Counts the transfer of an answer that has started. */
    static void recordStarted(Engine reader, Attempt write, double nowMs) {
        if (transferDistance(reader, write.engine) > 0) {
            reader.recordTransferStart(nowMs - write.sentMs, nowMs);
        }
    }

    /**
     * Counts the transfer of a generation that should have started by now, since it shows lateness
     * sooner than those that have started; once, since a single answer may be lost.
     */
    static void recordIfOverdue(Generation generation, double nowMs) {
        if (generation.heldRead() == null) {
            return;
        }
        Attempt newest = generation.newestAttempt();
        if (newest.isInFlight()
                && !newest.isCountedAsLateTransfer()
                && nowMs - newest.sentMs > LATE_START_MS
                && transferDistance(generation.heldRead().engine, newest.engine) > 0) {
            newest.countAsLateTransfer();
            generation.heldRead().engine.recordTransferStart(OVERDUE_START_MS, nowMs);
        }
    }
}
