package larchridge.node.server;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpResponseEncoder;
import java.io.IOException;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Stream;
import larchridge.audit.CloseReason;
import larchridge.audit.ConnectionSide;
import larchridge.audit.RequestEvents;
import larchridge.metrics.RouterMetrics;
import larchridge.router.Router;
import larchridge.router.Scheduler;
import larchridge.site.ProductOffering;
import larchridge.site.Site;
import larchridge.state.TrafficClass;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Clients' side of a node: the listener, its connections and their bounds. What one connection says
 * is read by its {@link ClientConnection}. All methods run on the loop.
 */
public final class HttpServer {
    private static final int IDS = 4096;
    private static final double CHECK_MS = 200;
    private static final double EMPTY_LOOK_MS = 20;
    private static final Logger LOG = LoggerFactory.getLogger(HttpServer.class);

    final Router front;
    final Site site;
    final Map<String, ProductOffering> offers = new HashMap<>();
    final ServerLimits bounds;
    final Scheduler ground;
    final RequestEvents events;
    private final RouterMetrics meters;
    private final EventLoopGroup loop;
    private final ByteBufAllocator buffers;

    /** Connections without a request, longest first. */
    private final Set<ClientConnection> idle = new LinkedHashSet<>();

    /** Connections on which a part of a request has come, longest first. */
    private final Set<ClientConnection> receiving = new LinkedHashSet<>();

    /** Connections that this side has ended and reads on for a while, longest first. */
    private final Set<ClientConnection> ending = new LinkedHashSet<>();

    private final Set<ClientConnection> all = new LinkedHashSet<>();

    /** Ids of open generations, and of those that ended last: none is taken twice. */
    private final Set<String> openRequestCount = new HashSet<>();

    private final Set<String> endedIds = new LinkedHashSet<>();
    private Channel listener;
    private long bufferedBodyBytes;
    private boolean markReady;
    private boolean closing;
    private boolean stopAccepting;

    public HttpServer(
            EventLoopGroup loop,
            ByteBufAllocator buffers,
            Scheduler ground,
            Router front,
            Site site,
            Collection<TrafficClass> products,
            ServerLimits bounds,
            RequestEvents events,
            RouterMetrics meters) {
        this.events = events;
        this.meters = meters;
        this.loop = loop;
        this.buffers = buffers;
        this.ground = ground;
        this.front = front;
        this.site = site;
        this.bounds = bounds;
        for (TrafficClass product : products) {
            // Each request brings its own time limit.
            offers.put(
                    product.name,
                    new ProductOffering(
                            product,
                            product,
                            product.name,
                            Double.POSITIVE_INFINITY,
                            0,
                            Integer.MAX_VALUE,
                            null));
        }
        ground.scheduleAtFixedDelay(CHECK_MS, this::checkTimeouts);
    }

    /**
     * Listens; fails if the address can't be had now. Not to be called on the loop. The failure is
     * told by this method's own exception: Netty throws that of the system call as it is, without
     * declaring it.
     */
    public void listen(String host, int port) throws IOException, InterruptedException {
        ChannelFuture binding =
                new ServerBootstrap()
                        .group(loop)
                        .channel(NioServerSocketChannel.class)
                        .option(ChannelOption.SO_BACKLOG, 1024)
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .handler(new AcceptFailureHandler())
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childOption(ChannelOption.ALLOCATOR, buffers)
                        .childHandler(
                                new ChannelInitializer<Channel>() {
                                    @Override
                                    protected void initChannel(Channel channel) {
                                        addConnection(channel);
                                    }
                                })
                        .bind(host, port)
                        .await();
        if (!binding.isSuccess()) {
            throw new IOException(binding.cause().getMessage(), binding.cause());
        }
        Channel bound = binding.channel();
        loop.next().submit(() -> listens(bound)).await();
    }

    /** A node may be told to end while it opens its listener. */
    private void listens(Channel bound) {
        listener = bound;
        if (stopAccepting) {
            listener.close();
        }
    }

    public int port() {
        return ((java.net.InetSocketAddress) listener.localAddress()).getPort();
    }

    /** From now on the node says that it can serve. */
    public void markReady() {
        markReady = true;
    }

    boolean isReady() {
        return markReady && !closing;
    }

    /**
     * Says that no more is wanted, still takes what comes, and keeps no connection that was served
     * and rests.
     */
    public void startDraining() {
        closing = true;
        List.copyOf(idle).forEach(ClientConnection::closeIfServed);
    }

    boolean isClosing() {
        return closing;
    }

    /** Takes no more connections. */
    public void stopAccepting() {
        stopAccepting = true;
        if (listener != null) {
            listener.close();
        }
    }

    /**
     * Runs once no client's connection is open any more; each that this side ends is gone after a
     * while at the latest.
     */
    public void whenNoConnections(Runnable then) {
        if (all.isEmpty()) {
            then.run();
        } else {
            ground.schedule(EMPTY_LOOK_MS, () -> whenNoConnections(then));
        }
    }

    public int connectionCount() {
        return all.size();
    }

    /** Ids of requests that are open. */
    public int openRequestCount() {
        return openRequestCount.size();
    }

    /** Bytes of bodies in memory. */
    public long bufferedBodyBytes() {
        return bufferedBodyBytes;
    }

    // ------------------------------------------------------------------ connections

    /** Takes a client's connection. */
    public void addConnection(Channel channel) {
        ClientConnection client = new ClientConnection(this, channel);
        channel.pipeline().addLast(client.decoder(), new HttpResponseEncoder(), client);
        all.add(client);
        idle.add(client);
        if (all.size() > bounds.maxConnections()) {
            makeRoom(client);
        }
    }

    /**
     * Ends, at once, one that ends anyway, else the one without a request for longest, else the one
     * whose request has been under way for longest. Guards against: one that has just come is about
     * to ask, and its client loses that request. And the end of a connection is told later than the
     * next one comes: one that is to end no longer counts, or a crowd that comes at once would have
     * the same one ended again and again and take all descriptors.
     */
    private void makeRoom(ClientConnection newest) {
        ClientConnection client =
                Stream.of(ending, idle, receiving)
                        .flatMap(Set::stream)
                        .filter(one -> one != newest)
                        .findFirst()
                        .orElse(newest);
        left(client);
        client.closeNow(CloseReason.NO_ROOM);
    }

    /** The connection has an open request. */
    void serving(ClientConnection client) {
        idle.remove(client);
        receiving.remove(client);
    }

    /** A part of a request has come on the connection. */
    void receiving(ClientConnection client) {
        idle.remove(client);
        if (isOpen(client)) {
            receiving.add(client);
        }
    }

    /** The connection has no request. */
    void idle(ClientConnection client) {
        receiving.remove(client);
        if (isOpen(client)) {
            idle.add(client);
        }
    }

    /** This side has ended the connection and reads on. */
    void ending(ClientConnection client) {
        serving(client);
        if (all.contains(client)) {
            ending.add(client);
        }
    }

    private boolean isOpen(ClientConnection client) {
        return all.contains(client) && !ending.contains(client);
    }

    void left(ClientConnection client) {
        serving(client);
        ending.remove(client);
        all.remove(client);
    }

    /** A connection has ended. */
    void closed(CloseReason reason) {
        events.connectionClosed(ConnectionSide.CLIENT, reason);
    }

    /** A request was refused before it was taken. */
    void refused(RequestRejection refusal) {
        meters.requestRejected(refusal.tag());
        LOG.atDebug().addKeyValue("reason", refusal).log("request refused");
    }

    private void checkTimeouts() {
        double now = ground.nowMs();
        for (ClientConnection client : List.copyOf(all)) {
            client.checkTimeouts(now);
        }
    }

    // ------------------------------------------------------------------ bodies and ids

    boolean mayHold(int bytes) {
        return bufferedBodyBytes + bytes <= bounds.maxBufferedBytes();
    }

    void holds(int bytes) {
        bufferedBodyBytes += bytes;
    }

    /** Notes an id as taken; false if it was taken lately or still is. */
    boolean takeId(String id) {
        return !endedIds.contains(id) && openRequestCount.add(id);
    }

    void endId(String id) {
        openRequestCount.remove(id);
        endedIds.add(id);
        if (endedIds.size() > IDS) {
            endedIds.remove(endedIds.iterator().next());
        }
    }
}
