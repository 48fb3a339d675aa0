package larchridge.node.discovery;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;

/** Reports the arrival of bytes before they are decoded. */
final class ReadProgressHandler extends ChannelInboundHandlerAdapter {
    private final Runnable onBytes;

    ReadProgressHandler(Runnable onBytes) {
        this.onBytes = onBytes;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        onBytes.run();
        context.fireChannelRead(message);
    }
}
