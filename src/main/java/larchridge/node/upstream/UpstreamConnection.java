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
 * One connection to an engine, which carries one exchange at a time. It is reused only after a
 * complete and valid response; unsolicited data closes it.
 */
final class UpstreamConnection extends ChannelInboundHandlerAdapter {
    private static final Logger LOG = LoggerFactory.getLogger(UpstreamConnection.class);

    private final ConnectionPool pool;

    /** Null if no socket could be created. */
    private Channel channel;

    /** The current exchange, also while the connection is opening; null if there is none. */
    private UpstreamExchange exchange;

    /** Whether the current request has been written to the socket. */
    private boolean requestWritten;

    /** Whether the response being read is informational (1xx). */
    private boolean informational;

    /** Whether the response allows further exchanges on this connection. */
    private boolean keepAlive;

    /** Whether the response is complete and the connection is reusable after this socket read. */
    private boolean reusableAfterRead;

    private boolean closed;

    /** Why the connection ends: {@code PEER} unless this side closes it. */
    private CloseReason closeReason = CloseReason.PEER;

    private double idleSinceMs;

    UpstreamConnection(ConnectionPool pool, UpstreamExchange exchange) {
        this.pool = pool;
        this.exchange = exchange;
    }

    /** Sets the channel of the opening connection; null if there is none. */
    void channelCreated(Channel created) {
        channel = created;
    }

    boolean isOpen() {
        return !closed && channel.isActive();
    }

    /** Returns when the connection last became idle, or when it was opened. */
    double idleSinceMs() {
        return idleSinceMs;
    }

    void setIdleSince(double nowMs) {
        idleSinceMs = nowMs;
    }

    /** Starts an exchange on an idle connection, or the first exchange on a new one. */
    void start(UpstreamExchange next) {
        exchange = next;
        requestWritten = false;
        informational = false;
        FullHttpRequest request = next.encodeRequest();
        if (request == null) {
            exchange = null;
            pool.returnToIdle(this);
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

    /** Closes the connection; the current exchange receives no further calls. */
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

    /** Enables or disables socket reads; disabling them puts back pressure on the engine. */
    void setAutoRead(boolean autoRead) {
        if (channel != null) {
            channel.config().setAutoRead(autoRead);
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        try {
            if (exchange == null || reusableAfterRead) {
                // Guards against: an unsolicited response would be taken for the response to the
                // next request.
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

    /** Handles the head of a response; returns false if the rest of the message is ignored. */
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

    /** Whether the end of the response can be recognised without closing the connection. */
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
        // Guards against: after a response that precedes the last byte of its request, requests and
        // responses on this connection would no longer correspond.
        boolean inSync = keepAlive && requestWritten;
        reusableAfterRead = ended.responseCompleted() && inSync;
        exchange = reusableAfterRead ? exchange : null;
        if (!reusableAfterRead) {
            close(CloseReason.LAST_ANSWER);
        }
    }

    private void closeMalformed(Object detail) {
        LOG.debug(
                "closing connection to {} after invalid response or unexpected exception"
                        + " (status, part or cause: {})",
                pool.endpoint(),
                detail);
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
            exchange.socketReadCompleted();
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

    /** Called when the connection could not be established. */
    void connectFailed(ConnectFailure failure) {
        closeReason = CloseReason.NOT_CONNECTED;
        UpstreamExchange interrupted = leavePool();
        if (interrupted != null) {
            interrupted.connectFailed(failure);
        }
    }

    /** Removes the connection from its pool; returns the interrupted exchange, or null. */
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
