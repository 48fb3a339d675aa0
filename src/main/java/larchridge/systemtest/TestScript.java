package larchridge.systemtest;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;
import java.util.Random;

/**
 * A system test: engines, load and faults over time, in milliseconds from the start. Fields that a
 * file omits have the defaults of {@link TestScriptReader}. Engines count tokens with the encoding,
 * or four characters per token without one; routers also count with it if {@code counted} is set,
 * and otherwise estimate from the number of bytes.
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
        @JsonProperty("troubles") List<Trouble> faults) {

    /** A number of engines of one role, spread over the zones and in each zone over its racks. */
    public record EngineGroup(
            @JsonProperty("role") String role,
            @JsonProperty("count") int count,
            @JsonProperty("zones") List<String> zones,
            @JsonProperty("racks") int racks,
            @JsonProperty("speed") double speed) {}

    /**
     * A tenant's share of the load, and its budget in tokens per second with a burst; 0 is no
     * limit.
     */
    public record Tenant(
            @JsonProperty("name") String name,
            @JsonProperty("share") double share,
            @JsonProperty("tokens_per_second") double tokensPerSecond,
            @JsonProperty("burst_tokens") double burstTokens) {}

    /** Returns a random product, weighted by share of the load. */
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

    /** Returns a random tenant, weighted by share of the load. */
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

    /** Returns this script with another seed. */
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
                faults);
    }

    /** Returns this script with load and engines multiplied and another number of routers. */
    public TestScript scaled(double loadFactor, double engineFactor, int routerCount) {
        List<EngineGroup> groups =
                engines.stream()
                        .map(
                                group ->
                                        new EngineGroup(
                                                group.role,
                                                (int)
                                                        Math.max(
                                                                1,
                                                                Math.round(
                                                                        group.count
                                                                                * engineFactor)),
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
                faults);
    }

    /** Returns this script with other faults. */
    public TestScript withFaults(List<Trouble> newFaults) {
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
                newFaults);
    }

    /** Returns this script without its batches. */
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
                faults);
    }

    /** A product and its share of the load. */
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
     * A batch of lines of one product; lines not finished at the end of the script are cancelled.
     */
    public record Batch(
            @JsonProperty("at_ms") double atMs,
            @JsonProperty("lines") int lines,
            @JsonProperty("product") String product,
            @JsonProperty("prompt_tokens") int promptTokens,
            @JsonProperty("output_tokens") int outputTokens) {}

    /** How clients behave; the shares are of all tries. */
    public record ClientBehavior(
            @JsonProperty("retries") int retries,
            @JsonProperty("retry_ms") double retryMs,
            @JsonProperty("leave_share") double disconnectShare,
            @JsonProperty("slow_share") double slowReaderShare,
            @JsonProperty("whole_share") double nonStreamingShare) {}

    /**
     * An injected fault.
     *
     * @param engines ids of the engines, or for kill_front the numbers of the routers, from 1
     * @param size strength of the fault; its meaning depends on the kind
     */
    public record Trouble(
            @JsonProperty("at_ms") double atMs,
            @JsonProperty("for_ms") double forMs,
            @JsonProperty("kind") String kind,
            @JsonProperty("engines") List<Long> engines,
            @JsonProperty("size") double size) {}
}
