package larchridge.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** A node that starts while its address is still in use, for example by the previous process. */
@Timeout(60)
class ListenTest {
    private static final int DESCRIPTORS = 400;
    private static final long TAKEN_MS = 2000;
    private static final double READY_MS = 2000;
    private static final long ENDED_SECONDS = 25;

    @TempDir Path folder;

    @Test
    void addressThatIsBrieflyInUseIsBoundOnceItIsFree() throws Exception {
        ServerSocket before = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        try (NodeProcess node = new NodeProcess(folder, DESCRIPTORS, before.getLocalPort())) {
            TimeUnit.MILLISECONDS.sleep(TAKEN_MS);
            before.close();
            long free = System.nanoTime();
            node.awaitReady();
            double tookMs = (System.nanoTime() - free) / 1e6;
            assertTrue(tookMs < READY_MS, "ready after " + tookMs + " ms");
        }
    }

    @Test
    void addressThatStaysInUseEndsTheProcessWithAnError() throws Exception {
        try (ServerSocket other = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
                NodeProcess node = new NodeProcess(folder, DESCRIPTORS, other.getLocalPort())) {
            assertTrue(
                    node.process.waitFor(ENDED_SECONDS, TimeUnit.SECONDS),
                    "the process neither serves nor exits");
            assertEquals(1, node.process.exitValue());
            assertTrue(node.log().contains("listen"), node.log());
        }
    }
}
