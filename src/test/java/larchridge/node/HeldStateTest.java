package larchridge.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.CountDownLatch;
import larchridge.node.NodeFixture.Reply;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Read states whose write attempt gives no sign of having arrived. */
@Timeout(30)
class HeldStateTest extends NodeFixtureTest {
    /** The settings' time for a held state and the slack that the platform grants on top. */
    private static final double RELEASED_WITHIN_MS = 1000 + 300;

    private void assertReleasedInTime(String id, long readNanos) throws Exception {
        assertEquals("/v1/holds/" + id, scene.reader.next("DELETE").target());
        double tookMs = (System.nanoTime() - readNanos) / 1e6;
        assertTrue(tookMs < RELEASED_WITHIN_MS, "released after " + tookMs + " ms");
    }

    /**
     * The node can't tell an attempt that was lost on a silent connection from one that waits in
     * the engine's queue.
     */
    @Test
    void stateIsReleasedInTimeWhileItsWriteAttemptIsOutOnASilentConnection() throws Exception {
        scene.writer.script = seen -> new Reply(null, true);
        String id = NodeFixture.id();
        scene.client().send(NodeFixture.ask(id, ""));
        scene.reader.next("POST");
        assertReleasedInTime(id, System.nanoTime());
    }

    /**
     * The release that is sent in time frees nothing that a queued attempt waits for, so the
     * attempt stays out.
     */
    @Test
    void attemptThatWaitsInItsEnginesQueueIsServedAfterTheReleaseOfItsState() throws Exception {
        CountDownLatch released = new CountDownLatch(1);
        scene.writer.script =
                seen -> {
                    NodeFixture.await(released);
                    return new Reply(
                            NodeFixture.GOOD
                                    + NodeFixture.chunk(NodeFixture.EVENT + NodeFixture.END)
                                    + "0\r\n\r\n",
                            true);
                };
        String id = NodeFixture.id();
        NodeFixture.RawClient client = scene.client();
        client.send(NodeFixture.ask(id, ""));
        scene.reader.next("POST");
        assertReleasedInTime(id, System.nanoTime());
        released.countDown();
        NodeFixture.served(client);
        assertEquals(1, scene.writer.posts());
    }
}
