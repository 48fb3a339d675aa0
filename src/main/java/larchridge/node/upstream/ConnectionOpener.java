package larchridge.node.upstream;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import larchridge.upstream.Endpoint;

/** Opens connections to engines; tests replace sockets with embedded channels. */
public interface ConnectionOpener {
    /** Starts connecting to an endpoint and installs the handlers on the channel. */
    ChannelFuture open(Endpoint endpoint, ChannelInitializer<Channel> handlers);
}
