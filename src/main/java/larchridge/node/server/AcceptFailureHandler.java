package larchridge.node.server;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Sits before Netty's own acceptor on the listener. That one stops accepting for a whole second
 * after any failed accept; but ECONNABORTED is one client's affair, and descriptors or buffers are
 * short for a moment. The pause here only keeps the loop from turning without rest while the
 * failure lasts.
 */
final class AcceptFailureHandler extends ChannelInboundHandlerAdapter {
    private static final long PAUSE_MS = 20;
    private static final long LOG_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final Logger LOG = LoggerFactory.getLogger(AcceptFailureHandler.class);

    private long loggedNanos = System.nanoTime() - LOG_NANOS;

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        long now = System.nanoTime();
        if (now - loggedNanos >= LOG_NANOS) {
            loggedNanos = now;
            LOG.atWarn()
                    .addKeyValue("fault", cause.getMessage())
                    .log("a client's connection could not be accepted");
        }
        context.channel().config().setAutoRead(false);
        context.executor()
                .schedule(
                        () -> context.channel().config().setAutoRead(true),
                        PAUSE_MS,
                        TimeUnit.MILLISECONDS);
    }
}
