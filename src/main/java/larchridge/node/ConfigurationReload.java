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
    private static final double INITIAL_RETRY_DELAY_MS = 100;
    private static final double MAX_RETRY_DELAY_MS = 2000;
    private static final double RETRY_TIMEOUT_MS = 60_000;

    private final Map<String, String> environment;
    private final Scheduler scheduler;

    /** Reloads so far; the retries of an earlier one end when a newer one begins. */
    private int reloadNumber;

    ConfigurationReload(Map<String, String> environment, Scheduler scheduler) {
        this.environment = environment;
        this.scheduler = scheduler;
    }

    /** One reload from its signal to the end of its retries. */
    private record Reload(
            int reloadNumber,
            double deadlineMs,
            DiscoveryClient discovery,
            BooleanSupplier cancelled) {}

    /** Begins a reload, which takes the place of one that is still being retried. */
    void start(DiscoveryClient discovery, BooleanSupplier cancelled) {
        reloadNumber++;
        double deadlineMs = scheduler.nowMs() + RETRY_TIMEOUT_MS;
        tryReload(new Reload(reloadNumber, deadlineMs, discovery, cancelled), INITIAL_RETRY_DELAY_MS);
    }

    private void tryReload(Reload reload, double retryDelayMs) {
        if (reload.reloadNumber != reloadNumber || reload.cancelled.getAsBoolean()) {
            return;
        }
        try {
            NodeConfiguration newConfiguration = NodeConfigurationReader.read(environment);
            LOG.atInfo()
                    .addKeyValue("discovery", newConfiguration.discovery())
                    .log("configuration reloaded");
            reload.discovery.startPolling(newConfiguration.discovery());
        } catch (InvalidNodeConfigurationException e) {
            boolean willRetry = scheduler.nowMs() + retryDelayMs < reload.deadlineMs;
            LOG.atError()
                    .addKeyValue("fault", e.getMessage())
                    .addKeyValue("again", willRetry)
                    .log("the new configuration can't be used; all stays as it was");
            if (willRetry) {
                double nextRetryDelayMs = Math.min(MAX_RETRY_DELAY_MS, 2 * retryDelayMs);
                scheduler.schedule(retryDelayMs, () -> tryReload(reload, nextRetryDelayMs));
            }
        }
    }
}
