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
 * The figures that operators see; one registry a process, one of these a front (its caches are the
 * loop's own).
 */
public final class RouterMetrics {
    private final MeterRegistry registry;
    private final Map<String, Counter> counters = new HashMap<>();
    private final Map<String, Timer> timers = new HashMap<>();

    /** Counted for every token: found once. */
    private Counter pieces;

    public RouterMetrics(MeterRegistry registry) {
        this.registry = registry;
    }

    /** The registry of one process, with the memory of its Java machine. */
    public static PrometheusMeterRegistry registry() {
        PrometheusMeterRegistry registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
        new JvmMemoryMetrics().bindTo(registry);
        return registry;
    }

    /** The counts that the fronts of a process keep, and how often one was found. */
    public static void counts(
            MeterRegistry registry,
            Supplier<Number> kept,
            Supplier<Number> found,
            Supplier<Number> missed) {
        Gauge.builder("larchridge_counts_kept", kept).register(registry);
        Gauge.builder("larchridge_counts_found", found).register(registry);
        Gauge.builder("larchridge_counts_missed", missed).register(registry);
    }

    public void front(int number, Supplier<Number> open, Supplier<Number> held) {
        String front = Integer.toString(number);
        Gauge.builder("larchridge_open_generations", open).tag("front", front).register(registry);
        Gauge.builder("larchridge_held_states", held).tag("front", front).register(registry);
        pieces =
                Counter.builder("larchridge_pieces")
                        .tag("front", front)
                        .tag("kind", "text")
                        .tag("stage", "write")
                        .register(registry);
    }

    /**
     * A final answer; kind is streamed, throttled, terminated, gone, slow_client or over_budget.
     */
    public void answered(int front, String product, String kind, double ms) {
        count("larchridge_final_answers", front, "product", product, "kind", kind);
        if (ms >= 0) {
            time("larchridge_answer_time", front, product, ms);
        }
    }

    public void firstToken(int front, String product, double ms) {
        time("larchridge_first_token_time", front, product, ms);
    }

    public void attempt(int front, String stage, String outcome) {
        count("larchridge_attempts", front, "stage", stage, "outcome", outcome);
    }

    public void piece() {
        pieces.increment();
    }

    /** Kind is too_many, stopping or ledger. */
    public void turnedAway(int front, String kind) {
        count("larchridge_turned_away", front, "kind", kind, "stage", "door");
    }

    /** An attempt that was decided was not written. */
    public void notSent(int front, String reason) {
        count("larchridge_attempts_not_sent", front, "reason", reason, "stage", "link");
    }

    /** A further attempt of a generation; why tells what became of the one before. */
    public void retried(int front, String stage, String why) {
        count("larchridge_retries", front, "stage", stage, "reason", why);
    }

    /** A generation was given up. */
    public void givenUp(int front, String product, String reason) {
        count("larchridge_given_up", front, "product", product, "reason", reason);
    }

    /** An attempt was called off. */
    public void calledOff(int front, String stage, String reason) {
        count("larchridge_called_off", front, "stage", stage, "reason", reason);
    }

    /** A request was refused before it was taken. */
    public void refused(String reason) {
        count("larchridge_requests_refused", 0, "reason", reason, "stage", "door");
    }

    public void fault(int front) {
        count("larchridge_module_faults", front, "kind", "exception", "stage", "module");
    }

    public void unbilled(int front) {
        count("larchridge_unbilled", front, "kind", "queue_full", "stage", "ledger");
    }

    public void loopDelay(int front, double ms) {
        time("larchridge_loop_delay", front, "", ms);
    }

    private void count(
            String name, int front, String tag, String value, String tag2, String value2) {
        counters.computeIfAbsent(
                        name + '|' + value + '|' + value2,
                        key ->
                                Counter.builder(name)
                                        .tag("front", Integer.toString(front))
                                        .tag(tag, value)
                                        .tag(tag2, value2)
                                        .register(registry))
                .increment();
    }

    private void time(String name, int front, String product, double ms) {
        timers.computeIfAbsent(
                        name + '|' + product,
                        key ->
                                Timer.builder(name)
                                        .tag("front", Integer.toString(front))
                                        .tag("product", product)
                                        .publishPercentiles(0.5, 0.99, 0.999)
                                        .distributionStatisticExpiry(Duration.ofMinutes(1))
                                        .register(registry))
                .record((long) (ms * 1e6), TimeUnit.NANOSECONDS);
    }
}
