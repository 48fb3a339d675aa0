package larchridge.ledger;

import java.time.Instant;
import java.time.YearMonth;
import java.time.ZoneOffset;
import larchridge.ledger.form.UsageRecord;

/**
 * What one generation used.
 *
 * @param billId one bill a generation: its client's key, or its own name
 * @param endedAtMs when it ended, milliseconds of Unix time
 * @param outcome its final answer
 * @param promptTokens prompt tokens billed, those kept from before among them
 * @param outputTokens answer tokens that went to the client's socket
 * @param wastedTokens tokens that engines did for it and nobody is billed for
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

    public YearMonth month() {
        return YearMonth.from(Instant.ofEpochMilli(endedAtMs).atOffset(ZoneOffset.UTC));
    }

    /**
     * One record of two for the same id: a client that asks again with its key pays once, for the
     * answer that it got most of; what was done besides is waste.
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
