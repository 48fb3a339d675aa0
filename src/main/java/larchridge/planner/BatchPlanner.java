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
    private static final double RATE_SEEN_MS = 5_000;

    private static final double FIRST_MEAN_TOKS = 1000;
    private static final double MEAN_KEPT = 0.99;

    private final BatchConcurrencyLimiter gap;
    private final BatchQuotas shares = new BatchQuotas();
    private double openLines;
    private double openTokens;
    private double meanTokens = FIRST_MEAN_TOKS;
    private boolean meanKnown;

    public BatchPlanner(double mostLines) {
        gap = new BatchConcurrencyLimiter(mostLines);
    }

    /** A batch whose lines may be planned; left of them are not answered. Its lines are ready. */
    public BatchWork joined(
            String name, String tenant, double share, double expiresMs, long number, double left) {
        BatchWork work = new BatchWork(name, shares.tenant(tenant, share), expiresMs, number, left);
        work.tenant.works.add(work);
        shares.ready(work, true);
        return work;
    }

    public void left(BatchWork work) {
        shares.ready(work, false);
        work.tenant.works.remove(work);
    }

    /** Whether the batch has a line that could go now. */
    public void ready(BatchWork work, boolean ready) {
        if (work.ready != ready) {
            shares.ready(work, ready);
        }
    }

    /** The tenant's budget lets nothing in until then. */
    public void rests(BatchWork work, double untilMs) {
        work.tenant.restUntilMs = Math.max(work.tenant.restUntilMs, untilMs);
    }

    public void felt(LatencySample feeling, double nowMs) {
        gap.felt(feeling, nowMs);
    }

    /** A line found no room at the engines. */
    public void crowded(double nowMs) {
        gap.crowded(nowMs);
    }

    /** The batch of which a line may go now, or null. */
    public BatchWork next(double nowMs) {
        double open = Math.max(openLines == 0 ? 0 : 1, openTokens / meanTokens);
        return open + 1 <= gap.limit(nowMs) ? shares.next(nowMs) : null;
    }

    /** When a tenant's rest ends, or infinite. */
    public double nextRestMs() {
        return shares.nextRestMs();
    }

    /** A line went out; prompt and answer may be so many tokens. */
    public void out(BatchWork work, double tokens) {
        openLines++;
        openTokens += tokens;
        meanTokens = meanKnown ? MEAN_KEPT * meanTokens + (1 - MEAN_KEPT) * tokens : tokens;
        meanKnown = true;
        work.handed++;
        work.handedTokens += tokens;
        work.tenant.passed += tokens / work.tenant.share;
        gap.open(openTokens / meanTokens);
    }

    /** It came back; answered tells whether it has its record now. */
    public void back(BatchWork work, double tokens, boolean answered, double nowMs) {
        openLines--;
        openTokens = openLines == 0 ? 0 : openTokens - tokens;
        if (answered) {
            work.tenant.finished.add(nowMs, tokens);
            if (Double.isNaN(work.tenant.firstFinishedMs)) {
                work.tenant.firstFinishedMs = nowMs;
            }
        }
    }

    /** A line has its record. */
    public void recorded(BatchWork work) {
        work.left = Math.max(0, work.left - 1);
    }

    public double limit(double nowMs) {
        return gap.limit(nowMs);
    }

    public double openLines() {
        return openLines;
    }

    public double fallsAMinute(double nowMs) {
        return gap.fallsAMinute(nowMs);
    }

    /** Judges all windows anew; the batches of which that has changed. */
    public List<BatchWork> judge(double nowMs) {
        List<BatchWork> changed = new ArrayList<>();
        for (BatchQuotas.Tenant tenant : shares.all()) {
            double seenMs = Math.min(tenant.finished.spanMs(), nowMs - tenant.firstFinishedMs);
            double perMs = tenant.finished.sum(nowMs) / Math.max(1, seenMs);
            boolean known = seenMs >= RATE_SEEN_MS && perMs > 0;
            double ahead = 0;
            for (BatchWork work : tenant.works) {
                ahead +=
                        work.left
                                * (work.handed > 0 ? work.handedTokens / work.handed : meanTokens);
                boolean atRisk = known ? nowMs + ahead / perMs > work.expiresMs : work.atRisk;
                if (atRisk != work.atRisk) {
                    work.atRisk = atRisk;
                    changed.add(work);
                }
            }
        }
        return changed;
    }
}
