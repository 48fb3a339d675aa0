package larchridge.router;

import java.util.LinkedHashMap;
import java.util.Map;
import larchridge.metrics.RouterMetrics;
import larchridge.site.Site;
import larchridge.state.Generation;
import larchridge.upstream.UpstreamClient;

/**
 * What the parts of one router share: its scheduler, settings, metrics, engines' client and
 * requests in flight. Used on the router's loop only.
 */
final class RouterContext {
    final Scheduler scheduler;
    final Site site;
    final int routerNumber;
    final UpstreamClient upstream;
    final RouterMetrics metrics;
    final LatencyTracker latencyTracker = new LatencyTracker();

    /**
     * The requests in flight in the order of their admission; a request leaves once it has its
     * final answer and all its attempts have ended.
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

    /** The time of the event that is being handled. */
    double nowMs() {
        return nowMs;
    }

    /** Reads the clock, once per event: time stands still while the policy handles the event. */
    void updateClock() {
        nowMs = scheduler.nowMs();
    }
}
