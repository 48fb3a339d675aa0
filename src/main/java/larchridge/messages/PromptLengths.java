package larchridge.messages;

import java.util.HashMap;
import java.util.Map;
import larchridge.tokens.CountingPolicy;
import larchridge.tokens.CountingResources;
import larchridge.tokens.CountingStatistics;
import larchridge.tokens.PromptLengthSettings;
import larchridge.tokens.TokenCount;
import larchridge.tokens.TokenCountCorrection;
import larchridge.tokens.TokenCountTask;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Measures the prompts of one router: counts their tokens if the product has a vocabulary, and
 * corrects the counts by the lengths that engines report.
 */
final class PromptLengths {
    private static final Logger LOG = LoggerFactory.getLogger(PromptLengths.class);

    /**
     * Assumed reading rate of an idle reader, from which {@link CountingPolicy} computes the cost
     * of a wrong length estimate; on a faster reader, a wrong estimate costs less.
     */
    private static final double READER_TOKENS_PER_MS = 10;

    final CountingResources counters;
    private final Map<String, TokenCountCorrection> corrections = new HashMap<>();

    PromptLengths(CountingResources counters) {
        this.counters = counters;
    }

    /** The measurement of one body; it may be created and counted on any thread. */
    final class Measurement {
        final MessagesParser.Body body;
        private final PromptLengthSettings lengthSettings;
        private final CountingStatistics rate;
        private final TokenCountTask counting;

        Measurement(MessagesParser.Body body) {
            this.body = body;
            lengthSettings = body.offering().lengthSettings;
            rate = counters.statistics(lengthSettings.vocabulary());
            counting =
                    new TokenCountTask(
                            body.countInput().prompt(),
                            body.countInput().sharedChars(),
                            lengthSettings.vocabulary(),
                            counters.cache);
        }

        double costMs() {
            return rate.expectedMs(counting.charsToCount());
        }

        CountingPolicy.Mode countingMode() {
            return CountingPolicy.choose(
                    costMs(),
                    counters.workers.expectedWaitMs(),
                    rate.tokensPerChar() * counting.charsToCount(),
                    READER_TOKENS_PER_MS,
                    body.offering().trafficClass.sloMs);
        }

        /** Counts the chunks that the cache lacks; returns false if it was cancelled. */
        boolean countMissing() {
            return counting.countMissing(rate);
        }

        void cancel() {
            counting.cancel();
        }

        /** The tokens that engines would count, without correction. */
        TokenCount count() {
            return counting.tokenCount(rate.tokensPerChar());
        }

        int extraTokens() {
            return body.countInput().images() * lengthSettings.imageTokens()
                    + body.countInput().messages() * lengthSettings.messageTokens();
        }
    }

    /** Returns the body with its measured lengths. Runs on the router's loop. */
    MessagesParser.Body withLengths(Measurement measurement, boolean countOnly)
            throws ApiException {
        TokenCount count = measurement.count();
        MessagesParser.Body body = measurement.body;
        PromptLengthSettings lengthSettings = measurement.lengthSettings;
        double factor = correctionOf(body.engineModel()).factor();
        int tokens = (int) Math.round(factor * (count.tokens() + measurement.extraTokens()));
        // Guards against: an estimate that is too high would reject a prompt that fits. A prompt
        // that was not counted exactly is rejected only by the lower bound of its length, without
        // correction.
        long minTokens = count.exact() ? tokens : count.lowerBound();
        if (!countOnly && minTokens + body.maxTokens() > lengthSettings.windowTokens()) {
            throw ApiException.invalid(
                    "prompt is too long: "
                            + minTokens
                            + " tokens and max_tokens "
                            + body.maxTokens()
                            + " > "
                            + lengthSettings.windowTokens()
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
                                                                .prefixTokenCount(
                                                                        measurement.rate
                                                                                .tokensPerChar())
                                                                .tokens()
                                                        + body.countInput().sharedImages()
                                                                * lengthSettings.imageTokens()));
        return body.withTokens(tokens, sharedPrefixTokens);
    }

    /** The length that engines should report for a prompt, or -1 if it was not counted. */
    static int expectedEngineTokens(Measurement measurement) {
        TokenCount count = measurement.count();
        return count.exact() ? count.tokens() + measurement.extraTokens() : -1;
    }

    /** An engine has reported the length of a prompt; later counts are corrected by it. */
    void tokensReported(String model, int expectedTokens, int reportedTokens) {
        if (expectedTokens < 0) {
            return;
        }
        TokenCountCorrection correction = correctionOf(model);
        switch (correction.recordReport(expectedTokens, reportedTokens)) {
            case COUNTS_DIFFER ->
                    LOG.atWarn()
                            .addKeyValue("model", model)
                            .addKeyValue("factor", correction.factor())
                            .log("engines report other lengths than counted; counts are corrected");
            case WRONG_VOCABULARY ->
                    LOG.atError()
                            .addKeyValue("model", model)
                            .addKeyValue("factor", correction.factor())
                            .log("the vocabulary of this model does not match its engines");
            default -> {}
        }
    }

    private TokenCountCorrection correctionOf(String model) {
        return corrections.computeIfAbsent(model, name -> new TokenCountCorrection());
    }
}
