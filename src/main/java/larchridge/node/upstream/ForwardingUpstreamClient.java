package larchridge.node.upstream;

import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.EventLoop;
import java.util.List;
import larchridge.audit.RequestEvents;
import larchridge.node.transport.MemoryBudget;
import larchridge.router.Scheduler;
import larchridge.upstream.AttemptListener;
import larchridge.upstream.AttemptRequest;
import larchridge.upstream.Endpoint;
import larchridge.upstream.UpstreamClient;

/**
 * Client for engines that speak the same protocol as the router's clients: requests and events are
 * forwarded unchanged. Engines identify a read state by the request id, so one release covers all
 * attempts of a request and is normally delayed until no attempt can fetch the state; see {@link
 * StateReleaser}. All methods run on the event loop.
 */
public final class ForwardingUpstreamClient implements UpstreamClient {
    /** Separates the request id from the attempt number in an attempt id. */
    private static final char ATTEMPT_NUMBER_SEPARATOR = '.';

    private final ConnectionPools pools;
    private final StateReleaser releaser;
    private final UpstreamContext context;

    /** Creates a client that connects over TCP. */
    public ForwardingUpstreamClient(
            EventLoop loop,
            Scheduler scheduler,
            ByteBufAllocator allocator,
            UpstreamSettings settings,
            RequestEvents requestEvents) {
        this(
                scheduler,
                settings,
                new SocketConnectionOpener(loop, allocator, settings),
                requestEvents);
    }

    /** Creates a client that uses the given opener and reports no events. */
    public ForwardingUpstreamClient(
            Scheduler scheduler, UpstreamSettings settings, ConnectionOpener opener) {
        this(scheduler, settings, opener, RequestEvents.NO_OP);
    }

    /** Creates a client that uses the given opener. */
    public ForwardingUpstreamClient(
            Scheduler scheduler,
            UpstreamSettings settings,
            ConnectionOpener opener,
            RequestEvents requestEvents) {
        pools = new ConnectionPools(scheduler, settings, opener, requestEvents);
        releaser =
                new StateReleaser(
                        scheduler,
                        settings.stateHoldMs(),
                        new PooledReleaseTransport(scheduler, pools, requestEvents));
        context =
                new UpstreamContext(
                        scheduler,
                        pools,
                        new ConfiguredLoadReportParser(settings.loadReportFields()),
                        releaser,
                        requestEvents,
                        new MemoryBudget(settings.maxEventBytes()));
    }

    /**
     * Sets the current engine endpoints. If the engine that holds a state does not answer a
     * release, the release is sent to other engines of this list.
     */
    public void updateEndpoints(List<Endpoint> current) {
        pools.updateEndpoints(current);
    }

    /** Returns the number of in-flight attempts at an engine, to check the policy's count. */
    public int inFlightAttempts(Endpoint endpoint) {
        ConnectionPool pool = pools.existingPool(endpoint);
        return pool == null ? 0 : pool.inFlightAttempts();
    }

    /** Returns the number of connections to an engine: opening, in use and idle. */
    public int connectionCount(Endpoint endpoint) {
        ConnectionPool pool = pools.existingPool(endpoint);
        return pool == null ? 0 : pool.size();
    }

    @Override
    public boolean hasPendingReleases() {
        return releaser.hasPendingReleases();
    }

    /** Returns the number of requests with an in-flight attempt or a state to release. */
    public int trackedRequestCount() {
        return releaser.trackedRequestCount();
    }

    @Override
    public AttemptHandle read(AttemptRequest attemptRequest, AttemptListener listener) {
        return startAttempt(attemptRequest, listener, AttemptKind.READ);
    }

    @Override
    public AttemptHandle write(AttemptRequest attemptRequest, AttemptListener listener) {
        return startAttempt(attemptRequest, listener, AttemptKind.WRITE);
    }

    private AttemptHandle startAttempt(
            AttemptRequest attemptRequest, AttemptListener listener, AttemptKind kind) {
        ForwardedAttempt attempt = new ForwardedAttempt(context, attemptRequest, listener, kind);
        attempt.start();
        return attempt;
    }

    @Override
    public void release(Endpoint endpoint, String attemptId) {
        String requestId = attemptId.substring(0, attemptId.lastIndexOf(ATTEMPT_NUMBER_SEPARATOR));
        releaser.requestRelease(requestId, endpoint);
    }

    @Override
    public void probe(Endpoint endpoint, ProbeListener listener) {
        new LoadProbe(context, endpoint, listener).start(pools.settings().connectTimeoutMs());
    }

    @Override
    public void close() {
        pools.closeAll();
    }
}
