package larchridge.node.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.channel.ChannelException;
import io.netty.channel.ConnectTimeoutException;
import java.io.IOException;
import java.net.BindException;
import java.net.ConnectException;
import java.net.NoRouteToHostException;
import java.net.SocketException;
import java.nio.channels.ClosedChannelException;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Classification of socket and connect failures as the JVM reports them. */
class ConnectFailureTest {
    @Test
    void refusalsTimeoutsAndUnreachableHostsAreFailuresOfThePeer() {
        for (Throwable cause :
                List.of(
                        new ConnectException("Connection refused"),
                        new ConnectException("Connection timed out"),
                        new ConnectTimeoutException("connection timed out after 250 ms"),
                        new NoRouteToHostException("No route to host"),
                        new ClosedChannelException())) {
            assertEquals(ConnectFailure.PEER, ConnectFailure.of(cause), cause.toString());
        }
    }

    @Test
    void shortagesOfThisMachineAreLocal() {
        for (Throwable cause :
                List.of(
                        new ChannelException(
                                "Failed to open a socket.",
                                new SocketException("Too many open files")),
                        new SocketException("No buffer space available"),
                        new BindException("Cannot assign requested address"),
                        new SocketException("Network is unreachable"),
                        new IOException("Too many open files in system"))) {
            assertEquals(ConnectFailure.LOCAL, ConnectFailure.of(cause), cause.toString());
        }
    }
}
