package larchridge.node;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.Meter;
import io.micrometer.core.instrument.Tag;
import io.micrometer.core.instrument.config.MeterFilter;
import io.micrometer.core.instrument.distribution.DistributionStatisticConfig;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import larchridge.audit.AuditSettings;
import larchridge.audit.AuditedEngine;
import larchridge.audit.CloseCounters;
import larchridge.audit.Invariant;
import larchridge.audit.RequestAudit;
import larchridge.audit.RequestEvents;
import larchridge.audit.Violations;
import larchridge.inventory.EngineEntry;
import larchridge.metrics.RouterMetrics;
import larchridge.node.upstream.ForwardingUpstreamClient;
import larchridge.router.Router;
import larchridge.router.Scheduler;
import larchridge.settings.DeploymentSettings;
import larchridge.state.EndpointState;
import larchridge.upstream.Endpoint;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.spi.LoggingEventBuilder;

/**
 * Owns a node's metrics registry and request audit, compares the counts of its components, and logs
 * the final counts at the end of the process.
 */
final class NodeAudit {
    private static final Logger LOG = LoggerFactory.getLogger(NodeAudit.class);
    private static final double REQUESTS_CHECK_INTERVAL_MS = 500;
    private static final double COUNTS_CHECK_INTERVAL_MS = 2000;

    /** A tag that has the same value in all counters of a process; it is left out of the log. */
    private static final String ROUTER_TAG = "front";

    private final SimpleMeterRegistry registry = new SimpleMeterRegistry();
    private final Violations violations;
    private final RequestAudit requestAudit;

    NodeAudit(Scheduler scheduler, DeploymentSettings settings) {
        registry.config().meterFilter(new PercentileDisablingFilter());
        violations = new Violations(registry);
        AuditSettings auditSettings =
                new AuditSettings(
                        settings.drainGraceMs(),
                        settings.maxStateHoldMs(),
                        settings.routing().slowStartMs(),
                        settings.routing().slowStartShare(),
                        settings.routing().overloadMultiple(),
                        settings.routing().overloadMs(),
                        settings.routing().hedgingAllowed());
        requestAudit =
                new RequestAudit(
                        auditSettings, scheduler::nowMs, violations, new CloseCounters(registry));
        scheduler.scheduleAtFixedDelay(REQUESTS_CHECK_INTERVAL_MS, requestAudit::check);
    }

    /** Disables percentiles: their histograms need memory that a node does not have. */
    private static final class PercentileDisablingFilter implements MeterFilter {
        @Override
        public DistributionStatisticConfig configure(
                Meter.Id id, DistributionStatisticConfig config) {
            return DistributionStatisticConfig.builder()
                    .percentiles(new double[0])
                    .build()
                    .merge(config);
        }
    }

    /** Creates router metrics in this node's registry. */
    RouterMetrics newRouterMetrics() {
        return new RouterMetrics(registry);
    }

    /** The listener to which connections report the events of their sockets. */
    RequestEvents events() {
        return requestAudit;
    }

    /** Number of invariant violations so far; callable from any thread. */
    long violations() {
        return violations.total();
    }

    /** Passes a changed endpoint list to the audit of requests. */
    void endpointsChanged(List<EngineEntry> entries) {
        Map<Endpoint, AuditedEngine> engines = new HashMap<>();
        for (EngineEntry entry : entries) {
            engines.put(
                    new Endpoint(entry.host(), entry.port()),
                    new AuditedEngine(
                            entry.state() == EndpointState.READY,
                            entry.role(),
                            entry.zone(),
                            entry.rack(),
                            entry.capacityUnits() > 0 ? entry.capacityUnits() : 1,
                            entry.startMs()));
        }
        requestAudit.endpointsChanged(engines);
    }

    /**
     * Schedules a periodic check that the policy and the upstream client count the same attempts.
     */
    void scheduleAttemptCountCheck(
            Scheduler scheduler, Router router, ForwardingUpstreamClient upstream) {
        scheduler.scheduleAtFixedDelay(
                COUNTS_CHECK_INTERVAL_MS,
                () ->
                        router.forEachEngine(
                                (endpoint, engine) ->
                                        checkAttemptCounts(
                                                endpoint,
                                                engine.attempts().size(),
                                                upstream.inFlightAttempts(endpoint))));
    }

    private void checkAttemptCounts(Endpoint endpoint, int policyCount, int upstreamCount) {
        if (policyCount != upstreamCount) {
            violations.report(
                    Invariant.ATTEMPT_COUNTS_AGREE,
                    endpoint
                            + ": "
                            + policyCount
                            + " attempts counted by the policy, "
                            + upstreamCount
                            + " by the upstream client");
        }
    }

    /**
     * Checks that nothing is left unreleased at the end of the process, and logs the final counts.
     */
    void checkAtShutdown(NodeComponents components) {
        Map<String, Long> unreleased = new TreeMap<>();
        unreleased.put("generations", (long) components.router().generationsInFlight());
        unreleased.put("upstream requests", (long) components.upstream().trackedRequestCount());
        unreleased.put("ids", (long) components.server().openRequestCount());
        unreleased.put("request bytes", components.server().reservedRequestBytes());
        unreleased.put("audited requests", (long) requestAudit.openRequests());
        unreleased.values().removeIf(count -> count == 0);
        if (!unreleased.isEmpty()) {
            violations.report(
                    Invariant.RESOURCES_RELEASED, "not released at shutdown: " + unreleased);
        }
        logCounts();
    }

    private void logCounts() {
        Map<String, Long> counts = new TreeMap<>();
        for (Meter meter : registry.getMeters()) {
            if (meter instanceof Counter counter && counter.count() > 0) {
                counts.put(logKey(meter.getId()), (long) counter.count());
            }
        }
        LoggingEventBuilder line = LOG.atInfo();
        for (Map.Entry<String, Long> count : counts.entrySet()) {
            line = line.addKeyValue(count.getKey(), count.getValue());
        }
        line.log("final counts");
    }

    private static String logKey(Meter.Id id) {
        StringBuilder key = new StringBuilder(id.getName());
        for (Tag tag : id.getTags()) {
            if (!tag.getKey().equals(ROUTER_TAG)) {
                key.append('.').append(tag.getValue());
            }
        }
        return key.toString();
    }
}
