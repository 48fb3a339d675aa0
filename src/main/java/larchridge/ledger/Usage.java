package larchridge.ledger;

import java.time.Instant;
import java.time.YearMonth;
import java.time.ZoneOffset;
import larchridge.ledger.proto.UsageRecord;

/**
 * The usage record of one generation, or of several that share a bill.
 *
 * @param billId the id of the bill: {@code "key "} and the idempotency key, or without a key {@code
 *     "gen "} and the id of the generation, or of the first of identical ones in flight
 * @param endedAtMs when the generation ended, in milliseconds of Unix time
 * @param outcome how the generation ended, by the {@code recordedName} of the router's {@code
 *     FinalResponse}: streamed, throttled, terminated or gone; {@code waste} for a later record
 *     that only adds unbilled tokens
 * @param promptTokens billed prompt tokens, including the cached ones
 * @param cachedTokens prompt tokens that were cached
 * @param outputTokens response tokens written to the client's socket
 * @param wastedTokens tokens that engines processed for it and that are not billed
 */
public record Usage(
        String billId,
        String tenant,
        String product,
        long endedAtMs,
        String outcome,
        long promptTokens,
        long cachedTokens,
        long outputTokens,
        long wastedTokens,
        int attempts) {

    /** The month, in UTC, to which the record is billed. */
    public YearMonth month() {
        return YearMonth.from(Instant.ofEpochMilli(endedAtMs).atOffset(ZoneOffset.UTC));
    }

    /**
     * Merges two records of the same bill: the second is of a retry with the same idempotency key,
     * of an identical concurrent request, or of waste recorded later. The client pays once, for the
     * response with more output tokens, in the month of the earlier record; the tokens of the other
     * one are waste.
     */
    static Usage merge(Usage earlier, Usage later) {
        boolean laterIsLonger = later.outputTokens > earlier.outputTokens;
        Usage longer = laterIsLonger ? later : earlier;
        Usage shorter = laterIsLonger ? earlier : later;
        return new Usage(
                longer.billId,
                longer.tenant,
                longer.product,
                earlier.endedAtMs,
                longer.outcome,
                longer.promptTokens,
                longer.cachedTokens,
                longer.outputTokens,
                longer.wastedTokens
                        + shorter.wastedTokens
                        + shorter.promptTokens
                        + shorter.outputTokens,
                longer.attempts + shorter.attempts);
    }

    byte[] toBytes() {
        return UsageRecord.newBuilder()
                .setTenant(tenant)
                .setProduct(product)
                .setAtMs(endedAtMs)
                .setKind(outcome)
                .setPromptToks(promptTokens)
                .setKeptToks(cachedTokens)
                .setOutToks(outputTokens)
                .setWastedToks(wastedTokens)
                .setAttempts(attempts)
                .build()
                .toByteArray();
    }

    static Usage fromProto(String billId, UsageRecord stored) {
        return new Usage(
                billId,
                stored.getTenant(),
                stored.getProduct(),
                stored.getAtMs(),
                stored.getKind(),
                stored.getPromptToks(),
                stored.getKeptToks(),
                stored.getOutToks(),
                stored.getWastedToks(),
                stored.getAttempts());
    }
}
