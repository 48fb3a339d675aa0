package larchridge.ledger;

import java.time.Instant;
import java.time.YearMonth;
import java.time.ZoneOffset;
import larchridge.ledger.form.UsageRecord;

/**
 * What one generation used.
 *
 * @param id one bill a generation: its client's key, or its own name
 * @param atMs when it ended, milliseconds of Unix time
 * @param kind its final answer
 * @param promptTokens prompt tokens billed, those kept from before among them
 * @param outTokens answer tokens that went to the client's socket
 * @param wastedTokens tokens that engines did for it and nobody is billed for
 */
public record Usage(
        String id,
        String tenant,
        String product,
        long atMs,
        String kind,
        long promptTokens,
        long keptTokens,
        long outTokens,
        long wastedTokens,
        int attempts) {

    public YearMonth month() {
        return YearMonth.from(Instant.ofEpochMilli(atMs).atOffset(ZoneOffset.UTC));
    }

    /**
     * One record of two for the same id: a client that asks again with its key pays once, for the
     * answer that it got most of; what was done besides is waste.
     */
    static Usage joined(Usage before, Usage again) {
        boolean againHasMore = again.outTokens > before.outTokens;
        Usage more = againHasMore ? again : before;
        Usage less = againHasMore ? before : again;
        return new Usage(
                more.id,
                more.tenant,
                more.product,
                before.atMs,
                more.kind,
                more.promptTokens,
                more.keptTokens,
                more.outTokens,
                more.wastedTokens + less.wastedTokens + less.promptTokens + less.outTokens,
                more.attempts + less.attempts);
    }

    byte[] bytes() {
        return UsageRecord.newBuilder()
                .setTenant(tenant)
                .setProduct(product)
                .setAtMs(atMs)
                .setKind(kind)
                .setPromptToks(promptTokens)
                .setKeptToks(keptTokens)
                .setOutToks(outTokens)
                .setWastedToks(wastedTokens)
                .setAttempts(attempts)
                .build()
                .toByteArray();
    }

    static Usage of(String id, UsageRecord form) {
        return new Usage(
                id,
                form.getTenant(),
                form.getProduct(),
                form.getAtMs(),
                form.getKind(),
                form.getPromptToks(),
                form.getKeptToks(),
                form.getOutToks(),
                form.getWastedToks(),
                form.getAttempts());
    }
}
