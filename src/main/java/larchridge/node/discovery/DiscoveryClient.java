package larchridge.node.discovery;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import larchridge.front.Ground;
import larchridge.inventory.Row;
import larchridge.state.Mode;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The engine list as discovery's agent tells it: first the whole list, then watches, one directly behind the other. The
 * list that was told last stays while the agent is silent or what it says can't be read. All methods run on the loop.
 */
public final class DiscoveryClient {
    private static final Logger LOG = LoggerFactory.getLogger(DiscoveryClient.class);
    private static final int LIST_BYTES = 4 << 20;
    /**
     * A watch waits so long, and is silent when nothing has come that much later. Danger: what a silent watch misses
     * counts as told 6 s after it fell silent, and 4 s after a new configuration; a wait, its silence, a connection that
     * does not come up and a second one have to fit in there. The agent is on the same machine, and asking costs it nothing.
     */
    private static final int WAIT_MS = 2000;
    private static final double SILENT_MS = 1000;
    private static final double AGAIN_FIRST_MS = 50;
    /**
     * An agent that has the list answers at once; silence for this part of the grace of a drain is taken for none. The
     * other half is for connecting, answer and reading. Danger: each call is a new connection and costs milliseconds of a
     * small processor share, so that calls at shorter turns would hold up streams.
     */
    private static final double GRACE_PART = 0.5;
    private static final double AGAIN_LEAST_MS = 20;
    /** As many calls for the whole list may be open at a time; then the oldest is ended. */
    private static final int OPEN_MOST = 16;

    private final EventLoop loop;
    private final ByteBufAllocator buffers;
    private final Ground ground;
    private final EndpointReader reader;
    private final Consumer<List<Row>> onChange;
    private final double againMostMs;
    private final Map<String, Row> rows = new LinkedHashMap<>();
    private String host;
    private int port;
    /** The oldest first. More than one only while the whole list is asked for. */
    private final List<Call> open = new ArrayList<>();
    private boolean stopped;
    private long index;
    /** Whether the next call asks for the whole list. */
    private boolean whole = true;
    private double againMs = AGAIN_FIRST_MS;
    /** Whether the agent has told a list since the start, and who waits for that. */
    private boolean updated;
    private Runnable firstUpdateWaiter;

    /**
     * @param graceMs how long an engine may still be sent to once it is told to drain
     * @param onChange is given the complete list after each change
     */
    public DiscoveryClient(EventLoop loop, ByteBufAllocator buffers, Ground ground, EndpointReader reader, double graceMs,
                 Consumer<List<Row>> onChange) {
        this.loop = loop;
        this.buffers = buffers;
        this.ground = ground;
        this.reader = reader;
        this.onChange = onChange;
        againMostMs = Math.max(AGAIN_LEAST_MS, graceMs * GRACE_PART);
    }

    /** Takes a list that was kept, and what comes on a watch. */
    public void take(EndpointReader.Update list) {
        if (list.whole()) {
            rows.clear();
        }
        list.rows().forEach((name, row) -> {
            if (row.mode() == Mode.GONE) {
                rows.remove(name);
            } else {
                rows.put(name, row);
            }
        });
        index = list.index();
        if (list.whole() || !list.rows().isEmpty()) {
            onChange.accept(new ArrayList<>(rows.values()));
        }
    }

    /** Runs once the agent has told a list of its own, or when so long has passed without one. */
    public void whenFirstUpdated(double mostMs, Runnable then) {
        Runnable waiting = () -> {
            if (firstUpdateWaiter != null) {
                firstUpdateWaiter = null;
                then.run();
            }
        };
        firstUpdateWaiter = waiting;
        if (updated) {
            waiting.run();
        } else {
            ground.in(mostMs, waiting);
        }
    }

    /** Asks there from now on, at once and for the whole list. */
    public void follow(String toHost, int toPort) {
        host = toHost;
        port = toPort;
        whole = true;
        againMs = AGAIN_FIRST_MS;
        abandonAll();
        openCall();
    }

    public void stop() {
        stopped = true;
        abandonAll();
    }

    private void abandonAll() {
        List.copyOf(open).forEach(Call::abandon);
    }

    private void openCall() {
        if (stopped) {
            return;
        }
        if (open.size() >= OPEN_MOST) {
            open.get(0).abandon();
        }
        Call next = new Call();
        open.add(next);
        next.open();
    }

    /** One connection to the agent. */
    private final class Call extends SimpleChannelInboundHandler<FullHttpResponse> {
        private Channel channel;
        private boolean abandoned;
        private long timer = -1;

        void open() {
            ChannelFuture opening = new Bootstrap().group(loop).channel(NioSocketChannel.class)
                    .option(ChannelOption.ALLOCATOR, buffers).option(ChannelOption.TCP_NODELAY, true)
                    .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) SILENT_MS)
                    .handler(new ChannelInitializer<Channel>() {
                        @Override
                        protected void initChannel(Channel own) {
                            own.pipeline().addLast(new HttpClientCodec(), new HttpObjectAggregator(LIST_BYTES),
                                    Call.this);
                        }
                    }).connect(host, port);
            channel = opening.channel();
            opening.addListener(done -> {
                if (done.isSuccess() && !abandoned) {
                    ask();
                } else {
                    failed("no connection");
                }
            });
            // Danger: an agent that was silent may never answer what it was asked meanwhile, and once it speaks again
            // what it has counts as told at once. The call stays open beside the next: it may come in slow pieces.
            ground.in(againMostMs, () -> {
                if (!abandoned && whole && open.get(open.size() - 1) == this) {
                    openCall();
                }
            });
        }

        private void ask() {
            String target = whole ? "/discovery/hosts" : "/discovery/hosts?after=" + index + "&wait_ms=" + WAIT_MS;
            DefaultFullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, target,
                    Unpooled.EMPTY_BUFFER);
            request.headers().set(HttpHeaderNames.HOST, host + ":" + port);
            channel.writeAndFlush(request);
            timer = ground.in(SILENT_MS + (whole ? 0 : WAIT_MS), () -> {
                timer = -1;
                failed("silent");
            });
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpResponse response) {
            if (abandoned) {
                return;
            }
            stopTimer();
            if (response.decoderResult().isFailure() || response.status().code() != 200) {
                failed("answer " + response.status().code());
                return;
            }
            try {
                EndpointReader.Update list = reader.read(ByteBufUtil.getBytes(response.content()));
                if (whole && !list.whole()) {
                    failed("changes where the whole list was asked for");
                    return;
                }
                if (!whole && list.index() < index) {
                    // It is older than what is known; taken, it would tell engines to serve that have begun to drain.
                    failed("an older list");
                    return;
                }
                List.copyOf(open).stream().filter(other -> other != this).forEach(Call::abandon);
                take(list);
                whole = false;
                againMs = AGAIN_FIRST_MS;
                updated = true;
                if (firstUpdateWaiter != null) {
                    firstUpdateWaiter.run();
                }
            } catch (EndpointReader.BadList e) {
                LOG.atWarn().addKeyValue("fault", e.getMessage()).log("a list from discovery can't be read; the last one stays");
                // Danger: what it would have changed is not known any more; only a whole list mends that.
                whole = true;
                failed("unreadable");
                return;
            }
            if (HttpUtil.isKeepAlive(response)) {
                ask();
            } else {
                failed("closed");
            }
        }

        private void failed(String why) {
            if (abandoned) {
                return;
            }
            abandon();
            LOG.atDebug().addKeyValue("why", why).log("discovery is asked again");
            double wait = againMs;
            againMs = Math.min(againMostMs, 2 * againMs);
            // Danger: a gap in the watch may hide changes; after one the whole list is asked for.
            whole = true;
            ground.in(wait, () -> {
                if (open.isEmpty()) {
                    openCall();
                }
            });
        }

        void abandon() {
            abandoned = true;
            open.remove(this);
            stopTimer();
            channel.close();
        }

        private void stopTimer() {
            if (timer >= 0) {
                ground.cancel(timer);
                timer = -1;
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            failed("connection ended");
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            failed(String.valueOf(cause.getMessage()));
        }
    }
}
