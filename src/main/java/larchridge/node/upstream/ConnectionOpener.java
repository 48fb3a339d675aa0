package larchridge.node.upstream;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import larchridge.upstream.Endpoint;

/** Opens connections to engines: sockets in service, channels without sockets in tests. */
public interface ConnectionOpener {
    /** Starts to open a connection to an endpoint and installs the handlers on its channel. */
    ChannelFuture open(Endpoint endpoint, ChannelInitializer<Channel> handlers);
}
