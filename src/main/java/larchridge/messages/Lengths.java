package larchridge.messages;

import java.util.HashMap;
import java.util.Map;
import larchridge.tokens.Count;
import larchridge.tokens.Counters;
import larchridge.tokens.Counting;
import larchridge.tokens.Drift;
import larchridge.tokens.Measure;
import larchridge.tokens.Pace;
import larchridge.tokens.Worth;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The lengths of one front's prompts: counted where a model has a vocabulary, corrected by what
 * engines report.
 */
final class Lengths {
    private static final Logger LOG = LoggerFactory.getLogger(Lengths.class);

    /**
     * How fast readers read as far as the worth of counting goes; a faster one makes a guess
     * cheaper.
     */
    private static final double READ_TOKS_PER_MS = 10;

    final Counters counters;
    private final Map<String, Drift> drifts = new HashMap<>();

    Lengths(Counters counters) {
        this.counters = counters;
    }

    /** One body on its way to its lengths; looking up may run on any thread. */
    final class Measuring {
        final MessagesReader.Body body;
        private final Measure measure;
        private final Pace pace;
        private final Counting counting;

        Measuring(MessagesReader.Body body) {
            this.body = body;
            measure = body.offer().measure;
            pace = counters.pace(measure.vocabulary());
            counting =
                    new Counting(
                            body.countable().prompt(),
                            body.countable().sharedChars(),
                            measure.vocabulary(),
                            counters.cache);
        }

        double costMs() {
            return pace.msFor(counting.missingChars());
        }

        Worth.Way way() {
            return Worth.of(
                    costMs(),
                    counters.workers.waitMs(),
                    pace.toksAChar() * counting.missingChars(),
                    READ_TOKS_PER_MS,
                    body.offer().product.sloMs);
        }

        boolean finish() {
            return counting.finish(pace);
        }

        void callOff() {
            counting.callOff();
        }

        /** What engines would count, without correction. */
        Count count() {
            return counting.count(pace.toksAChar());
        }

        int extraToks() {
            return body.countable().images() * measure.imageToks()
                    + body.countable().messages() * measure.messageToks();
        }
    }

    /** The body with its lengths, on the front's loop. */
    MessagesReader.Body measured(Measuring measuring, boolean onlyCounted) throws ApiFault {
        Count count = measuring.count();
        MessagesReader.Body body = measuring.body;
        Measure measure = measuring.measure;
        double factor = drift(body.engineModel()).factor();
        int toks = (int) Math.round(factor * (count.toks() + measuring.extraToks()));
        // Danger: a guess or a drift must not turn away what fits; only what surely does not is.
        long least = count.exact() ? toks : count.least();
        if (!onlyCounted && least + body.maxToks() > measure.windowToks()) {
            throw ApiFault.invalid(
                    "prompt is too long: "
                            + least
                            + " tokens and max_tokens "
                            + body.maxToks()
                            + " > "
                            + measure.windowToks()
                            + " maximum");
        }
        int shared =
                body.prefix() == null
                        ? 0
                        : (int)
                                Math.round(
                                        factor
                                                * (measuring
                                                                .counting
                                                                .beginning(
                                                                        measuring.pace.toksAChar())
                                                                .toks()
                                                        + body.countable().sharedImages()
                                                                * measure.imageToks()));
        return body.withToks(toks, shared);
    }

    /** What engines should report of a prompt, or -1 where it was not counted. */
    static int expected(Measuring measuring) {
        Count count = measuring.count();
        return count.exact() ? count.toks() + measuring.extraToks() : -1;
    }

    /** An engine reports the length of a prompt. */
    void reported(String model, int expected, int reported) {
        if (expected < 0) {
            return;
        }
        Drift drift = drift(model);
        switch (drift.reported(expected, reported)) {
            case DRIFTS ->
                    LOG.atWarn()
                            .addKeyValue("model", model)
                            .addKeyValue("factor", drift.factor())
                            .log("engines count prompts otherwise; counts are corrected");
            case WRONG_VOCABULARY ->
                    LOG.atError()
                            .addKeyValue("model", model)
                            .addKeyValue("factor", drift.factor())
                            .log("the vocabulary of this model can't be its engines'");
            default -> {}
        }
    }

    private Drift drift(String model) {
        return drifts.computeIfAbsent(model, name -> new Drift());
    }
}
