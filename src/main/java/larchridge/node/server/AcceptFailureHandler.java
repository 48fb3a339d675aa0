package larchridge.node.server;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Resumes accepting shortly after a failed accept. Precedes Netty's own acceptor on the listener,
 * which stops accepting for a full second after any failure, although ECONNABORTED concerns a
 * single client and a shortage of descriptors or buffers is brief. The pause only keeps the event
 * loop from spinning while the failure lasts.
 */
final class AcceptFailureHandler extends ChannelInboundHandlerAdapter {
    private static final long ACCEPT_PAUSE_MS = 20;
    private static final long LOG_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final Logger LOG = LoggerFactory.getLogger(AcceptFailureHandler.class);

    private long lastLoggedNanos = System.nanoTime() - LOG_INTERVAL_NANOS;

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        logAtInterval(cause);
        context.channel().config().setAutoRead(false);
        context.executor()
                .schedule(
                        () -> context.channel().config().setAutoRead(true),
                        ACCEPT_PAUSE_MS,
                        TimeUnit.MILLISECONDS);
    }

    private void logAtInterval(Throwable cause) {
        long nowNanos = System.nanoTime();
        if (nowNanos - lastLoggedNanos >= LOG_INTERVAL_NANOS) {
            lastLoggedNanos = nowNanos;
            LOG.atWarn()
                    .addKeyValue("fault", cause.getMessage())
                    .log("a client connection could not be accepted");
        }
    }
}
