package larchridge.planner;

import java.util.ArrayList;
import java.util.List;

/**
 * Schedules batch work: decides whether one more line may start, and of which batch, and predicts
 * which batches will miss their completion windows. Free of I/O, clocks and threads; time is passed
 * in as milliseconds.
 */
public final class BatchPlanner {
    /** A tenant's rate predicts nothing until it has been observed for this long. */
    private static final double MIN_RATE_OBSERVATION_MS = 5_000;

    /** The assumed mean tokens of a line until the first line has started. */
    private static final double INITIAL_MEAN_TOKENS = 1000;

    /** The weight that the mean keeps when a line is added to it. */
    private static final double MEAN_DECAY_PER_LINE = 0.99;

    private final BatchConcurrencyLimiter limiter;
    private final WeightedFairQueue fairQueue = new WeightedFairQueue();
    private double openLines;
    private double openTokens;
    private double meanLineTokens = INITIAL_MEAN_TOKENS;
    private boolean hasMeanSample;

    /** A planner that never has more than this many lines of mean size open. */
    public BatchPlanner(double maxOpenLines) {
        limiter = new BatchConcurrencyLimiter(maxOpenLines);
    }

    /**
     * Adds a batch that has lines ready to start.
     *
     * @param batchId the batch's id
     * @param weight the tenant's weight in fair queueing; counts only for the first batch of a
     *     tenant
     * @param expiresMs when the completion window ends
     * @param sequenceNumber the batch's sequence number; orders batches that expire at the same
     *     time
     * @param unrecordedLines the lines that have no record in the output or error file yet
     */
    public PlannedBatch addBatch(
            String batchId,
            String tenant,
            double weight,
            double expiresMs,
            long sequenceNumber,
            double unrecordedLines) {
        PlannedBatch batch =
                new PlannedBatch(
                        batchId,
                        fairQueue.tenant(tenant, weight),
                        expiresMs,
                        sequenceNumber,
                        unrecordedLines);
        batch.tenant.batches.add(batch);
        fairQueue.setReady(batch, true);
        return batch;
    }

    /** Removes a batch, so that none of its lines starts any more. */
    public void removeBatch(PlannedBatch batch) {
        fairQueue.setReady(batch, false);
        batch.tenant.batches.remove(batch);
    }

    /** Sets whether the batch has a line that could start now. */
    public void setReady(PlannedBatch batch, boolean hasReadyLine) {
        if (batch.hasReadyLine != hasReadyLine) {
            fairQueue.setReady(batch, hasReadyLine);
        }
    }

    /** Starts no more lines of the batch's tenant until this time: its budget admits none. */
    public void pauseTenant(PlannedBatch batch, double untilMs) {
        batch.tenant.pausedUntilMs = Math.max(batch.tenant.pausedUntilMs, untilMs);
    }

    /** Adds a router's latest sample of its interactive requests. */
    public void addLatencySample(LatencySample sample, double nowMs) {
        limiter.addSample(sample, nowMs);
    }

    /** Records that the engines had no capacity for a batch line. */
    public void recordThrottled(double nowMs) {
        limiter.recordBatchThrottled(nowMs);
    }

    /** The batch that may start a line now, or null. */
    public PlannedBatch nextBatch(double nowMs) {
        // Open lines count as at least one, so that under a limit below 2 only one line is open at
        // a time.
        double openLinesOfMeanSize = Math.max(openLines == 0 ? 0 : 1, openTokens / meanLineTokens);
        return openLinesOfMeanSize + 1 <= limiter.limit(nowMs) ? fairQueue.next(nowMs) : null;
    }

    /**
     * The earliest time at which a tenant with ready lines is not paused, which may be in the past;
     * infinite if no tenant has any.
     */
    public double nextPauseEndMs() {
        return fairQueue.nextPauseEndMs();
    }

    /**
     * Records that a line has started.
     *
     * @param tokens the expected tokens of prompt and answer
     */
    public void lineStarted(PlannedBatch batch, double tokens) {
        openLines++;
        openTokens += tokens;
        meanLineTokens =
                hasMeanSample
                        ? MEAN_DECAY_PER_LINE * meanLineTokens + (1 - MEAN_DECAY_PER_LINE) * tokens
                        : tokens;
        hasMeanSample = true;
        batch.startedLines++;
        batch.startedTokens += tokens;
        batch.tenant.virtualTime += tokens / batch.tenant.weight;
        limiter.recordOpenWork(openTokens / meanLineTokens);
    }

    /**
     * Records that a started line is no longer open.
     *
     * @param tokens as they were given to {@link #lineStarted}
     * @param answered whether the line was answered; only then do its tokens count toward the
     *     tenant's rate
     */
    public void lineEnded(PlannedBatch batch, double tokens, boolean answered, double nowMs) {
        openLines--;
        openTokens = openLines == 0 ? 0 : openTokens - tokens;
        if (answered) {
            batch.tenant.answeredTokens.add(nowMs, tokens);
            if (Double.isNaN(batch.tenant.firstAnswerMs)) {
                batch.tenant.firstAnswerMs = nowMs;
            }
        }
    }

    /** Records that a line has its record in the output or error file. */
    public void lineRecorded(PlannedBatch batch) {
        batch.unrecordedLines = Math.max(0, batch.unrecordedLines - 1);
    }

    /** How many lines of mean size may be open now. */
    public double limit(double nowMs) {
        return limiter.limit(nowMs);
    }

    /** How many lines are open. */
    public double openLines() {
        return openLines;
    }

    /** How often the limit was decreased in the last minute. */
    public double limitDecreasesPerMinute(double nowMs) {
        return limiter.decreasesPerMinute(nowMs);
    }

    /**
     * Predicts anew which batches will miss their completion windows; returns those for which that
     * has changed. A batch waits for all batches of its tenant that expire earlier.
     */
    public List<PlannedBatch> updateAtRisk(double nowMs) {
        List<PlannedBatch> changed = new ArrayList<>();
        for (WeightedFairQueue.Tenant tenant : fairQueue.tenants()) {
            double observedMs =
                    Math.min(tenant.answeredTokens.spanMs(), nowMs - tenant.firstAnswerMs);
            double tokensPerMs = tenant.answeredTokens.sum(nowMs) / Math.max(1, observedMs);
            boolean isRateKnown = observedMs >= MIN_RATE_OBSERVATION_MS && tokensPerMs > 0;
            double queuedTokens = 0;
            for (PlannedBatch batch : tenant.batches) {
                queuedTokens +=
                        batch.unrecordedLines
                                * (batch.startedLines > 0
                                        ? batch.startedTokens / batch.startedLines
                                        : meanLineTokens);
                boolean atRisk =
                        isRateKnown
                                ? nowMs + queuedTokens / tokensPerMs > batch.expiresMs
                                : batch.atRisk;
                if (atRisk != batch.atRisk) {
                    batch.atRisk = atRisk;
                    changed.add(batch);
                }
            }
        }
        return changed;
    }
}
