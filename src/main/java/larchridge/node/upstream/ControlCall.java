package larchridge.node.upstream;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import larchridge.node.transport.ConnectFailure;
import larchridge.router.Scheduler;
import larchridge.upstream.Endpoint;

/**
 * A request that this node itself makes to an engine: a probe or a release. It has no body, a small
 * response and a timeout.
 */
abstract class ControlCall implements UpstreamExchange {
    private final Scheduler scheduler;
    private final ConnectionPools pools;
    private final Endpoint endpoint;
    private final BoundedBody body = new BoundedBody();
    private int status;
    private UpstreamConnection connection;
    private boolean ended;
    private long timeoutTimer;

    ControlCall(Scheduler scheduler, ConnectionPools pools, Endpoint endpoint) {
        this.scheduler = scheduler;
        this.pools = pools;
        this.endpoint = endpoint;
    }

    /** Returns the HTTP method. */
    abstract HttpMethod method();

    /** Returns the request path. */
    abstract String target();

    /** Called once with the result, never from within {@link #start}. */
    abstract void completed(ControlCallResult result);

    /** Sends the request; it ends at the latest after the timeout. */
    final void start(double timeoutMs) {
        timeoutTimer = scheduler.schedule(timeoutMs, this::timedOut);
        connection = pools.startExchange(pools.pool(endpoint), this);
        if (connection == null) {
            scheduler.execute(() -> end(ControlCallResult.NOT_SENT));
        }
    }

    private void timedOut() {
        if (!ended && connection != null) {
            connection.abandonExchange();
        }
        end(ControlCallResult.UNANSWERED);
    }

    /** Returns the response status, or 0 if none was received. */
    final int status() {
        return status;
    }

    /** Returns the response body. */
    final String bodyText() {
        return body.toString(StandardCharsets.ISO_8859_1);
    }

    @Override
    public final FullHttpRequest encodeRequest() {
        return ended ? null : UpstreamRequestEncoder.encodeControl(endpoint, method(), target());
    }

    @Override
    public final boolean responseHeadReceived(HttpResponse response) {
        status = response.status().code();
        return true;
    }

    @Override
    public final boolean responseBodyReceived(ByteBuf content) {
        return body.append(content);
    }

    @Override
    public final boolean responseCompleted() {
        pools.pool(endpoint).recordReceived(scheduler.nowMs());
        end(ControlCallResult.ANSWERED);
        return true;
    }

    @Override
    public final void responseMalformed() {
        end(ControlCallResult.UNANSWERED);
    }

    @Override
    public final void disconnected() {
        scheduler.execute(() -> end(ControlCallResult.UNANSWERED));
    }

    @Override
    public final void connectFailed(ConnectFailure failure) {
        end(
                failure == ConnectFailure.LOCAL
                        ? ControlCallResult.NOT_SENT
                        : ControlCallResult.UNANSWERED);
    }

    private void end(ControlCallResult result) {
        if (!ended) {
            ended = true;
            scheduler.cancel(timeoutTimer);
            completed(result);
        }
    }
}
