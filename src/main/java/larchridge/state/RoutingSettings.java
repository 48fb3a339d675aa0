package larchridge.state;

import java.util.Objects;

/**
 * Limits and permissions of a routing policy, and capabilities of the engines, fixed for the
 * lifetime of the policy. Times are milliseconds.
 *
 * @param seed seed of the policy's random generator
 * @param routers number of routers that share the engines, including this one
 * @param zone the router's own zone
 * @param maxAttempts maximum number of attempts per generation
 * @param cancellationAllowed whether attempts may be cancelled
 * @param probesAllowed whether engines may be probed for their load
 * @param hedgingAllowed whether two attempts of a generation may be in flight concurrently
 * @param writersCanRead whether every writer can read prompts itself
 * @param endpointSubscriptionRequired whether the policy has to subscribe to the endpoint list;
 *     otherwise the list is pushed
 * @param reportsWithAnswers whether engines report their load with answers
 * @param reportsWithProbes whether engines report their load in probe responses
 * @param retryAfterMaxMs longest Retry-After that clients honor; 0 if they honor none
 * @param slowStartShare fraction of a warm engine's attempts that a warming engine may receive
 * @param slowStartMs warm-up time of an engine
 * @param overloadMultiple factor by which the slow-start share may be exceeded before the engine
 *     counts as overloaded
 * @param overloadMs how long that share has to be exceeded before the engine counts as overloaded
 * @param overQuotaRevenue revenue of a generation over its tenant's quota, relative to one within
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
        boolean endpointSubscriptionRequired,
        boolean reportsWithAnswers,
        boolean reportsWithProbes,
        double retryAfterMaxMs,
        double slowStartShare,
        double slowStartMs,
        double overloadMultiple,
        double overloadMs,
        double overQuotaRevenue) {

    /** Checks that the zone is present and the number of routers is positive. */
    public RoutingSettings {
        Objects.requireNonNull(zone, "zone");
        if (routers < 1) {
            throw new IllegalArgumentException("routers is " + routers + "; expected 1 or more");
        }
    }

    /** A builder with every permission off, every limit 0 and one router. */
    public static Builder builder() {
        return new Builder();
    }

    /** A builder initialized with these settings. */
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
                .endpointSubscriptionRequired(endpointSubscriptionRequired)
                .reportsWithAnswers(reportsWithAnswers)
                .reportsWithProbes(reportsWithProbes)
                .retryAfterMaxMs(retryAfterMaxMs)
                .slowStartShare(slowStartShare)
                .slowStartMs(slowStartMs)
                .overloadMultiple(overloadMultiple)
                .overloadMs(overloadMs)
                .overQuotaRevenue(overQuotaRevenue);
    }

    /** A copy of these settings with another seed. */
    public RoutingSettings withSeed(long other) {
        return toBuilder().seed(other).build();
    }

    /** Builder of routing settings; each setter is named after the component it sets. */
    public static final class Builder {
        private long seed;
        private int routers = 1;
        private String zone = "";
        private int maxAttempts;
        private boolean cancellationAllowed;
        private boolean probesAllowed;
        private boolean hedgingAllowed;
        private boolean writersCanRead;
        private boolean endpointSubscriptionRequired;
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

        /** Sets {@link RoutingSettings#endpointSubscriptionRequired()}. */
        public Builder endpointSubscriptionRequired(boolean value) {
            endpointSubscriptionRequired = value;
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

        /** Builds and validates the settings. */
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
                    endpointSubscriptionRequired,
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
