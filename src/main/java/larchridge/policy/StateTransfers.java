package larchridge.policy;

import larchridge.state.Attempt;
import larchridge.state.Engine;
import larchridge.state.Generation;

/**
 * Tracks transfers of read states from readers to the writers that fetch them: their distance, and
 * whether those that leave a reader's rack have recently started late.
 *
 * <p>Guards against: all transfers out of a rack share its uplink. When it is slow or saturated,
 * each answer waits for seconds, although writers in the rack and engines that can read prompts
 * themselves have capacity.
 */
final class StateTransfers {
    /** Start delay above which transfers are late: a tenth to a quarter of typical SLO times. */
    private static final double LATE_START_DELAY_MS = 400;

    /** Start delay recorded for an overdue transfer, which will take at least twice the limit. */
    private static final double OVERDUE_START_DELAY_MS = 2 * LATE_START_DELAY_MS;

    private StateTransfers() {}

    /** Distance of a transfer: 0 within the rack, 1 within the zone, 2 across zones. */
    static int transferDistance(Engine reader, Engine writer) {
        if (!reader.zone().equals(writer.zone())) {
            return 2;
        }
        return reader.rack() != writer.rack() ? 1 : 0;
    }

    /** Whether the recent mean start delay of transfers out of a reader's rack is too long. */
    static boolean areLate(Engine reader, double nowMs) {
        return reader.meanTransferStartDelayMs(nowMs) > LATE_START_DELAY_MS;
    }

    /** Records the transfer for an answer that has started. */
    static void recordStarted(Engine reader, Attempt write, double nowMs) {
        if (transferDistance(reader, write.engine) > 0) {
            reader.recordTransferStartDelay(nowMs - write.sentMs, nowMs);
        }
    }

    /**
     * Records the transfer of a generation that is overdue, which shows delays earlier than
     * transfers that have started. Each transfer is recorded only once, since the answer may simply
     * have been lost.
     */
    static void recordIfOverdue(Generation generation, double nowMs) {
        if (generation.readWithHeldState() == null) {
            return;
        }
        Attempt newest = generation.newestAttempt();
        if (newest.isInFlight()
                && !newest.isCountedAsLateTransfer()
                && nowMs - newest.sentMs > LATE_START_DELAY_MS
                && transferDistance(generation.readWithHeldState().engine, newest.engine) > 0) {
            newest.countAsLateTransfer();
            generation.readWithHeldState().engine.recordTransferStartDelay(OVERDUE_START_DELAY_MS, nowMs);
        }
    }
}
