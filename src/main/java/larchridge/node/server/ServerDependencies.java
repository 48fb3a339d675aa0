package larchridge.node.server;

import java.util.Collection;
import larchridge.audit.RequestEvents;
import larchridge.metrics.RouterMetrics;
import larchridge.router.Router;
import larchridge.router.Scheduler;
import larchridge.site.Site;
import larchridge.state.TrafficClass;

/**
 * The dependencies of an {@link HttpServer}.
 *
 * @param scheduler the event loop's clock and timers
 * @param router serves the generations
 * @param site the limits and the tenants; all clients of a node belong to its default tenant
 * @param trafficClasses the classes that requests may name
 * @param limits limits on connections, bodies and times
 * @param events is notified of events of requests and connections
 * @param metrics counts rejected requests
 */
public record ServerDependencies(
        Scheduler scheduler,
        Router router,
        Site site,
        Collection<TrafficClass> trafficClasses,
        ServerLimits limits,
        RequestEvents events,
        RouterMetrics metrics) {}
