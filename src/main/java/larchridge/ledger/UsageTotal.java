package larchridge.ledger;

import larchridge.ledger.form.UsageTotalRecord;

/** A sum of usage. */
public record UsageTotal(
        long generations, long promptTokens, long keptTokens, long outTokens, long wastedTokens) {
    public static final UsageTotal ZERO = new UsageTotal(0, 0, 0, 0, 0);

    UsageTotal plus(Usage usage) {
        return new UsageTotal(
                generations + 1,
                promptTokens + usage.promptTokens(),
                keptTokens + usage.keptTokens(),
                outTokens + usage.outTokens(),
                wastedTokens + usage.wastedTokens());
    }

    UsageTotal minus(Usage usage) {
        return new UsageTotal(
                generations - 1,
                promptTokens - usage.promptTokens(),
                keptTokens - usage.keptTokens(),
                outTokens - usage.outTokens(),
                wastedTokens - usage.wastedTokens());
    }

    byte[] bytes() {
        return UsageTotalRecord.newBuilder()
                .setGenerations(generations)
                .setPromptToks(promptTokens)
                .setKeptToks(keptTokens)
                .setOutToks(outTokens)
                .setWastedToks(wastedTokens)
                .build()
                .toByteArray();
    }

    static UsageTotal of(UsageTotalRecord form) {
        return new UsageTotal(
                form.getGenerations(),
                form.getPromptToks(),
                form.getKeptToks(),
                form.getOutToks(),
                form.getWastedToks());
    }
}
