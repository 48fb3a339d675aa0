package larchridge.node.upstream;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import larchridge.node.transport.ConnectionBuffers;
import larchridge.upstream.Endpoint;

/** Opens TCP connections that run on the node's event loop. */
final class SocketConnectionOpener implements ConnectionOpener {
    private final Bootstrap bootstrap;

    SocketConnectionOpener(EventLoop loop, ByteBufAllocator allocator, UpstreamSettings settings) {
        bootstrap =
                new Bootstrap()
                        .group(loop)
                        .channel(NioSocketChannel.class)
                        .option(ChannelOption.ALLOCATOR, allocator)
                        .option(ChannelOption.TCP_NODELAY, true)
                        .option(ChannelOption.RECVBUF_ALLOCATOR, ConnectionBuffers.readSizes())
                        .option(
                                ChannelOption.CONNECT_TIMEOUT_MILLIS,
                                Math.max(1, (int) settings.connectTimeoutMs()));
    }

    @Override
    public ChannelFuture open(Endpoint endpoint, ChannelInitializer<Channel> handlers) {
        return bootstrap.clone().handler(handlers).connect(endpoint.host(), endpoint.port());
    }
}
