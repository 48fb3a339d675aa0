package larchridge.state;

import java.util.Objects;

/**
 * What a policy is allowed and what is promised to whom, fixed for its lifetime. Times are
 * milliseconds.
 *
 * @param seed of the policy's random draws
 * @param routers how many routers share the engines, this one included
 * @param zone the router's own zone
 * @param maxAttempts how often a generation may be sent in all
 * @param cancellationAllowed whether attempts may be cancelled
 * @param probesAllowed whether engines may be probed for their load
 * @param hedgingAllowed whether two attempts of a generation may be in flight side by side
 * @param writersCanRead whether every writer can read prompts itself
 * @param endpointListPolled whether the policy has to request the endpoint list
 * @param reportsWithAnswers whether engines report their load with answers
 * @param reportsWithProbes whether engines report their load to probes
 * @param retryAfterMaxMs the longest Retry-After that a client honours; 0 where there is none
 * @param slowStartShare the part of a warm engine's attempts that a warming one may get
 * @param slowStartMs how long an engine warms up
 * @param overloadMultiple by what factor that part may be passed before it counts as overload
 * @param overloadMs for how long it has to be passed
 * @param overQuotaRevenue what a generation over its tenant's quota earns, beside one within
 */
public record RoutingSettings(
        long seed,
        int routers,
        String zone,
        int maxAttempts,
        boolean cancellationAllowed,
        boolean probesAllowed,
        boolean hedgingAllowed,
        boolean writersCanRead,
        boolean endpointListPolled,
        boolean reportsWithAnswers,
        boolean reportsWithProbes,
        double retryAfterMaxMs,
        double slowStartShare,
        double slowStartMs,
        double overloadMultiple,
        double overloadMs,
        double overQuotaRevenue) {

    /** Checks what every part of the policy relies on. */
    public RoutingSettings {
        Objects.requireNonNull(zone, "zone");
        if (routers < 1) {
            throw new IllegalArgumentException("routers is " + routers + "; expected 1 or more");
        }
    }

    /** A builder that allows nothing and promises nothing yet. */
    public static Builder builder() {
        return new Builder();
    }

    /** A builder with these settings. */
    public Builder toBuilder() {
        return new Builder()
                .seed(seed)
                .routers(routers)
                .zone(zone)
                .maxAttempts(maxAttempts)
                .cancellationAllowed(cancellationAllowed)
                .probesAllowed(probesAllowed)
                .hedgingAllowed(hedgingAllowed)
                .writersCanRead(writersCanRead)
                .endpointListPolled(endpointListPolled)
                .reportsWithAnswers(reportsWithAnswers)
                .reportsWithProbes(reportsWithProbes)
                .retryAfterMaxMs(retryAfterMaxMs)
                .slowStartShare(slowStartShare)
                .slowStartMs(slowStartMs)
                .overloadMultiple(overloadMultiple)
                .overloadMs(overloadMs)
                .overQuotaRevenue(overQuotaRevenue);
    }

    /** The same settings with another seed. */
    public RoutingSettings withSeed(long other) {
        return toBuilder().seed(other).build();
    }

    /** Collects settings; each setter is named after the component that it sets. */
    public static final class Builder {
        private long seed;
        private int routers = 1;
        private String zone = "";
        private int maxAttempts;
        private boolean cancellationAllowed;
        private boolean probesAllowed;
        private boolean hedgingAllowed;
        private boolean writersCanRead;
        private boolean endpointListPolled;
        private boolean reportsWithAnswers;
        private boolean reportsWithProbes;
        private double retryAfterMaxMs;
        private double slowStartShare;
        private double slowStartMs;
        private double overloadMultiple;
        private double overloadMs;
        private double overQuotaRevenue;

        private Builder() {}

        /** Sets {@link RoutingSettings#seed()}. */
        public Builder seed(long value) {
            seed = value;
            return this;
        }

        /** Sets {@link RoutingSettings#routers()}. */
        public Builder routers(int value) {
            routers = value;
            return this;
        }

        /** Sets {@link RoutingSettings#zone()}. */
        public Builder zone(String value) {
            zone = value;
            return this;
        }

        /** Sets {@link RoutingSettings#maxAttempts()}. */
        public Builder maxAttempts(int value) {
            maxAttempts = value;
            return this;
        }

        /** Sets {@link RoutingSettings#cancellationAllowed()}. */
        public Builder cancellationAllowed(boolean value) {
            cancellationAllowed = value;
            return this;
        }

        /** Sets {@link RoutingSettings#probesAllowed()}. */
        public Builder probesAllowed(boolean value) {
            probesAllowed = value;
            return this;
        }

        /** Sets {@link RoutingSettings#hedgingAllowed()}. */
        public Builder hedgingAllowed(boolean value) {
            hedgingAllowed = value;
            return this;
        }

        /** Sets {@link RoutingSettings#writersCanRead()}. */
        public Builder writersCanRead(boolean value) {
            writersCanRead = value;
            return this;
        }

        /** Sets {@link RoutingSettings#endpointListPolled()}. */
        public Builder endpointListPolled(boolean value) {
            endpointListPolled = value;
            return this;
        }

        /** Sets {@link RoutingSettings#reportsWithAnswers()}. */
        public Builder reportsWithAnswers(boolean value) {
            reportsWithAnswers = value;
            return this;
        }

        /** Sets {@link RoutingSettings#reportsWithProbes()}. */
        public Builder reportsWithProbes(boolean value) {
            reportsWithProbes = value;
            return this;
        }

        /** Sets {@link RoutingSettings#retryAfterMaxMs()}. */
        public Builder retryAfterMaxMs(double value) {
            retryAfterMaxMs = value;
            return this;
        }

        /** Sets {@link RoutingSettings#slowStartShare()}. */
        public Builder slowStartShare(double value) {
            slowStartShare = value;
            return this;
        }

        /** Sets {@link RoutingSettings#slowStartMs()}. */
        public Builder slowStartMs(double value) {
            slowStartMs = value;
            return this;
        }

        /** Sets {@link RoutingSettings#overloadMultiple()}. */
        public Builder overloadMultiple(double value) {
            overloadMultiple = value;
            return this;
        }

        /** Sets {@link RoutingSettings#overloadMs()}. */
        public Builder overloadMs(double value) {
            overloadMs = value;
            return this;
        }

        /** Sets {@link RoutingSettings#overQuotaRevenue()}. */
        public Builder overQuotaRevenue(double value) {
            overQuotaRevenue = value;
            return this;
        }

        /** The settings, checked. */
        public RoutingSettings build() {
            return new RoutingSettings(
                    seed,
                    routers,
                    zone,
                    maxAttempts,
                    cancellationAllowed,
                    probesAllowed,
                    hedgingAllowed,
                    writersCanRead,
                    endpointListPolled,
                    reportsWithAnswers,
                    reportsWithProbes,
                    retryAfterMaxMs,
                    slowStartShare,
                    slowStartMs,
                    overloadMultiple,
                    overloadMs,
                    overQuotaRevenue);
        }
    }
}
