package larchridge.messages;

import java.util.HashMap;
import java.util.Map;
import larchridge.tokens.Counting;
import larchridge.tokens.CountingPolicy;
import larchridge.tokens.CountingRate;
import larchridge.tokens.Measure;
import larchridge.tokens.TokenCount;
import larchridge.tokens.TokenCountCorrection;
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
    private static final double READER_TOKENS_PER_MS = 10;

    final TokenCounters counters;
    private final Map<String, TokenCountCorrection> corrections = new HashMap<>();

    PromptLengths(TokenCounters counters) {
        this.counters = counters;
    }

    /** One body on its way to its lengths; looking up may run on any thread. */
    final class Measurement {
        final MessagesReader.Body body;
        private final Measure measure;
        private final CountingRate rate;
        private final Counting counting;

        Measurement(MessagesReader.Body body) {
            this.body = body;
            measure = body.offering().measure;
            rate = counters.pace(measure.vocabulary());
            counting =
                    new Counting(
                            body.countInput().prompt(),
                            body.countInput().sharedChars(),
                            measure.vocabulary(),
                            counters.cache);
        }

        double costMs() {
            return rate.msFor(counting.missingChars());
        }

        CountingPolicy.Way countingWay() {
            return CountingPolicy.of(
                    costMs(),
                    counters.workers.waitMs(),
                    rate.tokensAChar() * counting.missingChars(),
                    READER_TOKENS_PER_MS,
                    body.offering().product.sloMs);
        }

        boolean finish() {
            return counting.finish(rate);
        }

        void cancel() {
            counting.callOff();
        }

        /** What engines would count, without correction. */
        TokenCount count() {
            return counting.count(rate.tokensAChar());
        }

        int extraTokens() {
            return body.countInput().images() * measure.imageTokens()
                    + body.countInput().messages() * measure.messageTokens();
        }
    }

    /** The body with its lengths, on the front's loop. */
    MessagesReader.Body withLengths(Measurement measurement, boolean countOnly) throws ApiException {
        TokenCount count = measurement.count();
        MessagesReader.Body body = measurement.body;
        Measure measure = measurement.measure;
        double factor = correctionOf(body.engineModel()).factor();
        int tokens = (int) Math.round(factor * (count.tokens() + measurement.extraTokens()));
        // Guards against: a guess or a drift must not turn away what fits; only what surely does
        // not is.
        long minTokens = count.exact() ? tokens : count.least();
        if (!countOnly && minTokens + body.maxTokens() > measure.windowTokens()) {
            throw ApiException.invalid(
                    "prompt is too long: "
                            + minTokens
                            + " tokens and max_tokens "
                            + body.maxTokens()
                            + " > "
                            + measure.windowTokens()
                            + " maximum");
        }
        int sharedPrefixTokens =
                body.sharedPrefixId() == null
                        ? 0
                        : (int)
                                Math.round(
                                        factor
                                                * (measurement
                                                                .counting
                                                                .beginning(
                                                                        measurement.rate
                                                                                .tokensAChar())
                                                                .tokens()
                                                        + body.countInput().sharedImages()
                                                                * measure.imageTokens()));
        return body.withTokens(tokens, sharedPrefixTokens);
    }

    /** What engines should report of a prompt, or -1 where it was not counted. */
    static int expectedEngineTokens(Measurement measurement) {
        TokenCount count = measurement.count();
        return count.exact() ? count.tokens() + measurement.extraTokens() : -1;
    }

    /** An engine reports the length of a prompt. */
    void tokensReported(String model, int expectedTokens, int reportedTokens) {
        if (expectedTokens < 0) {
            return;
        }
        TokenCountCorrection correction = correctionOf(model);
        switch (correction.reported(expectedTokens, reportedTokens)) {
            case DRIFTS ->
                    LOG.atWarn()
                            .addKeyValue("model", model)
                            .addKeyValue("factor", correction.factor())
                            .log("engines count prompts otherwise; counts are corrected");
            case WRONG_VOCABULARY ->
                    LOG.atError()
                            .addKeyValue("model", model)
                            .addKeyValue("factor", correction.factor())
                            .log("the vocabulary of this model can't be its engines'");
            default -> {}
        }
    }

    private TokenCountCorrection correctionOf(String model) {
        return corrections.computeIfAbsent(model, name -> new TokenCountCorrection());
    }
}
