package larchridge.ledger;

import larchridge.ledger.form.TotalForm;

/** A sum of usage. */
public record UsageTotal(
        long generations, long promptToks, long keptToks, long outToks, long wastedToks) {
    public static final UsageTotal ZERO = new UsageTotal(0, 0, 0, 0, 0);

    UsageTotal plus(Usage usage) {
        return new UsageTotal(
                generations + 1,
                promptToks + usage.promptToks(),
                keptToks + usage.keptToks(),
                outToks + usage.outToks(),
                wastedToks + usage.wastedToks());
    }

    UsageTotal minus(Usage usage) {
        return new UsageTotal(
                generations - 1,
                promptToks - usage.promptToks(),
                keptToks - usage.keptToks(),
                outToks - usage.outToks(),
                wastedToks - usage.wastedToks());
    }

    byte[] bytes() {
        return TotalForm.newBuilder()
                .setGenerations(generations)
                .setPromptToks(promptToks)
                .setKeptToks(keptToks)
                .setOutToks(outToks)
                .setWastedToks(wastedToks)
                .build()
                .toByteArray();
    }

    static UsageTotal of(TotalForm form) {
        return new UsageTotal(
                form.getGenerations(),
                form.getPromptToks(),
                form.getKeptToks(),
                form.getOutToks(),
                form.getWastedToks());
    }
}
