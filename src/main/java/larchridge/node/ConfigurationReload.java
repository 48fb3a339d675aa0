package larchridge.node;

import java.util.Map;
import java.util.function.BooleanSupplier;
import larchridge.node.discovery.DiscoveryClient;
import larchridge.router.Scheduler;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Reads the configuration again and follows discovery at the address in it. A file that can't be
 * used changes nothing. It may be half written, or the call for it failed for want of a descriptor;
 * nobody signals again, and the node would stay at an address that no longer answers. So it is read
 * again, with backoff, until it can be used or a newer reload begins. All on the event loop.
 */
final class ConfigurationReload {
    private static final Logger LOG = LoggerFactory.getLogger(ConfigurationReload.class);
    private static final double INITIAL_PAUSE_MS = 100;
    private static final double MAX_PAUSE_MS = 2000;
    private static final double TIMEOUT_MS = 60_000;

    private final Map<String, String> variables;
    private final Scheduler scheduler;

    /** Reloads so far; the retries of an earlier one end when a newer one begins. */
    private int generation;

    ConfigurationReload(Map<String, String> variables, Scheduler scheduler) {
        this.variables = variables;
        this.scheduler = scheduler;
    }

    /** One reload from its signal to the end of its retries. */
    private record Reload(
            int generation,
            double deadlineMs,
            DiscoveryClient discovery,
            BooleanSupplier cancelled) {}

    /** Begins a reload, which takes the place of one that is still being retried. */
    void begin(DiscoveryClient discovery, BooleanSupplier cancelled) {
        generation++;
        double deadlineMs = scheduler.nowMs() + TIMEOUT_MS;
        attempt(new Reload(generation, deadlineMs, discovery, cancelled), INITIAL_PAUSE_MS);
    }

    private void attempt(Reload reload, double pauseMs) {
        if (reload.generation != generation || reload.cancelled.getAsBoolean()) {
            return;
        }
        try {
            NodeConfiguration changed = NodeConfigurationReader.read(variables);
            LOG.atInfo()
                    .addKeyValue("discovery", changed.discovery())
                    .log("configuration reloaded");
            reload.discovery.follow(changed.discovery());
        } catch (InvalidNodeConfigurationException e) {
            boolean retries = scheduler.nowMs() + pauseMs < reload.deadlineMs;
            LOG.atError()
                    .addKeyValue("fault", e.getMessage())
                    .addKeyValue("again", retries)
                    .log("the new configuration can't be used; all stays as it was");
            if (retries) {
                double nextPauseMs = Math.min(MAX_PAUSE_MS, 2 * pauseMs);
                scheduler.schedule(pauseMs, () -> attempt(reload, nextPauseMs));
            }
        }
    }
}
