package larchridge.planner;

import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeSet;
import larchridge.state.SlidingWindow;

/**
 * Whose batch is next: between tenants by their shares of tokens, within a tenant the one that is
 * due first, so that nobody gains by asking for a short window what another's share is. Without
 * I/O, clock or threads.
 */
final class WeightedFairQueue {
    private static final Comparator<PlannedBatch> EARLIEST_DEADLINE_FIRST =
            Comparator.comparingDouble((PlannedBatch batch) -> batch.expiresMs)
                    .thenComparingLong(batch -> batch.number);

    /** One tenant with its batches. */
    static final class Tenant {
        final String name;
        final double share;

        /** Tokens handed out over the share: the tenant with the least is next. */
        double virtualTime;

        double pausedUntilMs;
        final TreeSet<PlannedBatch> batches = new TreeSet<>(EARLIEST_DEADLINE_FIRST);
        final TreeSet<PlannedBatch> readyBatches = new TreeSet<>(EARLIEST_DEADLINE_FIRST);

        /** Tokens of lines that were answered. */
        final SlidingWindow answeredTokens = new SlidingWindow(60, 1000);

        double firstAnswerMs = Double.NaN;

        Tenant(String name, double share) {
            this.name = name;
            this.share = share;
        }
    }

    /** In the order in which they first came. */
    private final Map<String, Tenant> tenants = new LinkedHashMap<>();

    Tenant tenant(String name, double share) {
        return tenants.computeIfAbsent(name, key -> new Tenant(key, share));
    }

    Iterable<Tenant> tenants() {
        return tenants.values();
    }

    void setReady(PlannedBatch batch, boolean hasReadyLine) {
        Tenant tenant = batch.tenant;
        if (hasReadyLine && tenant.readyBatches.isEmpty()) {
            // Guards against: a tenant that had nothing to do would come back with a claim on all
            // that it
            // did not use.
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

    /** The next batch of which a line may go, or null. */
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

    /** When a tenant that rests may go on, or infinite. */
    double nextPauseEndMs() {
        return tenants.values().stream()
                .filter(tenant -> !tenant.readyBatches.isEmpty())
                .mapToDouble(tenant -> tenant.pausedUntilMs)
                .min()
                .orElse(Double.POSITIVE_INFINITY);
    }
}
