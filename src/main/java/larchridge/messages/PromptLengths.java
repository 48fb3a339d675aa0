package larchridge.messages;

import java.util.HashMap;
import java.util.Map;
import larchridge.tokens.CountingPolicy;
import larchridge.tokens.CountingRate;
import larchridge.tokens.PromptLengthSettings;
import larchridge.tokens.TokenCount;
import larchridge.tokens.TokenCountCorrection;
import larchridge.tokens.TokenCountTask;
import larchridge.tokens.TokenCounters;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The lengths of one front's prompts: counted where a model has a vocabulary, corrected by what
 * engines report.
 */
final class PromptLengths {
    private static final Logger LOG = LoggerFactory.getLogger(PromptLengths.class);

    /**
     * How fast readers read as far as the worth of counting goes; a faster one makes a guess
     * cheaper.
     */
    private static final double READ_TOKS_PER_MS = 10;

    final TokenCounters counters;
    private final Map<String, TokenCountCorrection> drifts = new HashMap<>();

    PromptLengths(TokenCounters counters) {
        this.counters = counters;
    }

    /** One body on its way to its lengths; looking up may run on any thread. */
    final class Measuring {
        final MessagesReader.Body body;
        private final PromptLengthSettings measure;
        private final CountingRate pace;
        private final TokenCountTask counting;

        Measuring(MessagesReader.Body body) {
            this.body = body;
            measure = body.offer().measure;
            pace = counters.rate(measure.vocabulary());
            counting =
                    new TokenCountTask(
                            body.countable().prompt(),
                            body.countable().sharedChars(),
                            measure.vocabulary(),
                            counters.cache);
        }

        double costMs() {
            return pace.expectedMs(counting.uncountedChars());
        }

        CountingPolicy.Mode way() {
            return CountingPolicy.choose(
                    costMs(),
                    counters.workers.expectedWaitMs(),
                    pace.tokensPerChar() * counting.uncountedChars(),
                    READ_TOKS_PER_MS,
                    body.offer().product.sloMs);
        }

        boolean finish() {
            return counting.countMissing(pace);
        }

        void callOff() {
            counting.cancel();
        }

        /** What engines would count, without correction. */
        TokenCount count() {
            return counting.tokenCount(pace.tokensPerChar());
        }

        int extraTokens() {
            return body.countable().images() * measure.imageTokens()
                    + body.countable().messages() * measure.messageTokens();
        }
    }

    /** The body with its lengths, on the front's loop. */
    MessagesReader.Body measured(Measuring measuring, boolean onlyCounted) throws ApiException {
        TokenCount count = measuring.count();
        MessagesReader.Body body = measuring.body;
        PromptLengthSettings measure = measuring.measure;
        double factor = drift(body.engineModel()).factor();
        int tokens = (int) Math.round(factor * (count.tokens() + measuring.extraTokens()));
        // Guards against: a guess or a drift must not turn away what fits; only what surely does
        // not is.
        long least = count.exact() ? tokens : count.lowerBound();
        if (!onlyCounted && least + body.maxTokens() > measure.windowTokens()) {
            throw ApiException.invalid(
                    "prompt is too long: "
                            + least
                            + " tokens and max_tokens "
                            + body.maxTokens()
                            + " > "
                            + measure.windowTokens()
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
                                                                .prefixTokenCount(
                                                                        measuring.pace
                                                                                .tokensPerChar())
                                                                .tokens()
                                                        + body.countable().sharedImages()
                                                                * measure.imageTokens()));
        return body.withTokens(tokens, shared);
    }

    /** What engines should report of a prompt, or -1 where it was not counted. */
    static int expected(Measuring measuring) {
        TokenCount count = measuring.count();
        return count.exact() ? count.tokens() + measuring.extraTokens() : -1;
    }

    /** An engine reports the length of a prompt. */
    void reported(String model, int expected, int reported) {
        if (expected < 0) {
            return;
        }
        TokenCountCorrection drift = drift(model);
        switch (drift.recordReport(expected, reported)) {
            case COUNT_DRIFT ->
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

    private TokenCountCorrection drift(String model) {
        return drifts.computeIfAbsent(model, name -> new TokenCountCorrection());
    }
}
