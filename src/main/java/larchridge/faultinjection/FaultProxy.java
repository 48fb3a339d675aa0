package larchridge.faultinjection;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * A TCP proxy between one node and one engine with configurable faults. All methods run on the
 * event loop of the test harness.
 */
final class FaultProxy {
    /** How the proxy treats the data that it forwards. */
    enum LinkFault {
        NONE,
        SILENT,
        CUT,
        DRIBBLE,
        DELAY,
        RESET,
        CLOSE_CROSSING
    }

    private static final double DRIBBLE_INTERVAL_MS = 1;
    private static final int MAX_DRIBBLE_BYTES = 24;

    private final EventLoopGroup loop;
    private final int targetPort;
    private final Random random;
    private final Channel listener;
    private final Set<Side> sides = new HashSet<>();
    private LinkFault fault = LinkFault.NONE;

    /**
     * Strength of the fault: milliseconds for {@code DELAY}, bytes until the reset for {@code
     * RESET}, and a probability for {@code CLOSE_CROSSING}.
     */
    private double magnitude;

    FaultProxy(EventLoopGroup loop, int targetPort, long seed) throws InterruptedException {
        this.loop = loop;
        this.targetPort = targetPort;
        random = new Random(seed);
        listener =
                new ServerBootstrap()
                        .group(loop)
                        .channel(NioServerSocketChannel.class)
                        .option(ChannelOption.SO_BACKLOG, 1024)
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childOption(ChannelOption.AUTO_READ, false)
                        .childHandler(
                                new ChannelInitializer<Channel>() {
                                    @Override
                                    protected void initChannel(Channel channel) {
                                        channel.pipeline().addLast(new Side(null));
                                    }
                                })
                        .bind("127.0.0.1", 0)
                        .sync()
                        .channel();
    }

    int port() {
        return ((java.net.InetSocketAddress) listener.localAddress()).getPort();
    }

    /** Sets the fault, which replaces the current one; {@code NONE} ends it. */
    void set(LinkFault next, double nextMagnitude) {
        boolean wasSilent = fault == LinkFault.SILENT;
        fault = next;
        magnitude = nextMagnitude;
        if (next == LinkFault.CUT || (wasSilent && next != LinkFault.SILENT)) {
            Set.copyOf(sides).forEach(Side::reset);
        }
    }

    /** One side of a proxied connection. */
    private final class Side extends ChannelInboundHandlerAdapter {
        private Channel channel;
        private Side peer;
        private final Deque<ByteBuf> pending = new ArrayDeque<>();
        private boolean sendScheduled;
        private boolean closed;
        private int carriedBytes;
        private boolean responseSeen;

        Side(Side peer) {
            this.peer = peer;
        }

        @Override
        public void channelActive(ChannelHandlerContext context) {
            channel = context.channel();
            if (peer != null) {
                sides.add(this);
                return;
            }
            if (fault == LinkFault.CUT) {
                reset();
                return;
            }
            sides.add(this);
            Side upstream = new Side(this);
            peer = upstream;
            ChannelFuture connecting =
                    new Bootstrap()
                            .group(loop)
                            .channel(NioSocketChannel.class)
                            .option(ChannelOption.TCP_NODELAY, true)
                            .handler(upstream)
                            .connect("127.0.0.1", targetPort);
            connecting.addListener(
                    done -> {
                        if (done.isSuccess()) {
                            channel.config().setAutoRead(true);
                        } else {
                            reset();
                        }
                    });
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            ByteBuf bytes = (ByteBuf) message;
            boolean fromNode = peer != null && peer.peer == this && channel.parent() != null;
            if (fault == LinkFault.SILENT) {
                ReferenceCountUtil.release(bytes);
                return;
            }
            if (fault == LinkFault.CLOSE_CROSSING
                    && fromNode
                    && peer.responseSeen
                    && random.nextDouble() < magnitude) {
                ReferenceCountUtil.release(bytes);
                reset();
                return;
            }
            responseSeen |= !fromNode;
            carriedBytes += bytes.readableBytes();
            if (fault == LinkFault.RESET && carriedBytes > magnitude) {
                ReferenceCountUtil.release(bytes);
                reset();
                return;
            }
            if (fault == LinkFault.DRIBBLE) {
                while (bytes.readableBytes() > MAX_DRIBBLE_BYTES) {
                    pending.add(bytes.readRetainedSlice(1 + random.nextInt(MAX_DRIBBLE_BYTES)));
                }
            }
            pending.add(bytes);
            send();
        }

        private void send() {
            if (sendScheduled || pending.isEmpty() || peer == null || peer.channel == null) {
                return;
            }
            double ms =
                    fault == LinkFault.DELAY
                            ? magnitude
                            : fault == LinkFault.DRIBBLE ? DRIBBLE_INTERVAL_MS : 0;
            if (ms <= 0) {
                while (!pending.isEmpty()) {
                    peer.channel.write(pending.poll());
                }
                peer.channel.flush();
                closePeerIfDrained();
                return;
            }
            sendScheduled = true;
            loop.next()
                    .schedule(
                            () -> {
                                sendScheduled = false;
                                if (!pending.isEmpty()) {
                                    peer.channel.writeAndFlush(pending.poll());
                                }
                                closePeerIfDrained();
                                send();
                            },
                            (long) (ms * 1e6),
                            TimeUnit.NANOSECONDS);
        }

        private void closePeerIfDrained() {
            if (closed && pending.isEmpty() && fault != LinkFault.SILENT) {
                peer.channel.close();
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            sides.remove(this);
            closed = true;
            if (peer != null && peer.channel != null) {
                closePeerIfDrained();
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            reset();
        }

        private void reset() {
            sides.remove(this);
            pending.forEach(ReferenceCountUtil::release);
            pending.clear();
            TestChannels.reset(channel);
            if (peer != null && peer.channel != null && peer.channel.isOpen()) {
                TestChannels.reset(peer.channel);
            }
        }
    }
}
