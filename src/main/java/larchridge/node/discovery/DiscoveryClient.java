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
import larchridge.inventory.EngineEntry;
import larchridge.node.transport.ConnectFutures;
import larchridge.router.Scheduler;
import larchridge.state.EndpointState;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The engine list as discovery's agent tells it: first the whole list, then watches, one directly
 * behind the other. The list that was told last stays while the agent is silent or what it says
 * can't be read. All methods run on the loop.
 */
public final class DiscoveryClient {
    private static final Logger LOG = LoggerFactory.getLogger(DiscoveryClient.class);
    private static final int LIST_BYTES = 4 << 20;

    /**
     * A watch waits so long, and is silent when nothing has come that much later. Guards against:
     * what a silent watch misses counts as told 6 s after it fell silent, and 4 s after a new
     * configuration; a wait, its silence, a connection that does not come up and a second one have
     * to fit in there. The agent is on the same machine, and asking costs it nothing.
     */
    private static final int WAIT_MS = 2000;

    private static final double SILENT_MS = 1000;
    private static final long NO_TIMER = -1;
    private static final double AGAIN_FIRST_MS = 50;

    /**
     * An agent that has the list answers at once; silence for this part of the grace of a drain is
     * taken for none. The other half is for connecting, answer and reading. Guards against: each
     * call is a new connection and costs milliseconds of a small processor share, so that calls at
     * shorter turns would hold up streams.
     */
    private static final double GRACE_PART = 0.5;

    private static final double AGAIN_LEAST_MS = 20;

    /** As many calls for the whole list may be open at a time; then the oldest is ended. */
    private static final int OPEN_MOST = 16;

    /**
     * Of these, as many may be receiving their answers: each may take the memory of a whole list.
     */
    private static final int RECEIVING_MOST = 2;

    /**
     * An answer that keeps coming in pieces must have ended so long after it was asked for, beside
     * a watch's wait.
     */
    private static final double ANSWER_MOST_MS = 10_000;

    private static final double WATCH_ANSWER_MOST_MS = 1500;

    /**
     * Watches are asked at most this often, also by one that is answered at once again and again.
     */
    private static final double WATCH_GAP_MS = 20;

    private final EventLoop loop;
    private final ByteBufAllocator buffers;
    private final Scheduler ground;
    private final EndpointListReader reader;
    private final Consumer<List<EngineEntry>> onChange;
    private final double againMostMs;
    private final Map<String, EngineEntry> rows = new LinkedHashMap<>();
    private final StartTimeConverter startTimes;
    private final RemovedEndpoints departed = new RemovedEndpoints();
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
    public DiscoveryClient(
            EventLoop loop,
            ByteBufAllocator buffers,
            Scheduler ground,
            EndpointListReader reader,
            double graceMs,
            Consumer<List<EngineEntry>> onChange) {
        this.loop = loop;
        this.buffers = buffers;
        this.ground = ground;
        this.reader = reader;
        this.onChange = onChange;
        startTimes = new StartTimeConverter(System::currentTimeMillis);
        againMostMs = Math.max(AGAIN_LEAST_MS, graceMs * GRACE_PART);
    }

    /** Takes a list that was kept, and what comes on a watch. */
    public void take(EndpointListReader.Update list) {
        Map<String, EngineEntry> before = new LinkedHashMap<>(rows);
        if (list.whole()) {
            rows.clear();
        }
        double now = ground.nowMs();
        list.rows()
                .forEach(
                        (name, row) -> {
                            if (row.state() == EndpointState.REMOVED) {
                                rows.remove(name);
                            } else {
                                rows.put(
                                        name,
                                        departed.keep(
                                                name,
                                                row.withStartMs(
                                                        startTimes.of(name, row.startMs(), now)),
                                                list.index()));
                            }
                        });
        departed.note(before, rows, list.index());
        if (updated) {
            startTimes.confirmed(now);
        }
        index = list.index();
        if (list.whole() || !list.rows().isEmpty()) {
            onChange.accept(new ArrayList<>(rows.values()));
        }
    }

    /** Runs once the agent has told a list of its own, or when so long has passed without one. */
    public void whenFirstUpdated(double mostMs, Runnable then) {
        Runnable waiting =
                () -> {
                    if (firstUpdateWaiter != null) {
                        firstUpdateWaiter = null;
                        then.run();
                    }
                };
        firstUpdateWaiter = waiting;
        if (updated) {
            waiting.run();
        } else {
            ground.schedule(mostMs, waiting);
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
        /** Null where no socket could be had. */
        private Channel channel;

        private boolean abandoned;
        private boolean receiving;
        private double askedMs;
        private double progressMs;
        private long timer = NO_TIMER;

        void open() {
            ChannelFuture opening =
                    new Bootstrap()
                            .group(loop)
                            .channel(NioSocketChannel.class)
                            .option(ChannelOption.ALLOCATOR, buffers)
                            .option(ChannelOption.TCP_NODELAY, true)
                            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) SILENT_MS)
                            .handler(
                                    new ChannelInitializer<Channel>() {
                                        @Override
                                        protected void initChannel(Channel own) {
                                            own.pipeline()
                                                    .addLast(
                                                            new ProgressHandler(
                                                                    Call.this::progress),
                                                            new HttpClientCodec(),
                                                            new HttpObjectAggregator(LIST_BYTES),
                                                            Call.this);
                                        }
                                    })
                            .connect(host, port);
            channel = ConnectFutures.usableChannel(opening);
            ConnectFutures.whenComplete(
                    opening,
                    ground,
                    () -> {
                        if (!abandoned) {
                            ask();
                        }
                    },
                    failure -> failed("no connection: " + failure));
            ground.schedule(againMostMs, this::openAnother);
        }

        /**
         * An agent that was silent may never answer what it was asked meanwhile, and once it speaks
         * again what it has counts as told at once. So another call begins while this one stays
         * open, since its answer may come in slow pieces.
         */
        private void openAnother() {
            if (abandoned || !whole || open.get(open.size() - 1) != this) {
                return;
            }
            double now = ground.nowMs();
            if (receiving && now - progressMs < againMostMs && now - askedMs < SILENT_MS) {
                ground.schedule(againMostMs, this::openAnother);
            } else {
                openCall();
            }
        }

        private void ask() {
            String target =
                    whole
                            ? "/discovery/hosts"
                            : "/discovery/hosts?after=" + index + "&wait_ms=" + WAIT_MS;
            DefaultFullHttpRequest request =
                    new DefaultFullHttpRequest(
                            HttpVersion.HTTP_1_1, HttpMethod.GET, target, Unpooled.EMPTY_BUFFER);
            request.headers().set(HttpHeaderNames.HOST, host + ":" + port);
            channel.writeAndFlush(request);
            askedMs = ground.nowMs();
            receiving = false;
            startTimer(SILENT_MS + (whole ? 0 : WAIT_MS));
        }

        /** Some bytes of an answer have come. */
        private void progress() {
            if (abandoned) {
                return;
            }
            progressMs = ground.nowMs();
            if (!receiving && !mayReceive()) {
                abandon();
                return;
            }
            double mostMs = whole ? ANSWER_MOST_MS : WAIT_MS + WATCH_ANSWER_MOST_MS;
            startTimer(Math.min(SILENT_MS, askedMs + mostMs - progressMs));
        }

        /**
         * An agent that comes back may answer all calls at once: the first ones are received, the
         * others are given up. Those that have come in part stay, since a list that always comes in
         * slow pieces would else never be whole.
         */
        private boolean mayReceive() {
            List<Call> others = open.stream().filter(other -> other != this).toList();
            if (others.stream().filter(other -> other.receiving).count() >= RECEIVING_MOST) {
                return false;
            }
            others.stream().filter(other -> !other.receiving).forEach(Call::abandon);
            receiving = true;
            return true;
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
            if (!takeAnswer(response)) {
                return;
            }
            if (!HttpUtil.isKeepAlive(response)) {
                failed("closed");
                return;
            }
            double early = askedMs + WATCH_GAP_MS - ground.nowMs();
            if (early > 0) {
                ground.schedule(
                        early,
                        () -> {
                            if (!abandoned) {
                                ask();
                            }
                        });
            } else {
                ask();
            }
        }

        /** False if the answer could not be used, and the call has failed. */
        private boolean takeAnswer(FullHttpResponse response) {
            EndpointListReader.Update list;
            try {
                list = reader.read(ByteBufUtil.getBytes(response.content()));
            } catch (EndpointListReader.BadList e) {
                LOG.atWarn()
                        .addKeyValue("fault", e.getMessage())
                        .log("a list from discovery can't be read; the last one stays");
                // What it would have changed is not known any more; only a whole list mends that.
                whole = true;
                failed("unreadable");
                return false;
            }
            if (whole && !list.whole()) {
                failed("changes where the whole list was asked for");
                return false;
            }
            if (!whole && list.index() < index) {
                // It is older than what is known; taken, it would tell engines to serve that have
                // begun to drain.
                failed("an older list");
                return false;
            }
            List.copyOf(open).stream().filter(other -> other != this).forEach(Call::abandon);
            updated = true;
            take(list);
            whole = false;
            againMs = AGAIN_FIRST_MS;
            if (firstUpdateWaiter != null) {
                firstUpdateWaiter.run();
            }
            return true;
        }

        private void failed(String why) {
            if (abandoned) {
                return;
            }
            abandon();
            LOG.atDebug().addKeyValue("why", why).log("discovery is asked again");
            double wait = againMs;
            againMs = Math.min(againMostMs, 2 * againMs);
            // A gap in the watch may hide changes; after one the whole list is asked for.
            whole = true;
            ground.schedule(
                    wait,
                    () -> {
                        if (open.isEmpty()) {
                            openCall();
                        }
                    });
        }

        void abandon() {
            abandoned = true;
            open.remove(this);
            stopTimer();
            if (channel != null) {
                channel.close();
            }
        }

        private void startTimer(double ms) {
            stopTimer();
            timer =
                    ground.schedule(
                            ms,
                            () -> {
                                timer = NO_TIMER;
                                failed("silent");
                            });
        }

        private void stopTimer() {
            if (timer != NO_TIMER) {
                ground.cancel(timer);
                timer = NO_TIMER;
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
