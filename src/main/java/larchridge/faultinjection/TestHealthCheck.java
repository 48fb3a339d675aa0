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

/** Asks a node whether it can serve. */
final class TestHealthCheck extends SimpleChannelInboundHandler<ByteBuf> {
    private static final String UP = "GET /up HTTP/1.1\r\nHost: n\r\nConnection: close\r\n\r\n";

    private final EventLoopGroup loop;
    private Consumer<Boolean> told;

    TestHealthCheck(EventLoopGroup loop) {
        this.loop = loop;
    }

    void isUp(int port, Consumer<Boolean> then) {
        told = then;
        ChannelFuture opening =
                new Bootstrap()
                        .group(loop)
                        .channel(NioSocketChannel.class)
                        .handler(this)
                        .connect("127.0.0.1", port);
        opening.addListener(
                done -> {
                    if (!done.isSuccess()) {
                        tell(false);
                    }
                });
    }

    private void tell(boolean up) {
        Consumer<Boolean> then = told;
        told = null;
        if (then != null) {
            then.accept(up);
        }
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        context.writeAndFlush(Unpooled.copiedBuffer(UP, StandardCharsets.ISO_8859_1));
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, ByteBuf bytes) {
        tell(bytes.toString(StandardCharsets.ISO_8859_1).startsWith("HTTP/1.1 200 "));
        context.close();
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        tell(false);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        context.close();
    }
}
