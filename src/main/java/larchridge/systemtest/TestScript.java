package larchridge.systemtest;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;
import java.util.Random;

/**
 * A drill: engines, load and troubles against time, milliseconds from the start. Fields that a file
 * leaves out have the defaults of {@link TestScriptReader}. Engines count by the encoding, or four
 * characters a token where there is none; fronts count by it too if counted, or guess from bytes.
 */
public record TestScript(
        @JsonProperty("seed") long seed,
        @JsonProperty("fronts") int routers,
        @JsonProperty("duration_ms") double durationMs,
        @JsonProperty("rate_per_s") double requestsPerSecond,
        @JsonProperty("list_lag_ms") double listLagMs,
        @JsonProperty("probes") boolean probes,
        @JsonProperty("processes") boolean processes,
        @JsonProperty("encoding") String encoding,
        @JsonProperty("counted") boolean counted,
        @JsonProperty("tenants") List<Tenant> tenants,
        @JsonProperty("engines") List<EngineGroup> engines,
        @JsonProperty("products") List<ProductLoad> products,
        @JsonProperty("batches") List<Batch> batches,
        @JsonProperty("clients") ClientBehavior clients,
        @JsonProperty("troubles") List<Trouble> troubles) {

    /**
     * So many engines of one role; they are spread over the zones, and in each zone over its racks.
     */
    public record EngineGroup(
            @JsonProperty("role") String role,
            @JsonProperty("count") int count,
            @JsonProperty("zones") List<String> zones,
            @JsonProperty("racks") int racks,
            @JsonProperty("speed") double speed) {}

    /**
     * A tenant's part of the load, and its budget in tokens a second with its burst; 0 is no limit.
     */
    public record Tenant(
            @JsonProperty("name") String name,
            @JsonProperty("share") double share,
            @JsonProperty("tokens_per_second") double tokensPerSecond,
            @JsonProperty("burst_tokens") double burstTokens) {}

    /** A product by its share of the load. */
    public ProductLoad randomProduct(Random random) {
        double draw = random.nextDouble() * products.stream().mapToDouble(ProductLoad::share).sum();
        for (ProductLoad candidate : products) {
            draw -= candidate.share();
            if (draw <= 0) {
                return candidate;
            }
        }
        return products.get(products.size() - 1);
    }

    /** A tenant by its share of the load. */
    public Tenant randomTenant(Random random) {
        double draw = random.nextDouble() * tenants.stream().mapToDouble(Tenant::share).sum();
        for (Tenant candidate : tenants) {
            draw -= candidate.share();
            if (draw <= 0) {
                return candidate;
            }
        }
        return tenants.get(tenants.size() - 1);
    }

    /** The same script with another seed. */
    public TestScript withSeed(long newSeed) {
        return new TestScript(
                newSeed,
                routers,
                durationMs,
                requestsPerSecond,
                listLagMs,
                probes,
                processes,
                encoding,
                counted,
                tenants,
                engines,
                products,
                batches,
                clients,
                troubles);
    }

    /** The same script with so many times the load and the engines, and so many fronts. */
    public TestScript scaled(double loadFactor, double engineFactor, int routerCount) {
        List<EngineGroup> groups =
                engines.stream()
                        .map(
                                group ->
                                        new EngineGroup(
                                                group.role,
                                                (int) Math.max(1, Math.round(group.count * engineFactor)),
                                                group.zones,
                                                group.racks,
                                                group.speed))
                        .toList();
        return new TestScript(
                seed,
                routerCount,
                durationMs,
                requestsPerSecond * loadFactor,
                listLagMs,
                probes,
                processes,
                encoding,
                counted,
                tenants,
                groups,
                products,
                batches,
                clients,
                troubles);
    }

    /** The same script with other troubles. */
    public TestScript withTroubles(List<Trouble> newTroubles) {
        return new TestScript(
                seed,
                routers,
                durationMs,
                requestsPerSecond,
                listLagMs,
                probes,
                processes,
                encoding,
                counted,
                tenants,
                engines,
                products,
                batches,
                clients,
                newTroubles);
    }

    /** The same script without its batches. */
    public TestScript withoutBatches() {
        return new TestScript(
                seed,
                routers,
                durationMs,
                requestsPerSecond,
                listLagMs,
                probes,
                processes,
                encoding,
                counted,
                tenants,
                engines,
                products,
                List.of(),
                clients,
                troubles);
    }

    /** A product's part of the load. */
    public record ProductLoad(
            @JsonProperty("name") String name,
            @JsonProperty("share") double share,
            @JsonProperty("effect") String effect,
            @JsonProperty("span") String deduplicationScope,
            @JsonProperty("memory_ms") double deduplicationWindowMs,
            @JsonProperty("revenue") double revenue,
            @JsonProperty("slo_ms") double sloMs,
            @JsonProperty("time_limit_ms") double timeLimitMs,
            @JsonProperty("prompt_tokens") int promptTokens,
            @JsonProperty("shared_tokens") int sharedTokens,
            @JsonProperty("prefixes") int prefixes,
            @JsonProperty("output_tokens") int outputTokens,
            @JsonProperty("turns") double turns,
            @JsonProperty("text") String text) {}

    /**
     * A batch of one of the products; what is not done when the drill's time is over is cancelled
     * then.
     */
    public record Batch(
            @JsonProperty("at_ms") double atMs,
            @JsonProperty("lines") int lines,
            @JsonProperty("product") String product,
            @JsonProperty("prompt_tokens") int promptTokens,
            @JsonProperty("output_tokens") int outputTokens) {}

    /** What clients do: shares of all tries. */
    public record ClientBehavior(
            @JsonProperty("retries") int retries,
            @JsonProperty("retry_ms") double retryMs,
            @JsonProperty("leave_share") double disconnectShare,
            @JsonProperty("slow_share") double slowReaderShare,
            @JsonProperty("whole_share") double nonStreamingShare) {}

    /**
     * A trouble: from when, for how long, what, on which engines (ids; fronts, from 1, for
     * kill_front), how strong.
     */
    public record Trouble(
            @JsonProperty("at_ms") double atMs,
            @JsonProperty("for_ms") double forMs,
            @JsonProperty("kind") String kind,
            @JsonProperty("engines") List<Long> engines,
            @JsonProperty("size") double size) {}
}
