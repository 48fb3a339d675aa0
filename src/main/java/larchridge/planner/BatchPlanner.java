package larchridge.planner;

import java.util.ArrayList;
import java.util.List;

/**
 * Plans batch work: whether one more line may be open now, and of which batch; and tells early
 * which batch will not be done in its window. Time is passed in, milliseconds. Without I/O, clock
 * or threads.
 */
public final class BatchPlanner {
    /** A window is judged only by a rate that was seen for so long. */
    private static final double MIN_RATE_OBSERVATION_MS = 5_000;

    private static final double INITIAL_MEAN_TOKENS = 1000;
    private static final double MEAN_DECAY_PER_LINE = 0.99;

    private final BatchConcurrencyLimiter limiter;
    private final WeightedFairQueue fairQueue = new WeightedFairQueue();
    private double openLines;
    private double openTokens;
    private double meanLineTokens = INITIAL_MEAN_TOKENS;
    private boolean hasMeanSample;

    public BatchPlanner(double maxOpenLines) {
        limiter = new BatchConcurrencyLimiter(maxOpenLines);
    }

    /** A batch whose lines may be planned; left of them are not answered. Its lines are ready. */
    public PlannedBatch addBatch(
            String name, String tenant, double share, double expiresMs, long number, double unansweredLines) {
        PlannedBatch batch = new PlannedBatch(name, fairQueue.tenant(tenant, share), expiresMs, number, unansweredLines);
        batch.tenant.batches.add(batch);
        fairQueue.setReady(batch, true);
        return batch;
    }

    public void removeBatch(PlannedBatch batch) {
        fairQueue.setReady(batch, false);
        batch.tenant.batches.remove(batch);
    }

    /** Whether the batch has a line that could go now. */
    public void setReady(PlannedBatch batch, boolean hasReadyLine) {
        if (batch.hasReadyLine != hasReadyLine) {
            fairQueue.setReady(batch, hasReadyLine);
        }
    }

    /** The tenant's budget lets nothing in until then. */
    public void pauseTenant(PlannedBatch batch, double untilMs) {
        batch.tenant.pausedUntilMs = Math.max(batch.tenant.pausedUntilMs, untilMs);
    }

    public void addLatencySample(LatencySample sample, double nowMs) {
        limiter.addSample(sample, nowMs);
    }

    /** A line found no room at the engines. */
    public void recordThrottled(double nowMs) {
        limiter.recordBatchThrottled(nowMs);
    }

    /** The batch of which a line may go now, or null. */
    public PlannedBatch nextBatch(double nowMs) {
        double openMeanLines = Math.max(openLines == 0 ? 0 : 1, openTokens / meanLineTokens);
        return openMeanLines + 1 <= limiter.limit(nowMs) ? fairQueue.next(nowMs) : null;
    }

    /** When a tenant's rest ends, or infinite. */
    public double nextPauseEndMs() {
        return fairQueue.nextPauseEndMs();
    }

    /** A line went out; prompt and answer may be so many tokens. */
    public void lineStarted(PlannedBatch batch, double tokens) {
        openLines++;
        openTokens += tokens;
        meanLineTokens = hasMeanSample ? MEAN_DECAY_PER_LINE * meanLineTokens + (1 - MEAN_DECAY_PER_LINE) * tokens : tokens;
        hasMeanSample = true;
        batch.startedLines++;
        batch.startedTokens += tokens;
        batch.tenant.virtualTime += tokens / batch.tenant.share;
        limiter.recordOpenLines(openTokens / meanLineTokens);
    }

    /** It came back; answered tells whether it has its record now. */
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

    /** A line has its record. */
    public void lineRecorded(PlannedBatch batch) {
        batch.unansweredLines = Math.max(0, batch.unansweredLines - 1);
    }

    public double limit(double nowMs) {
        return limiter.limit(nowMs);
    }

    public double openLines() {
        return openLines;
    }

    public double limitDecreasesPerMinute(double nowMs) {
        return limiter.decreasesPerMinute(nowMs);
    }

    /** Judges all windows anew; the batches of which that has changed. */
    public List<PlannedBatch> updateAtRisk(double nowMs) {
        List<PlannedBatch> changed = new ArrayList<>();
        for (WeightedFairQueue.Tenant tenant : fairQueue.tenants()) {
            double observedMs = Math.min(tenant.answeredTokens.spanMs(), nowMs - tenant.firstAnswerMs);
            double tokensPerMs = tenant.answeredTokens.sum(nowMs) / Math.max(1, observedMs);
            boolean isRateKnown = observedMs >= MIN_RATE_OBSERVATION_MS && tokensPerMs > 0;
            double queuedTokens = 0;
            for (PlannedBatch batch : tenant.batches) {
                queuedTokens +=
                        batch.unansweredLines
                                * (batch.startedLines > 0 ? batch.startedTokens / batch.startedLines : meanLineTokens);
                boolean atRisk = isRateKnown ? nowMs + queuedTokens / tokensPerMs > batch.expiresMs : batch.atRisk;
                if (atRisk != batch.atRisk) {
                    batch.atRisk = atRisk;
                    changed.add(batch);
                }
            }
        }
        return changed;
    }
}
