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
import larchridge.node.server.HttpServer;
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
 * A node's figures and run-time checks: what no side can see alone, and the last counts at the end
 * of the process.
 */
final class NodeAudit {
    private static final double CHECK_MS = 500;
    private static final double COUNTS_MS = 2000;
    private static final Logger LOG = LoggerFactory.getLogger(NodeAudit.class);

    private final SimpleMeterRegistry registry = new SimpleMeterRegistry();
    private final Violations violations;
    private final RequestAudit requests;

    NodeAudit(Scheduler ground, DeploymentSettings given) {
        registry.config().meterFilter(new WithoutPercentiles());
        violations = new Violations(registry);
        AuditSettings terms =
                new AuditSettings(
                        given.drainGraceMs(),
                        given.releaseMs(),
                        given.routing().slowStartMs(),
                        given.routing().slowStartShare(),
                        given.routing().overloadMultiple(),
                        given.routing().overloadMs(),
                        given.routing().hedgingAllowed());
        requests = new RequestAudit(terms, ground::nowMs, violations, new CloseCounters(registry));
        ground.scheduleAtFixedDelay(CHECK_MS, requests::check);
    }

    /** Percentiles over time take memory that a node does not have. */
    private static final class WithoutPercentiles implements MeterFilter {
        @Override
        public DistributionStatisticConfig configure(
                Meter.Id id, DistributionStatisticConfig config) {
            return DistributionStatisticConfig.builder()
                    .percentiles(new double[0])
                    .build()
                    .merge(config);
        }
    }

    RouterMetrics meters() {
        return new RouterMetrics(registry);
    }

    RequestEvents events() {
        return requests;
    }

    long violationsSoFar() {
        return violations.total();
    }

    /** The newest list of engines. */
    void listed(List<EngineEntry> rows) {
        Map<Endpoint, AuditedEngine> engines = new HashMap<>();
        for (EngineEntry row : rows) {
            engines.put(
                    new Endpoint(row.host(), row.port()),
                    new AuditedEngine(
                            row.state() == EndpointState.READY,
                            row.role(),
                            row.zone(),
                            row.rack(),
                            row.capacityUnits() > 0 ? row.capacityUnits() : 1,
                            row.startMs()));
        }
        requests.endpointsChanged(engines);
    }

    /** Looks now and then whether the module and the link count the same attempts. */
    void compareCounts(Scheduler ground, Router front, ForwardingUpstreamClient link) {
        ground.scheduleAtFixedDelay(
                COUNTS_MS,
                () ->
                        front.forEachEngine(
                                (endpoint, engine) -> {
                                    int module = engine.attempts().size();
                                    int own = link.inFlightAttempts(endpoint);
                                    if (module != own) {
                                        violations.count(
                                                Invariant.COUNTS_AGREE,
                                                null,
                                                endpoint
                                                        + ": "
                                                        + module
                                                        + " attempts by the module, "
                                                        + own
                                                        + " by the link",
                                                null);
                                    }
                                }));
    }

    /** At the end of the process nothing may be left. */
    void atEnd(Router front, ForwardingUpstreamClient link, HttpServer door) {
        Map<String, Long> left = new TreeMap<>();
        left.put("generations", (long) front.generationsInFlight());
        left.put("requests of the link", (long) link.openRequests());
        left.put("ids", (long) door.openRequestCount());
        left.put("bytes of bodies", door.bufferedBodyBytes());
        left.put("requests audited", (long) requests.openRequests());
        left.values().removeIf(count -> count == 0);
        if (!left.isEmpty()) {
            violations.count(Invariant.ALL_GIVEN_BACK, null, "left at the end: " + left, null);
        }
        logCounts();
    }

    private void logCounts() {
        Map<String, Long> counts = new TreeMap<>();
        for (Meter meter : registry.getMeters()) {
            if (meter instanceof Counter counter && counter.count() > 0) {
                counts.put(name(meter.getId()), (long) counter.count());
            }
        }
        LoggingEventBuilder line = LOG.atInfo();
        for (Map.Entry<String, Long> count : counts.entrySet()) {
            line = line.addKeyValue(count.getKey(), count.getValue());
        }
        line.log("last counts");
    }

    private static String name(Meter.Id id) {
        StringBuilder name = new StringBuilder(id.getName());
        for (Tag tag : id.getTags()) {
            if (!tag.getKey().equals("front")) {
                name.append('.').append(tag.getValue());
            }
        }
        return name.toString();
    }
}
