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
 * A TCP proxy between one node and one engine, with faults that can be set. All methods run on the
 * rig's loop.
 */
final class FaultProxy {
    /** What the link does with what it carries. */
    enum Fault {
        NONE,
        SILENT,
        CUT,
        DRIBBLE,
        DELAY,
        RESET,
        CLOSE_CROSSING
    }

    private static final double DRIBBLE_MS = 1;
    private static final int DRIBBLE_BYTES = 24;

    private final EventLoopGroup loop;
    private final int targetPort;
    private final Random random;
    private final Channel listener;
    private final Set<Side> sides = new HashSet<>();
    private Fault fault = Fault.NONE;

    /** Milliseconds of a delay, or bytes after which connections are reset. */
    private double size;

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

    /** Begins a fault, or ends the one there is. */
    void set(Fault next, double nextSize) {
        boolean wasSilent = fault == Fault.SILENT;
        fault = next;
        size = nextSize;
        if (next == Fault.CUT || (wasSilent && next != Fault.SILENT)) {
            Set.copyOf(sides).forEach(Side::reset);
        }
    }

    /** One side of a connection that is carried. */
    private final class Side extends ChannelInboundHandlerAdapter {
        private Channel own;
        private Side other;
        private final Deque<ByteBuf> waiting = new ArrayDeque<>();
        private boolean sending;
        private boolean ends;
        private int carried;
        private boolean answered;

        Side(Side other) {
            this.other = other;
        }

        @Override
        public void channelActive(ChannelHandlerContext context) {
            own = context.channel();
            if (other != null) {
                sides.add(this);
                return;
            }
            if (fault == Fault.CUT) {
                reset();
                return;
            }
            sides.add(this);
            Side far = new Side(this);
            other = far;
            ChannelFuture opening =
                    new Bootstrap()
                            .group(loop)
                            .channel(NioSocketChannel.class)
                            .option(ChannelOption.TCP_NODELAY, true)
                            .handler(far)
                            .connect("127.0.0.1", targetPort);
            opening.addListener(
                    done -> {
                        if (done.isSuccess()) {
                            own.config().setAutoRead(true);
                        } else {
                            reset();
                        }
                    });
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            ByteBuf bytes = (ByteBuf) message;
            boolean fromNode = other != null && other.other == this && own.parent() != null;
            if (fault == Fault.SILENT) {
                ReferenceCountUtil.release(bytes);
                return;
            }
            if (fault == Fault.CLOSE_CROSSING
                    && fromNode
                    && other.answered
                    && random.nextDouble() < size) {
                ReferenceCountUtil.release(bytes);
                reset();
                return;
            }
            answered |= !fromNode;
            carried += bytes.readableBytes();
            if (fault == Fault.RESET && carried > size) {
                ReferenceCountUtil.release(bytes);
                reset();
                return;
            }
            if (fault == Fault.DRIBBLE) {
                while (bytes.readableBytes() > DRIBBLE_BYTES) {
                    waiting.add(bytes.readRetainedSlice(1 + random.nextInt(DRIBBLE_BYTES)));
                }
            }
            waiting.add(bytes);
            send();
        }

        private void send() {
            if (sending || waiting.isEmpty() || other == null || other.own == null) {
                return;
            }
            double ms = fault == Fault.DELAY ? size : fault == Fault.DRIBBLE ? DRIBBLE_MS : 0;
            if (ms <= 0) {
                while (!waiting.isEmpty()) {
                    other.own.write(waiting.poll());
                }
                other.own.flush();
                finish();
                return;
            }
            sending = true;
            loop.next()
                    .schedule(
                            () -> {
                                sending = false;
                                if (!waiting.isEmpty()) {
                                    other.own.writeAndFlush(waiting.poll());
                                }
                                finish();
                                send();
                            },
                            (long) (ms * 1e6),
                            TimeUnit.NANOSECONDS);
        }

        private void finish() {
            if (ends && waiting.isEmpty() && fault != Fault.SILENT) {
                other.own.close();
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            sides.remove(this);
            ends = true;
            if (other != null && other.own != null) {
                finish();
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            reset();
        }

        private void reset() {
            sides.remove(this);
            waiting.forEach(ReferenceCountUtil::release);
            waiting.clear();
            TestChannels.reset(own);
            if (other != null && other.own != null && other.own.isOpen()) {
                TestChannels.reset(other.own);
            }
        }
    }
}
