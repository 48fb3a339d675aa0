package larchridge.audit;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import java.util.EnumMap;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Counts violations by invariant and logs them with what led there. The process goes on. */
public final class Violations {
    /** The message of each log line, by which it is found. */
    public static final String MESSAGE = "invariant violated";

    /** Log lines of one invariant; beyond it violations are only counted. */
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

    /** Reports a violation that belongs to no request. */
    public void report(Invariant invariant, String problem) {
        report(invariant, null, problem, null);
    }

    /**
     * Reports a violation.
     *
     * @param requestId the request, or null
     * @param transitions the request's last transitions, or null
     */
    public void report(Invariant invariant, String requestId, String problem, String transitions) {
        counters.get(invariant).increment();
        if (logLines.merge(invariant, 1, Integer::sum) <= MAX_LOG_LINES_PER_INVARIANT) {
            LOG.atError()
                    .addKeyValue("invariant", invariant.tag())
                    .addKeyValue("id", requestId)
                    .addKeyValue("what", problem)
                    .addKeyValue("steps", transitions)
                    .log(MESSAGE);
        }
    }

    /** The violations of one invariant so far. */
    public long count(Invariant invariant) {
        return (long) counters.get(invariant).count();
    }

    /** All violations so far. */
    public long total() {
        return (long) counters.values().stream().mapToDouble(Counter::count).sum();
    }
}
