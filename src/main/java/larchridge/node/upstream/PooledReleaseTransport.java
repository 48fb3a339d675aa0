package larchridge.node.upstream;

import io.netty.handler.codec.http.HttpMethod;
import java.util.Set;
import java.util.function.Consumer;
import larchridge.audit.RequestEvents;
import larchridge.router.Scheduler;
import larchridge.upstream.Endpoint;

/** Sends releases over pooled connections and chooses the engines to which they are sent. */
final class PooledReleaseTransport implements StateReleaser.Transport {
    private static final String TARGET_PREFIX = "/v1/holds/";

    private final Scheduler scheduler;
    private final ConnectionPools pools;
    private final RequestEvents requestEvents;

    PooledReleaseTransport(
            Scheduler scheduler, ConnectionPools pools, RequestEvents requestEvents) {
        this.scheduler = scheduler;
        this.pools = pools;
        this.requestEvents = requestEvents;
    }

    @Override
    public void release(
            Endpoint endpoint,
            String requestId,
            double timeoutMs,
            Consumer<ControlCallResult> listener) {
        new ReleaseCall(endpoint, requestId, listener).start(timeoutMs);
    }

    /**
     * Returns the holder if it is in the endpoint list and was not tried yet, else another engine
     * that was not tried: those with an idle connection before those without, and within each group
     * the one that responded most recently. Guards against: connecting could take the whole
     * remaining time, and engines that have become unreachable would use up the tries.
     */
    @Override
    public Endpoint nextEndpoint(Endpoint holder, Set<Endpoint> tried) {
        Endpoint best = null;
        boolean bestHasIdle = false;
        double bestReceivedMs = Double.NEGATIVE_INFINITY;
        for (Endpoint endpoint : pools.endpoints()) {
            if (tried.contains(endpoint)) {
                continue;
            }
            if (endpoint.equals(holder)) {
                return endpoint;
            }
            ConnectionPool pool = pools.existingPool(endpoint);
            boolean hasIdle = pool != null && pool.isNewestIdleOpen();
            double receivedMs = pool == null ? Double.NEGATIVE_INFINITY : pool.lastReceivedMs();
            if (best == null
                    || (hasIdle && !bestHasIdle)
                    || (hasIdle == bestHasIdle && receivedMs > bestReceivedMs)) {
                best = endpoint;
                bestHasIdle = hasIdle;
                bestReceivedMs = receivedMs;
            }
        }
        return best;
    }

    /** Sends a release of all states of a request to one engine. */
    private final class ReleaseCall extends ControlCall {
        private final String requestId;
        private final Consumer<ControlCallResult> listener;

        ReleaseCall(Endpoint endpoint, String requestId, Consumer<ControlCallResult> listener) {
            super(scheduler, pools, endpoint);
            this.requestId = requestId;
            this.listener = listener;
        }

        @Override
        HttpMethod method() {
            return HttpMethod.DELETE;
        }

        @Override
        String target() {
            return TARGET_PREFIX + requestId;
        }

        @Override
        void completed(ControlCallResult result) {
            if (result == ControlCallResult.ANSWERED) {
                requestEvents.stateReleased(requestId);
            }
            listener.accept(result);
        }
    }
}
