package larchridge.audit;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import java.util.EnumMap;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Counts violations by invariant, and logs them with what led there. The process goes on. */
public final class Violations {
    /** The message of each line, by which it is found. */
    public static final String MESSAGE = "invariant violated";

    /** Lines of one invariant; beyond it violations are only counted. */
    private static final int MOST_LINES = 100;

    private static final Logger LOG = LoggerFactory.getLogger(Violations.class);

    private final Map<Invariant, Counter> counters = new EnumMap<>(Invariant.class);
    private final Map<Invariant, Integer> lines = new EnumMap<>(Invariant.class);

    public Violations(MeterRegistry registry) {
        for (Invariant invariant : Invariant.values()) {
            counters.put(
                    invariant,
                    Counter.builder("larchridge_invariant_violations")
                            .tag("invariant", invariant.tag())
                            .register(registry));
        }
    }

    /** A violation; id is the request's, or null, and steps its last transitions, or null. */
    public void count(Invariant invariant, String id, String what, String steps) {
        counters.get(invariant).increment();
        if (lines.merge(invariant, 1, Integer::sum) <= MOST_LINES) {
            LOG.atError()
                    .addKeyValue("invariant", invariant.tag())
                    .addKeyValue("id", id)
                    .addKeyValue("what", what)
                    .addKeyValue("steps", steps)
                    .log(MESSAGE);
        }
    }

    public long count(Invariant invariant) {
        return (long) counters.get(invariant).count();
    }

    /** All violations so far. */
    public long total() {
        return (long) counters.values().stream().mapToDouble(Counter::count).sum();
    }
}
