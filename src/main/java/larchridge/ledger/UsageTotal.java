package larchridge.ledger;

import larchridge.ledger.proto.UsageTotalRecord;

/** The sum of several usage records. */
public record UsageTotal(
        long generations,
        long promptTokens,
        long cachedTokens,
        long outputTokens,
        long wastedTokens) {
    public static final UsageTotal ZERO = new UsageTotal(0, 0, 0, 0, 0);

    UsageTotal plus(Usage usage) {
        return new UsageTotal(
                generations + 1,
                promptTokens + usage.promptTokens(),
                cachedTokens + usage.cachedTokens(),
                outputTokens + usage.outputTokens(),
                wastedTokens + usage.wastedTokens());
    }

    UsageTotal minus(Usage usage) {
        return new UsageTotal(
                generations - 1,
                promptTokens - usage.promptTokens(),
                cachedTokens - usage.cachedTokens(),
                outputTokens - usage.outputTokens(),
                wastedTokens - usage.wastedTokens());
    }

    byte[] toBytes() {
        return UsageTotalRecord.newBuilder()
                .setGenerations(generations)
                .setPromptToks(promptTokens)
                .setKeptToks(cachedTokens)
                .setOutToks(outputTokens)
                .setWastedToks(wastedTokens)
                .build()
                .toByteArray();
    }

    static UsageTotal fromProto(UsageTotalRecord stored) {
        return new UsageTotal(
                stored.getGenerations(),
                stored.getPromptToks(),
                stored.getKeptToks(),
                stored.getOutToks(),
                stored.getWastedToks());
    }
}
