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
import java.net.InetSocketAddress;
import larchridge.node.transport.ConnectionBuffers;

/**
 * The HTTP server of a node for its clients: the listener and the lifecycle of its connections.
 * Each connection is served by its {@link ClientConnection}. All methods run on the event loop
 * unless stated otherwise.
 */
public final class HttpServer {
    private static final int ACCEPT_BACKLOG = 1024;
    private static final double TIMEOUT_CHECK_INTERVAL_MS = 200;
    private static final double CONNECTIONS_CHECK_INTERVAL_MS = 20;

    private final ServerContext context;
    private final RequestDispatcher dispatcher;
    private Channel listener;
    private boolean stoppedAccepting;

    /** Creates a server that does not listen yet. */
    public HttpServer(ServerDependencies dependencies) {
        context = new ServerContext(dependencies);
        dispatcher = new RequestDispatcher(context, dependencies.trafficClasses());
        context.scheduler.scheduleAtFixedDelay(TIMEOUT_CHECK_INTERVAL_MS, this::checkTimeouts);
    }

    /**
     * Starts listening; fails if the address is not available. Must not be called on the event
     * loop. Every failure is wrapped in an IOException: Netty would throw the exception of the
     * system call undeclared.
     */
    public void listen(EventLoopGroup eventLoops, ByteBufAllocator allocator, String host, int port)
            throws IOException, InterruptedException {
        ChannelFuture bindFuture =
                new ServerBootstrap()
                        .group(eventLoops)
                        .channel(NioServerSocketChannel.class)
                        .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .handler(new AcceptFailureHandler())
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childOption(ChannelOption.ALLOCATOR, allocator)
                        .childOption(ChannelOption.RECVBUF_ALLOCATOR, ConnectionBuffers.readSizes())
                        .childOption(
                                ChannelOption.WRITE_BUFFER_WATER_MARK,
                                ConnectionBuffers.writeLimits())
                        .childHandler(
                                new ChannelInitializer<Channel>() {
                                    @Override
                                    protected void initChannel(Channel channel) {
                                        addConnection(channel);
                                    }
                                })
                        .bind(host, port)
                        .await();
        if (!bindFuture.isSuccess()) {
            throw new IOException(bindFuture.cause().getMessage(), bindFuture.cause());
        }
        Channel bound = bindFuture.channel();
        eventLoops.next().submit(() -> listenerBound(bound)).await();
    }

    /** The server may have been stopped while the listener was being opened. */
    private void listenerBound(Channel bound) {
        listener = bound;
        if (stoppedAccepting) {
            listener.close();
        }
    }

    /** The port of the listener; callable from any thread once {@link #listen} has returned. */
    public int port() {
        return ((InetSocketAddress) listener.localAddress()).getPort();
    }

    /** Starts serving a client connection. */
    public void addConnection(Channel channel) {
        ClientConnection connection = new ClientConnection(context, dispatcher, channel);
        channel.pipeline().addLast(connection.decoder(), new HttpResponseEncoder(), connection);
        context.connections.add(connection);
    }

    private void checkTimeouts() {
        double nowMs = context.scheduler.nowMs();
        for (ClientConnection connection : context.connections.copyOfAll()) {
            connection.checkTimeouts(nowMs);
        }
    }

    /** Makes health checks succeed from now on. */
    public void markReady() {
        context.markReady();
    }

    /**
     * Makes health checks fail from now on and closes each connection after its last response; idle
     * ones that have had a request are closed now. New connections and requests are still served.
     */
    public void startDraining() {
        context.startDraining();
        context.connections.copyOfIdle().forEach(ClientConnection::closeIfIdleAfterRequest);
    }

    /** Stops accepting connections. */
    public void stopAccepting() {
        stoppedAccepting = true;
        if (listener != null) {
            listener.close();
        }
    }

    /**
     * Runs an action once no client connection is open. A connection that this side half-closes
     * stays open for {@link ServerLimits#lingerMs} at most.
     */
    public void whenNoConnections(Runnable action) {
        if (context.connections.isEmpty()) {
            action.run();
        } else {
            context.scheduler.schedule(
                    CONNECTIONS_CHECK_INTERVAL_MS, () -> whenNoConnections(action));
        }
    }

    /** Number of open client connections. */
    public int connectionCount() {
        return context.connections.size();
    }

    /** Number of requests in flight, counted by their ids. */
    public int openRequestCount() {
        return context.requestIds.inFlightCount();
    }

    /** Number of bytes of memory that is reserved for requests. */
    public long reservedRequestBytes() {
        return context.requestMemory.reservedBytes();
    }
}
