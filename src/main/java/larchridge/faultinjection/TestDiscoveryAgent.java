package larchridge.faultinjection;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.IntSupplier;
import java.util.function.Supplier;

/**
 * The discovery agent of one node, which serves complete lists and watches. All methods run on the
 * event loop of the test harness.
 */
final class TestDiscoveryAgent {
    /** How the agent responds. */
    enum Behavior {
        NORMAL,
        SILENT,
        RESETTING,
        FRAGMENTED
    }

    private static final double OLD_CONNECTION_CLOSE_DELAY_MS = 1500;
    private static final int FRAGMENT_COUNT = 12;
    private static final double FRAGMENT_INTERVAL_MS = 8;

    private final EventLoopGroup loop;
    private final IntSupplier index;
    private final Supplier<String> list;
    private final Set<Watch> watches = new HashSet<>();
    private Channel listener;
    private final Set<Channel> connections = new HashSet<>();
    private Behavior behavior = Behavior.NORMAL;
    private int calls;

    private record Watch(Channel channel, int after) {}

    TestDiscoveryAgent(EventLoopGroup loop, IntSupplier index, Supplier<String> list)
            throws InterruptedException {
        this.loop = loop;
        this.index = index;
        this.list = list;
        listener = listen().sync().channel();
    }

    private io.netty.channel.ChannelFuture listen() {
        return new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, 256)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(
                        new ChannelInitializer<Channel>() {
                            @Override
                            protected void initChannel(Channel channel) {
                                channel.pipeline()
                                        .addLast(
                                                new HttpRequestDecoder(),
                                                new HttpObjectAggregator(1 << 16),
                                                new Handler());
                            }
                        })
                .bind("127.0.0.1", 0);
    }

    int port() {
        return ((java.net.InetSocketAddress) listener.localAddress()).getPort();
    }

    /** Returns the number of requests so far. */
    int calls() {
        return calls;
    }

    void setBehavior(Behavior next) {
        behavior = next;
        if (next == Behavior.SILENT) {
            // Pending watches are dropped, and their connections stay open.
            watches.clear();
        }
        if (next == Behavior.RESETTING) {
            Set.copyOf(connections).forEach(TestChannels::reset);
        }
    }

    /**
     * Listens at another address. The old one accepts no new connections, and its connections are
     * closed after a delay.
     */
    void moveAddress(Runnable onMoved) {
        Channel old = listener;
        Set<Channel> before = Set.copyOf(connections);
        listen().addListener(
                        (io.netty.channel.ChannelFuture done) -> {
                            listener = done.channel();
                            old.close();
                            loop.next()
                                    .schedule(
                                            () -> before.forEach(Channel::close),
                                            (long) OLD_CONNECTION_CLOSE_DELAY_MS,
                                            TimeUnit.MILLISECONDS);
                            onMoved.run();
                        });
    }

    /** Responds to the watches that wait for a change, after the list has changed. */
    void notifyWatches() {
        if (behavior == Behavior.SILENT) {
            return;
        }
        for (Watch watch : List.copyOf(watches)) {
            if (index.getAsInt() > watch.after) {
                watches.remove(watch);
                respond(watch.channel);
            }
        }
    }

    /** Handles one connection. */
    private final class Handler extends SimpleChannelInboundHandler<FullHttpRequest> {
        @Override
        public void channelActive(ChannelHandlerContext context) {
            connections.add(context.channel());
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            calls++;
            if (behavior == Behavior.SILENT) {
                return;
            }
            if (behavior == Behavior.RESETTING) {
                TestChannels.reset(context.channel());
                return;
            }
            QueryStringDecoder query = new QueryStringDecoder(request.uri());
            List<String> after = query.parameters().get("after");
            if (after == null || index.getAsInt() > Integer.parseInt(after.get(0))) {
                respond(context.channel());
                return;
            }
            Watch watch = new Watch(context.channel(), Integer.parseInt(after.get(0)));
            watches.add(watch);
            long waitMs = Long.parseLong(query.parameters().get("wait_ms").get(0));
            loop.next()
                    .schedule(
                            () -> {
                                if (watches.remove(watch) && behavior != Behavior.SILENT) {
                                    write(
                                            watch.channel,
                                            "{\"index\":"
                                                    + index.getAsInt()
                                                    + ",\"snapshot\":false,\"endpoints\":[]}");
                                }
                            },
                            waitMs,
                            TimeUnit.MILLISECONDS);
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            connections.remove(context.channel());
            watches.removeIf(watch -> watch.channel == context.channel());
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }

    private void respond(Channel channel) {
        write(channel, list.get());
    }

    private void write(Channel channel, String body) {
        ByteBuf response =
                Unpooled.copiedBuffer(
                        "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: "
                                + body.length()
                                + "\r\n\r\n"
                                + body,
                        StandardCharsets.ISO_8859_1);
        if (behavior != Behavior.FRAGMENTED) {
            channel.writeAndFlush(response);
            return;
        }
        int fragmentBytes = Math.max(1, response.readableBytes() / FRAGMENT_COUNT);
        for (int i = 0; response.isReadable(); i++) {
            ByteBuf fragment =
                    response.readRetainedSlice(Math.min(fragmentBytes, response.readableBytes()));
            loop.next()
                    .schedule(
                            () -> channel.writeAndFlush(fragment),
                            (long) (i * FRAGMENT_INTERVAL_MS * 1e6),
                            TimeUnit.NANOSECONDS);
        }
        response.release();
    }
}
