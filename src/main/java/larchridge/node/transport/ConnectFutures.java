package larchridge.node.transport;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import java.util.function.Consumer;
import larchridge.router.Scheduler;

/**
 * Completion of outgoing connection attempts. Where the system call for a socket fails, Netty
 * completes the future on a thread of its own, and its channel belongs to no event loop: closing it
 * throws. Here completion is always reported on the node's event loop, and such a channel is never
 * handed out.
 */
public final class ConnectFutures {
    private ConnectFutures() {}

    /** Returns the channel, or null if there is none that could be used or closed. */
    public static Channel usableChannel(ChannelFuture connectFuture) {
        return connectFuture.channel().isRegistered() ? connectFuture.channel() : null;
    }

    /**
     * Reports the result on the event loop.
     *
     * @param connectFuture the connection attempt
     * @param scheduler the node's event loop
     * @param onConnected runs when the connection is established
     * @param onFailure receives a failure; never called from inside this method
     */
    public static void whenComplete(
            ChannelFuture connectFuture,
            Scheduler scheduler,
            Runnable onConnected,
            Consumer<ConnectFailure> onFailure) {
        connectFuture.addListener(
                completed -> {
                    if (completed.isSuccess()) {
                        onConnected.run();
                    } else {
                        ConnectFailure failure = ConnectFailure.of(completed.cause());
                        scheduler.execute(() -> onFailure.accept(failure));
                    }
                });
    }
}
