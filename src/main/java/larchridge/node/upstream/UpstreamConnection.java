package larchridge.node.upstream;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import larchridge.audit.CloseReason;
import larchridge.node.transport.ConnectFailure;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One connection to an engine: one call at a time. It goes back to its pool only if everything
 * about the answer was in order; whatever comes that nobody asked for ends it.
 */
final class UpstreamConnection extends ChannelInboundHandlerAdapter {
    private static final Logger LOG = LoggerFactory.getLogger(UpstreamConnection.class);

    private final ConnectionPool pool;
    private Channel channel;
    private UpstreamExchange call;

    /** The write of the call's request is done. */
    private boolean written;

    private boolean interim;
    private boolean keepsAlive;

    /** The answer is whole and the connection may be used again when this read is over. */
    private boolean resting;

    private boolean gone;

    /** Why it ends; the peer ends it as long as nobody here does. */
    private CloseReason closeReason = CloseReason.PEER;

    double idleSinceMs;

    UpstreamConnection(ConnectionPool pool, UpstreamExchange call) {
        this.pool = pool;
        this.call = call;
    }

    /** The channel of a connection that is coming up; null if there is none. */
    void opened(Channel own) {
        channel = own;
    }

    boolean isUsable() {
        return !gone && channel.isActive();
    }

    /** Puts a call on an idle connection, or the first on a new one. */
    void start(UpstreamExchange next) {
        call = next;
        written = false;
        interim = false;
        FullHttpRequest request = next.request();
        if (request == null) {
            call = null;
            pool.putBack(this);
            return;
        }
        channel.writeAndFlush(request)
                .addListener(
                        done -> {
                            if (call != next) {
                                return;
                            }
                            if (done.isSuccess()) {
                                written = true;
                                next.written();
                            } else {
                                close(CloseReason.IO_FAILURE);
                            }
                        });
    }

    /** The call is given up: the connection ends, and nothing more is told. */
    void drop() {
        call = null;
        close(CloseReason.CALLED_OFF);
    }

    void close(CloseReason reason) {
        closeReason = reason;
        if (channel != null) {
            channel.close();
        }
    }

    void reads(boolean on) {
        if (channel != null) {
            channel.config().setAutoRead(on);
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        try {
            if (call == null || resting) {
                // Guards against: an answer that nobody asked for would be taken for the next
                // request's.
                resting = false;
                call = null;
                close(CloseReason.BAD_INPUT);
                return;
            }
            take((HttpObject) message);
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void take(HttpObject part) {
        if (part.decoderResult().isFailure()) {
            spoilt(part.decoderResult().cause());
            return;
        }
        if (part instanceof HttpResponse response) {
            interim = response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
            if (interim) {
                return;
            }
            keepsAlive =
                    HttpUtil.isKeepAlive(response)
                            && (HttpUtil.isTransferEncodingChunked(response)
                                    || HttpUtil.isContentLengthSet(response)
                                    || response.status().code() == 204);
            if (!call.head(response)) {
                spoilt(response.status());
                return;
            }
        }
        if (part instanceof HttpContent content && !interim) {
            if (content.content().isReadable() && !call.body(content.content())) {
                spoilt("body");
                return;
            }
            if (part instanceof LastHttpContent) {
                UpstreamExchange ended = call;
                // Guards against: an answer before the request's last byte leaves a connection out
                // of step.
                boolean clean = keepsAlive && written;
                resting = ended.completed() && clean;
                call = resting ? call : null;
                if (!resting) {
                    close(CloseReason.LAST_ANSWER);
                }
            }
        }
    }

    private void spoilt(Object why) {
        LOG.debug("an answer of {} can't be read: {}", pool.spot, why);
        UpstreamExchange ended = call;
        call = null;
        close(CloseReason.BAD_INPUT);
        if (ended != null) {
            ended.malformed();
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        if (resting) {
            resting = false;
            call = null;
            pool.rest(this);
        } else if (call != null) {
            call.paused();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        end();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        if (cause instanceof java.io.IOException) {
            close(CloseReason.IO_FAILURE);
        } else {
            spoilt(cause);
        }
    }

    /** The connection is no more. */
    private void end() {
        UpstreamExchange ended = leave();
        if (ended != null) {
            ended.disconnected();
        }
    }

    /** The connection never came up. */
    void notConnected(ConnectFailure failure) {
        closeReason = CloseReason.NOT_CONNECTED;
        UpstreamExchange ended = leave();
        if (ended != null) {
            ended.notConnected(failure);
        }
    }

    /** Leaves the pool; gives the call that ends with the connection, or null. */
    private UpstreamExchange leave() {
        if (gone) {
            return null;
        }
        gone = true;
        pool.lost(this, closeReason);
        UpstreamExchange ended = resting ? null : call;
        call = null;
        return ended;
    }
}
