package larchridge.faultinjection;

import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelOption;

/** What the rig's listeners and proxies do to connections. */
final class TestChannels {
    private TestChannels() {}

    /** Ends a connection with a reset. */
    static void reset(Channel channel) {
        try {
            channel.config().setOption(ChannelOption.SO_LINGER, 0);
        } catch (ChannelException e) {
            // It is closed already.
            return;
        }
        channel.close();
    }
}
