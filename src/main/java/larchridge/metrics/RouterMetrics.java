package larchridge.metrics;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;
import io.micrometer.core.instrument.binder.jvm.JvmMemoryMetrics;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/**
 * Metrics of one router. A process has one registry and one instance of this class per router,
 * since the meters are cached without locks on the router's loop.
 */
public final class RouterMetrics {
    private static final String ROUTER_TAG = "front";
    private static final double NANOS_PER_MS = 1e6;

    private final MeterRegistry registry;
    private final Map<String, Counter> counters = new HashMap<>();
    private final Map<String, Timer> timers = new HashMap<>();

    /** Looked up only once, since it is incremented for every chunk of text. */
    private Counter textChunks;

    /** Creates metrics whose meters are added to this registry on first use. */
    public RouterMetrics(MeterRegistry registry) {
        this.registry = registry;
    }

    /** Creates the registry of a process, with the memory metrics of its JVM. */
    public static PrometheusMeterRegistry newRegistry() {
        PrometheusMeterRegistry registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
        new JvmMemoryMetrics().bindTo(registry);
        return registry;
    }

    /** Registers the gauges of the token count cache: its size, hits and misses. */
    public static void registerTokenCountCache(
            MeterRegistry registry,
            Supplier<Number> size,
            Supplier<Number> hits,
            Supplier<Number> misses) {
        Gauge.builder("larchridge_counts_kept", size).register(registry);
        Gauge.builder("larchridge_counts_found", hits).register(registry);
        Gauge.builder("larchridge_counts_missed", misses).register(registry);
    }

    /**
     * Registers a router's gauges and its counter of text chunks. Must be called before the first
     * chunk.
     */
    public void registerRouter(
            int router, Supplier<Number> requestsInFlight, Supplier<Number> heldStates) {
        String tag = Integer.toString(router);
        Gauge.builder("larchridge_open_generations", requestsInFlight)
                .tag(ROUTER_TAG, tag)
                .register(registry);
        Gauge.builder("larchridge_held_states", heldStates).tag(ROUTER_TAG, tag).register(registry);
        textChunks =
                Counter.builder("larchridge_pieces")
                        .tag(ROUTER_TAG, tag)
                        .tag("kind", "text")
                        .tag("stage", "write")
                        .register(registry);
    }

    /**
     * A request ended: its final response was sent, or is no longer wanted.
     *
     * @param kind streamed, throttled, terminated, gone, slow_client or over_budget
     * @param elapsedMs the time since the arrival, or NaN if it is not meaningful
     */
    public void requestFinished(int router, String product, String kind, double elapsedMs) {
        increment("larchridge_final_answers", router, "product", product, "kind", kind);
        if (elapsedMs >= 0) {
            recordTime("larchridge_answer_time", router, product, elapsedMs);
        }
    }

    /** A response started this long after the arrival of its request. */
    public void firstTokenReceived(int router, String product, double elapsedMs) {
        recordTime("larchridge_first_token_time", router, product, elapsedMs);
    }

    /** An attempt ended with this outcome. */
    public void attemptEnded(int router, String stage, String outcome) {
        increment("larchridge_attempts", router, "stage", stage, "outcome", outcome);
    }

    /** A chunk of text arrived from an engine. */
    public void textChunkReceived() {
        textChunks.increment();
    }

    /** The router did not admit an exchange; kind is too_many, stopping or ledger. */
    public void exchangeNotAdmitted(int router, String kind) {
        increment("larchridge_turned_away", router, "kind", kind, "stage", "door");
    }

    /** An attempt that the policy requested was not sent. */
    public void attemptNotSent(int router, String reason) {
        increment("larchridge_attempts_not_sent", router, "reason", reason, "stage", "link");
    }

    /**
     * An attempt was a retry or a hedged request; the reason is beside (the previous attempt is in
     * flight), state_lost, or the previous attempt's outcome.
     */
    public void retried(int router, String stage, String reason) {
        increment("larchridge_retries", router, "stage", stage, "reason", reason);
    }

    /** The policy gave up on a generation. */
    public void policyGaveUp(int router, String product, String reason) {
        increment("larchridge_given_up", router, "product", product, "reason", reason);
    }

    /** An attempt was cancelled. */
    public void attemptCancelled(int router, String stage, String reason) {
        increment("larchridge_called_off", router, "stage", stage, "reason", reason);
    }

    /** A server rejected a request instead of submitting it to a router. */
    public void requestRejectedByServer(String reason) {
        increment("larchridge_requests_refused", 0, "reason", reason, "stage", "door");
    }

    /** The routing policy threw an exception. */
    public void policyFailed(int router) {
        increment("larchridge_module_faults", router, "kind", "exception", "stage", "module");
    }

    /** A usage record was lost because the ledger's queue was full. */
    public void usageRecordLost(int router) {
        increment("larchridge_unbilled", router, "kind", "queue_full", "stage", "ledger");
    }

    /** A periodic task ran this long after it was due. */
    public void loopDelay(int router, double delayMs) {
        recordTime("larchridge_loop_delay", router, "", delayMs);
    }

    private void increment(
            String name, int router, String tag, String value, String tag2, String value2) {
        counters.computeIfAbsent(
                        name + '|' + value + '|' + value2,
                        key ->
                                Counter.builder(name)
                                        .tag(ROUTER_TAG, Integer.toString(router))
                                        .tag(tag, value)
                                        .tag(tag2, value2)
                                        .register(registry))
                .increment();
    }

    private void recordTime(String name, int router, String product, double ms) {
        timers.computeIfAbsent(
                        name + '|' + product,
                        key ->
                                Timer.builder(name)
                                        .tag(ROUTER_TAG, Integer.toString(router))
                                        .tag("product", product)
                                        .publishPercentiles(0.5, 0.99, 0.999)
                                        .distributionStatisticExpiry(Duration.ofMinutes(1))
                                        .register(registry))
                .record((long) (ms * NANOS_PER_MS), TimeUnit.NANOSECONDS);
    }
}
