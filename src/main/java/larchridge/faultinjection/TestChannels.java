package larchridge.faultinjection;

import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelOption;

/** Channel operations shared by the listeners and proxies of the test harness. */
final class TestChannels {
    private TestChannels() {}

    /** Closes a connection with a TCP reset. */
    static void reset(Channel channel) {
        try {
            channel.config().setOption(ChannelOption.SO_LINGER, 0);
        } catch (ChannelException e) {
            // The channel is already closed.
            return;
        }
        channel.close();
    }
}
