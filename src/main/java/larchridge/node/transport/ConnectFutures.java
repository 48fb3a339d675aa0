package larchridge.node.transport;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import java.util.function.Consumer;
import larchridge.router.Scheduler;

/**
 * Reports the completion of outgoing connection attempts. If the system call for a socket fails,
 * Netty completes the future on a thread of its own, and its channel is registered with no event
 * loop: closing it throws. Here completion is always reported on the node's event loop, and such a
 * channel is never returned.
 */
public final class ConnectFutures {
    private ConnectFutures() {}

    /** Returns the channel, or null if it can be neither used nor closed. */
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
