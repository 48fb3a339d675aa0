package larchridge.node.upstream;

import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.EventLoop;
import java.util.List;
import larchridge.audit.RequestEvents;
import larchridge.router.Scheduler;
import larchridge.upstream.AttemptListener;
import larchridge.upstream.AttemptRequest;
import larchridge.upstream.Endpoint;
import larchridge.upstream.UpstreamClient;

/**
 * Engines that speak the clients' own protocol: requests are forwarded as they came, and events are
 * returned as they are. A read state belongs to the request's id at whichever engine, so that it is
 * released once for all of a request's attempts, and only while no attempt may still fetch it. All
 * methods run on the loop.
 */
public final class ForwardingUpstreamClient implements UpstreamClient {
    /** Separates a request's id from an attempt's number in an attempt's id. */
    private static final char ATTEMPT_NUMBER_SEPARATOR = '.';

    private final ConnectionPools pools;
    private final StateReleaser releaser;
    private final UpstreamContext context;

    /** A client over sockets. */
    public ForwardingUpstreamClient(
            EventLoop loop,
            Scheduler scheduler,
            ByteBufAllocator allocator,
            UpstreamLimits limits,
            RequestEvents events) {
        this(scheduler, limits, new SocketConnectionOpener(loop, allocator, limits), events);
    }

    /** A client whose connections are opened otherwise. */
    public ForwardingUpstreamClient(
            Scheduler scheduler, UpstreamLimits limits, ConnectionOpener opener) {
        this(scheduler, limits, opener, RequestEvents.NO_OP);
    }

    /** A client whose connections are opened otherwise, and whose events are observed. */
    public ForwardingUpstreamClient(
            Scheduler scheduler,
            UpstreamLimits limits,
            ConnectionOpener opener,
            RequestEvents events) {
        pools = new ConnectionPools(scheduler, limits, opener, events);
        releaser =
                new StateReleaser(
                        scheduler,
                        limits.stateHoldMs(),
                        new PooledReleaseTransport(scheduler, pools, events));
        context =
                new UpstreamContext(
                        scheduler,
                        pools,
                        new LoadReportReader(limits.loadReportFields()),
                        releaser,
                        events);
    }

    /**
     * Replaces the list of current engines; a release that its holder does not take goes to another
     * of them.
     */
    public void updateEndpoints(List<Endpoint> current) {
        pools.updateEndpoints(current);
    }

    /** Attempts in flight at an engine, to compare with the policy's count. */
    public int inFlightAttempts(Endpoint endpoint) {
        ConnectionPool pool = pools.existingPool(endpoint);
        return pool == null ? 0 : pool.inFlightAttempts();
    }

    /** Connections to an engine: opening, in use and idle. */
    public int connectionCount(Endpoint endpoint) {
        ConnectionPool pool = pools.existingPool(endpoint);
        return pool == null ? 0 : pool.size();
    }

    @Override
    public boolean hasPendingReleases() {
        return releaser.hasPendingReleases();
    }

    /** Requests with an attempt in flight or a state to release. */
    public int openRequests() {
        return releaser.openRequests();
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
        releaser.release(requestId, endpoint);
    }

    @Override
    public void probe(Endpoint endpoint, ProbeListener listener) {
        new LoadProbe(context, endpoint, listener).start(pools.limits().connectTimeoutMs());
    }

    @Override
    public void close() {
        pools.closeAll();
    }
}
