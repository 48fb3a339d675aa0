package larchridge.node.server;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.socket.DuplexChannel;
import larchridge.audit.CloseReason;

/** Closes a connection, gracefully or immediately, and keeps the reason. */
final class ConnectionCloser {
    private final Channel channel;
    private final double lingerMs;

    /** The default applies if the peer closes the connection before this side does. */
    private CloseReason reason = CloseReason.PEER;

    /** When this side shut down its output; NaN if it has not. */
    private double halfClosedMs = Double.NaN;

    ConnectionCloser(Channel channel, double lingerMs) {
        this.channel = channel;
        this.lingerMs = lingerMs;
    }

    CloseReason reason() {
        return reason;
    }

    /**
     * Records a reason unless there is one already: later reasons are only consequences of the
     * first.
     */
    void recordReason(CloseReason closeReason) {
        if (reason == CloseReason.PEER) {
            reason = closeReason;
        }
    }

    boolean isHalfClosed() {
        return !Double.isNaN(halfClosedMs);
    }

    /** Whether this side half-closed the connection longer than the linger time ago. */
    boolean isLingerOver(double nowMs) {
        return nowMs - halfClosedMs > lingerMs;
    }

    /** Closes immediately, even if received data is unread. */
    void closeNow(CloseReason closeReason) {
        recordReason(closeReason);
        channel.close();
    }

    /** Shuts down the output once all earlier writes have reached the socket. */
    void halfClose(double nowMs) {
        halfClosedMs = nowMs;
        channel.writeAndFlush(Unpooled.EMPTY_BUFFER)
                .addListener(flushed -> shutdownOutput(flushed.isSuccess()));
    }

    private void shutdownOutput(boolean flushed) {
        if (channel instanceof DuplexChannel duplex && flushed) {
            duplex.shutdownOutput();
        } else {
            closeNow(CloseReason.IO_FAILURE);
        }
    }
}
