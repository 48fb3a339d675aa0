package larchridge.policy;

import larchridge.state.Attempt;
import larchridge.state.Engine;
import larchridge.state.Generation;

/**
 * Tracks transfers of read states from readers to the writers that fetch them: their distance, and
 * whether answers whose state left the reader's rack have recently started late.
 *
 * <p>Guards against: all transfers out of a rack share its uplink. When it is slow or saturated,
 * each answer waits for seconds, although writers in the rack and engines that can read prompts
 * themselves have capacity.
 */
final class StateTransfers {
    /**
     * Time to the first token above which a transfer is late: a tenth to a quarter of typical SLO
     * times.
     */
    private static final double LATE_START_DELAY_MS = 400;

    /** Start delay assumed for an overdue transfer, whose real one is not known yet. */
    private static final double OVERDUE_START_DELAY_MS = 2 * LATE_START_DELAY_MS;

    private StateTransfers() {}

    /** Distance of a transfer: 0 within the rack, 1 within the zone, 2 across zones. */
    static int transferDistance(Engine reader, Engine writer) {
        if (!reader.zone().equals(writer.zone())) {
            return 2;
        }
        return reader.rack() != writer.rack() ? 1 : 0;
    }

    /** Whether answers whose state left a reader's rack have recently started late on average. */
    static boolean areLate(Engine reader, double nowMs) {
        return reader.meanTransferStartDelayMs(nowMs) > LATE_START_DELAY_MS;
    }

    /** Records the start delay of an answer that has started, if its state left the rack. */
    static void recordStarted(Engine reader, Attempt write, double nowMs) {
        if (transferDistance(reader, write.engine) > 0) {
            reader.recordTransferStartDelay(nowMs - write.sentMs, nowMs);
        }
    }

    /**
     * Records the transfer of a generation as overdue, which shows delays earlier than answers that
     * have started. Done once per attempt, not at each sweep, since a lost answer would otherwise
     * look like many late transfers.
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
            generation
                    .readWithHeldState()
                    .engine
                    .recordTransferStartDelay(OVERDUE_START_DELAY_MS, nowMs);
        }
    }
}
