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
final class BatchQuotas {
    private static final Comparator<BatchWork> DUE =
            Comparator.comparingDouble((BatchWork w) -> w.expiresMs)
                    .thenComparingLong(w -> w.number);

    /** One tenant with its batches. */
    static final class Tenant {
        final String name;
        final double share;

        /** Tokens handed out over the share: the tenant with the least is next. */
        double passed;

        double restUntilMs;
        final TreeSet<BatchWork> works = new TreeSet<>(DUE);
        final TreeSet<BatchWork> ready = new TreeSet<>(DUE);

        /** Tokens of lines that were answered. */
        final SlidingWindow finished = new SlidingWindow(60, 1000);

        double firstFinishedMs = Double.NaN;

        Tenant(String name, double share) {
            this.name = name;
            this.share = share;
        }
    }

    /** In the order in which they first came. */
    private final Map<String, Tenant> tenants = new LinkedHashMap<>();

    Tenant tenant(String name, double share) {
        return tenants.computeIfAbsent(name, n -> new Tenant(n, share));
    }

    Iterable<Tenant> all() {
        return tenants.values();
    }

    void ready(BatchWork work, boolean ready) {
        Tenant tenant = work.tenant;
        if (ready && tenant.ready.isEmpty()) {
            // Guards against: a tenant that had nothing to do would come back with a claim on all
            // that it
            // did not use.
            tenant.passed = Math.max(tenant.passed, leastPassed(tenant));
        }
        work.ready = ready;
        if (ready) {
            tenant.ready.add(work);
        } else {
            tenant.ready.remove(work);
        }
    }

    private double leastPassed(Tenant but) {
        return tenants.values().stream()
                .filter(t -> t != but && !t.ready.isEmpty())
                .mapToDouble(t -> t.passed)
                .min()
                .orElse(but.passed);
    }

    /** The next batch of which a line may go, or null. */
    BatchWork next(double nowMs) {
        Tenant best = null;
        for (Tenant tenant : tenants.values()) {
            if (!tenant.ready.isEmpty()
                    && nowMs >= tenant.restUntilMs
                    && (best == null || tenant.passed < best.passed)) {
                best = tenant;
            }
        }
        return best == null ? null : best.ready.first();
    }

    /** When a tenant that rests may go on, or infinite. */
    double nextRestMs() {
        return tenants.values().stream()
                .filter(t -> !t.ready.isEmpty())
                .mapToDouble(t -> t.restUntilMs)
                .min()
                .orElse(Double.POSITIVE_INFINITY);
    }
}
