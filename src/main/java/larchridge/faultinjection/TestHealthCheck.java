package larchridge.faultinjection;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;

/** Requests the health endpoint of a node to find out whether it is ready. */
final class TestHealthCheck extends SimpleChannelInboundHandler<ByteBuf> {
    private static final String REQUEST =
            "GET /up HTTP/1.1\r\nHost: n\r\nConnection: close\r\n\r\n";

    private final EventLoopGroup loop;
    private Consumer<Boolean> callback;

    TestHealthCheck(EventLoopGroup loop) {
        this.loop = loop;
    }

    void check(int port, Consumer<Boolean> onResult) {
        callback = onResult;
        ChannelFuture connecting =
                new Bootstrap()
                        .group(loop)
                        .channel(NioSocketChannel.class)
                        .handler(this)
                        .connect("127.0.0.1", port);
        connecting.addListener(
                done -> {
                    if (!done.isSuccess()) {
                        complete(false);
                    }
                });
    }

    private void complete(boolean ready) {
        Consumer<Boolean> onResult = callback;
        callback = null;
        if (onResult != null) {
            onResult.accept(ready);
        }
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        context.writeAndFlush(Unpooled.copiedBuffer(REQUEST, StandardCharsets.ISO_8859_1));
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, ByteBuf bytes) {
        complete(bytes.toString(StandardCharsets.ISO_8859_1).startsWith("HTTP/1.1 200 "));
        context.close();
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        complete(false);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        context.close();
    }
}
