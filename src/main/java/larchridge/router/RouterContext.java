package larchridge.router;

import java.util.LinkedHashMap;
import java.util.Map;
import larchridge.metrics.RouterMetrics;
import larchridge.site.Site;
import larchridge.state.Generation;
import larchridge.upstream.UpstreamClient;

/**
 * State shared by the components of one router: its scheduler, settings, metrics, upstream client
 * and requests in flight. Used on the router's loop only.
 */
final class RouterContext {
    final Scheduler scheduler;
    final Site site;
    final int routerNumber;
    final UpstreamClient upstream;
    final RouterMetrics metrics;
    final LatencyTracker latencyTracker = new LatencyTracker();

    /**
     * The requests in flight in the order of their admission. A request is removed once it has its
     * final response and all its attempts have ended.
     */
    final Map<Generation, InFlightRequest> requests = new LinkedHashMap<>();

    private double nowMs;

    RouterContext(
            Scheduler scheduler,
            Site site,
            int routerNumber,
            UpstreamClient upstream,
            RouterMetrics metrics) {
        this.scheduler = scheduler;
        this.site = site;
        this.routerNumber = routerNumber;
        this.upstream = upstream;
        this.metrics = metrics;
    }

    /** The time of the event being handled. */
    double nowMs() {
        return nowMs;
    }

    /**
     * Reads the clock, once per event: the time does not change while the policy handles an event.
     */
    void updateClock() {
        nowMs = scheduler.nowMs();
    }
}
