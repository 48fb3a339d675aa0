package larchridge.node.server;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.socket.DuplexChannel;
import larchridge.audit.CloseReason;

/** Closes a connection, in two steps or at once, and keeps the reason for it. */
final class ConnectionCloser {
    private final Channel channel;
    private final double lingerMs;

    /** The peer closes the connection as long as this side does not. */
    private CloseReason reason = CloseReason.PEER;

    /** When this side shut its output down; NaN as long as it has not. */
    private double halfClosedMs = Double.NaN;

    ConnectionCloser(Channel channel, double lingerMs) {
        this.channel = channel;
        this.lingerMs = lingerMs;
    }

    CloseReason reason() {
        return reason;
    }

    /** The first reason counts; what follows from it is no reason of its own. */
    void recordReason(CloseReason closeReason) {
        if (reason == CloseReason.PEER) {
            reason = closeReason;
        }
    }

    boolean isHalfClosed() {
        return !Double.isNaN(halfClosedMs);
    }

    /** Whether the peer has not closed its side in the time granted. */
    boolean isLingerOver(double nowMs) {
        return nowMs - halfClosedMs > lingerMs;
    }

    /** Closes at once, whatever is unread. */
    void closeNow(CloseReason closeReason) {
        recordReason(closeReason);
        channel.close();
    }

    /** Shuts the output down once all that was written before is on the socket. */
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
