package larchridge.node.upstream;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import larchridge.audit.CloseReason;
import larchridge.node.transport.ConnectFailure;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One connection to an engine, with one exchange at a time. It returns to its pool only if
 * everything about the response was in order; anything received without a request closes it.
 */
final class UpstreamConnection extends ChannelInboundHandlerAdapter {
    private static final Logger LOG = LoggerFactory.getLogger(UpstreamConnection.class);

    private final ConnectionPool pool;

    /** Null if the system call for a socket failed. */
    private Channel channel;

    /** The exchange in progress, also while the connection is opening; null if there is none. */
    private UpstreamExchange exchange;

    /** The exchange's request has been written to the socket. */
    private boolean requestWritten;

    /** What is being read belongs to an informational (1xx) response. */
    private boolean informational;

    /** The response allows further exchanges on this connection. */
    private boolean keepAlive;

    /** The response is complete, and the connection may be used again when this read ends. */
    private boolean reusableAfterRead;

    private boolean closed;

    /** Why it ends; the peer ends it as long as nobody here does. */
    private CloseReason closeReason = CloseReason.PEER;

    private double idleSinceMs;

    UpstreamConnection(ConnectionPool pool, UpstreamExchange exchange) {
        this.pool = pool;
        this.exchange = exchange;
    }

    /** Sets the channel of a connection that is opening; null if there is none. */
    void channelCreated(Channel created) {
        channel = created;
    }

    boolean isUsable() {
        return !closed && channel.isActive();
    }

    /** When it was last used; while it is idle, since when it is. */
    double idleSinceMs() {
        return idleSinceMs;
    }

    void setIdleSince(double nowMs) {
        idleSinceMs = nowMs;
    }

    /** Starts an exchange on an idle connection, or the first one on a new connection. */
    void start(UpstreamExchange next) {
        exchange = next;
        requestWritten = false;
        informational = false;
        FullHttpRequest request = next.encodeRequest();
        if (request == null) {
            exchange = null;
            pool.returnUnused(this);
            return;
        }
        channel.writeAndFlush(request)
                .addListener(
                        write -> {
                            if (exchange == next) {
                                writeEnded(write.isSuccess());
                            }
                        });
    }

    private void writeEnded(boolean succeeded) {
        if (succeeded) {
            requestWritten = true;
            exchange.requestWritten();
        } else {
            close(CloseReason.IO_FAILURE);
        }
    }

    /** Abandons the exchange: the connection is closed, and the exchange gets no further calls. */
    void abandonExchange() {
        exchange = null;
        close(CloseReason.CALLED_OFF);
    }

    void close(CloseReason reason) {
        closeReason = reason;
        if (channel != null) {
            channel.close();
        }
    }

    /** Reads from the socket, or leaves what arrives there so that the engine is held back. */
    void setAutoRead(boolean autoRead) {
        if (channel != null) {
            channel.config().setAutoRead(autoRead);
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        try {
            if (exchange == null || reusableAfterRead) {
                // Guards against: a response without a request would be taken for the next
                // request's.
                reusableAfterRead = false;
                exchange = null;
                close(CloseReason.BAD_INPUT);
                return;
            }
            partReceived((HttpObject) message);
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void partReceived(HttpObject part) {
        if (part.decoderResult().isFailure()) {
            closeMalformed(part.decoderResult().cause());
            return;
        }
        if (part instanceof HttpResponse response && !headReceived(response)) {
            return;
        }
        if (part instanceof HttpContent content && !informational) {
            contentReceived(content);
        }
    }

    /** Takes the head of a response; false if nothing else of this part is to be read. */
    private boolean headReceived(HttpResponse response) {
        informational = response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
        if (informational) {
            return false;
        }
        keepAlive = HttpUtil.isKeepAlive(response) && hasSelfDefinedLength(response);
        if (!exchange.responseHeadReceived(response)) {
            closeMalformed(response.status());
            return false;
        }
        return true;
    }

    /** Whether the response's end shows without the end of the connection. */
    private static boolean hasSelfDefinedLength(HttpResponse response) {
        return HttpUtil.isTransferEncodingChunked(response)
                || HttpUtil.isContentLengthSet(response)
                || response.status().code() == HttpResponseStatus.NO_CONTENT.code();
    }

    private void contentReceived(HttpContent content) {
        if (content.content().isReadable() && !exchange.responseBodyReceived(content.content())) {
            closeMalformed("body");
            return;
        }
        if (content instanceof LastHttpContent) {
            endReceived();
        }
    }

    private void endReceived() {
        UpstreamExchange ended = exchange;
        // Guards against: after a response that precedes the request's last byte, requests and
        // responses of this connection would not correspond any more.
        boolean inSync = keepAlive && requestWritten;
        reusableAfterRead = ended.responseCompleted() && inSync;
        exchange = reusableAfterRead ? exchange : null;
        if (!reusableAfterRead) {
            close(CloseReason.LAST_ANSWER);
        }
    }

    private void closeMalformed(Object detail) {
        LOG.debug("an answer of {} can't be read: {}", pool.endpoint(), detail);
        UpstreamExchange ended = exchange;
        exchange = null;
        close(CloseReason.BAD_INPUT);
        if (ended != null) {
            ended.responseMalformed();
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        if (reusableAfterRead) {
            reusableAfterRead = false;
            exchange = null;
            pool.returnAfterResponse(this);
        } else if (exchange != null) {
            exchange.readBatchCompleted();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        UpstreamExchange interrupted = leavePool();
        if (interrupted != null) {
            interrupted.disconnected();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        if (cause instanceof IOException) {
            close(CloseReason.IO_FAILURE);
        } else {
            closeMalformed(cause);
        }
    }

    /** The connection never came up. */
    void connectFailed(ConnectFailure failure) {
        closeReason = CloseReason.NOT_CONNECTED;
        UpstreamExchange interrupted = leavePool();
        if (interrupted != null) {
            interrupted.connectFailed(failure);
        }
    }

    /** Leaves the pool; returns the exchange that ends with the connection, or null. */
    private UpstreamExchange leavePool() {
        if (closed) {
            return null;
        }
        closed = true;
        pool.remove(this, closeReason);
        UpstreamExchange interrupted = reusableAfterRead ? null : exchange;
        exchange = null;
        return interrupted;
    }
}
