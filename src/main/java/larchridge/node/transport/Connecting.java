package larchridge.node.transport;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import java.util.function.Consumer;
import larchridge.router.Scheduler;

/**
 * A connection on its way up. Where the system call for a socket fails, Netty completes the future
 * on a thread of its own, and its channel belongs to no loop: closing it throws. Here the end is
 * always told on the node's loop, and such a channel is never handed out.
 */
public final class Connecting {
    private Connecting() {}

    /** The channel, or null if there is none that could be used or closed. */
    public static Channel channelOf(ChannelFuture opening) {
        return opening.channel().isRegistered() ? opening.channel() : null;
    }

    /** Tells how it ended, on the loop; a failure never from inside this call. */
    public static void whenDone(
            ChannelFuture opening,
            Scheduler ground,
            Runnable connected,
            Consumer<ConnectFailure> failed) {
        opening.addListener(
                done -> {
                    if (done.isSuccess()) {
                        connected.run();
                    } else {
                        ConnectFailure failure = ConnectFailure.of(done.cause());
                        ground.execute(() -> failed.accept(failure));
                    }
                });
    }
}
