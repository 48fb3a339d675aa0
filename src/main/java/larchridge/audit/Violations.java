package larchridge.audit;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import java.util.EnumMap;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Counts violations by invariant, and logs each with the request's events that led to it. The
 * process continues.
 */
public final class Violations {
    /** Message of each log line, by which tools find it. */
    public static final String MESSAGE = "invariant violated";

    /** Maximum number of log lines per invariant; further violations are only counted. */
    private static final int MAX_LOG_LINES_PER_INVARIANT = 100;

    private static final Logger LOG = LoggerFactory.getLogger(Violations.class);

    private final Map<Invariant, Counter> counters = new EnumMap<>(Invariant.class);
    private final Map<Invariant, Integer> logLines = new EnumMap<>(Invariant.class);

    /** Registers a counter for each invariant. */
    public Violations(MeterRegistry registry) {
        for (Invariant invariant : Invariant.values()) {
            counters.put(
                    invariant,
                    Counter.builder("larchridge_invariant_violations")
                            .tag("invariant", invariant.tag())
                            .register(registry));
        }
    }

    /** Reports a violation that is not related to a request. */
    public void report(Invariant invariant, String problem) {
        report(invariant, null, problem, null);
    }

    /**
     * Reports a violation.
     *
     * @param requestId the request, or null
     * @param recentEvents the request's most recent events, or null
     */
    public void report(Invariant invariant, String requestId, String problem, String recentEvents) {
        counters.get(invariant).increment();
        if (logLines.merge(invariant, 1, Integer::sum) <= MAX_LOG_LINES_PER_INVARIANT) {
            LOG.atError()
                    .addKeyValue("invariant", invariant.tag())
                    .addKeyValue("id", requestId)
                    .addKeyValue("what", problem)
                    .addKeyValue("steps", recentEvents)
                    .log(MESSAGE);
        }
    }

    /** Number of violations of one invariant so far. */
    public long count(Invariant invariant) {
        return (long) counters.get(invariant).count();
    }

    /** Number of violations of all invariants so far. */
    public long total() {
        return (long) counters.values().stream().mapToDouble(Counter::count).sum();
    }
}
