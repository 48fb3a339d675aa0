package larchridge.node.discovery;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;

/** Tells that bytes have come, before anything is made of them. */
final class ProgressHandler extends ChannelInboundHandlerAdapter {
    private final Runnable progress;

    ProgressHandler(Runnable progress) {
        this.progress = progress;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        progress.run();
        context.fireChannelRead(message);
    }
}
