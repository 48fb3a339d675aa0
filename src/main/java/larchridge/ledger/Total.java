package larchridge.ledger;

import larchridge.ledger.form.TotalForm;

/** A sum of usage. */
public record Total(
        long generations, long promptToks, long keptToks, long outToks, long wastedToks) {
    public static final Total ZERO = new Total(0, 0, 0, 0, 0);

    Total plus(Usage usage) {
        return new Total(
                generations + 1,
                promptToks + usage.promptToks(),
                keptToks + usage.keptToks(),
                outToks + usage.outToks(),
                wastedToks + usage.wastedToks());
    }

    Total minus(Usage usage) {
        return new Total(
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

    static Total of(TotalForm form) {
        return new Total(
                form.getGenerations(),
                form.getPromptToks(),
                form.getKeptToks(),
                form.getOutToks(),
                form.getWastedToks());
    }
}
