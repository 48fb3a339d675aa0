package larchridge.planner;

import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeSet;
import larchridge.state.SlidingWindow;

/**
 * Chooses the batch that starts the next line: weighted fair queueing by tokens between tenants,
 * earliest deadline first within a tenant. So a batch with a short window gains nothing at the
 * expense of other tenants' shares. Free of I/O, clocks and threads; time is passed in as
 * milliseconds.
 */
final class WeightedFairQueue {
    private static final Comparator<PlannedBatch> EARLIEST_DEADLINE_FIRST =
            Comparator.comparingDouble((PlannedBatch batch) -> batch.expiresMs)
                    .thenComparingLong(batch -> batch.sequenceNumber);

    /** One tenant with its batches. */
    static final class Tenant {
        final String name;
        final double weight;

        /** Tokens of started lines divided by the weight; the tenant with the least is next. */
        double virtualTime;

        /** When the tenant's budget admits work again. */
        double pausedUntilMs;

        final TreeSet<PlannedBatch> batches = new TreeSet<>(EARLIEST_DEADLINE_FIRST);
        final TreeSet<PlannedBatch> readyBatches = new TreeSet<>(EARLIEST_DEADLINE_FIRST);

        /** Tokens of the lines answered in the last minute. */
        final SlidingWindow answeredTokens = new SlidingWindow(60, 1000);

        /** When the first line was answered; NaN before. */
        double firstAnswerMs = Double.NaN;

        Tenant(String name, double weight) {
            this.name = name;
            this.weight = weight;
        }
    }

    /** In insertion order, which decides between tenants of equal virtual time. */
    private final Map<String, Tenant> tenants = new LinkedHashMap<>();

    /** The tenant of this name, added with this weight if it is new. */
    Tenant tenant(String name, double weight) {
        return tenants.computeIfAbsent(name, key -> new Tenant(key, weight));
    }

    Iterable<Tenant> tenants() {
        return tenants.values();
    }

    void setReady(PlannedBatch batch, boolean hasReadyLine) {
        Tenant tenant = batch.tenant;
        if (hasReadyLine && tenant.readyBatches.isEmpty()) {
            // Guards against: a tenant that was idle would return with a claim on all the tokens
            // that it did not use meanwhile.
            tenant.virtualTime = Math.max(tenant.virtualTime, minVirtualTimeOfOthers(tenant));
        }
        batch.hasReadyLine = hasReadyLine;
        if (hasReadyLine) {
            tenant.readyBatches.add(batch);
        } else {
            tenant.readyBatches.remove(batch);
        }
    }

    private double minVirtualTimeOfOthers(Tenant excluded) {
        return tenants.values().stream()
                .filter(tenant -> tenant != excluded && !tenant.readyBatches.isEmpty())
                .mapToDouble(tenant -> tenant.virtualTime)
                .min()
                .orElse(excluded.virtualTime);
    }

    /** The batch that may start the next line, or null. */
    PlannedBatch next(double nowMs) {
        Tenant next = null;
        for (Tenant tenant : tenants.values()) {
            if (!tenant.readyBatches.isEmpty()
                    && nowMs >= tenant.pausedUntilMs
                    && (next == null || tenant.virtualTime < next.virtualTime)) {
                next = tenant;
            }
        }
        return next == null ? null : next.readyBatches.first();
    }

    /**
     * The earliest time at which a tenant with ready batches is not paused, which may be in the
     * past; infinite if no tenant has any.
     */
    double nextPauseEndMs() {
        return tenants.values().stream()
                .filter(tenant -> !tenant.readyBatches.isEmpty())
                .mapToDouble(tenant -> tenant.pausedUntilMs)
                .min()
                .orElse(Double.POSITIVE_INFINITY);
    }
}
