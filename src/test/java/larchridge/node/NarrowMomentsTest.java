package larchridge.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Two rare conditions that meet, each harmless alone. */
@Timeout(30)
class NarrowMomentsTest extends NodeFixtureTest {
    /**
     * Clients that stop in the middle are owed an error or a close so long after they connected.
     */
    private static final double STOPPED_CLIENT_MS = 3000;

    /** Requests that come later than this after SIGTERM must not be found under way by SIGKILL. */
    private static final long TAKEN_AFTER_TERM_MS = 700;

    @Test
    void clientThatIsSlowWithItsHeadAndStopsInItsBodyIsAnsweredInTime() throws Exception {
        long connected = System.nanoTime();
        NodeFixture.RawClient client = scene.client();
        String head = NodeFixture.ask(NodeFixture.id(), "");
        int middle = head.indexOf("Req-Key");
        TimeUnit.MILLISECONDS.sleep(1500);
        client.send(head.substring(0, middle));
        TimeUnit.MILLISECONDS.sleep(400);
        client.send(head.substring(middle, head.length() - 5));
        assertTrue(client.rest().startsWith("HTTP/1.1 408 "));
        double tookMs = (System.nanoTime() - connected) / 1e6;
        assertTrue(tookMs < STOPPED_CLIENT_MS, "after " + tookMs + " ms");
    }

    /**
     * The word to end itself may be handled 0.15 s late, and what is taken on counts from when it
     * was given.
     */
    @Test
    void requestThatComesLongAfterTheWordToEndIsNotTakenOn() throws Exception {
        NodeFixture.RawClient fresh = scene.client();
        scene.settled();
        scene.node.end();
        sleep(TAKEN_AFTER_TERM_MS - 150);
        fresh.send(NodeFixture.ask(NodeFixture.id(), ""));
        assertTrue(fresh.answer().startsWith("HTTP/1.1 503 "));
        assertEquals(0, scene.reader.posts());
    }

    /**
     * A read of the file fails for a moment, as where descriptors are short, or finds it half
     * written.
     */
    @Test
    void configurationThatCannotBeReadAtOnceIsReadAgain() throws Exception {
        try (NodeFixture.Actor moved = new NodeFixture.Actor(scene.discovery.script)) {
            for (boolean halfWritten : new boolean[] {false, true}) {
                Files.delete(scene.file);
                if (halfWritten) {
                    Files.writeString(scene.file, "{\"name\":\"n1\",");
                }
                scene.node.readAgain();
                scene.settled();
                moved.seen.clear();
                scene.configure(moved.port());
                assertTrue(
                        moved.seen.poll(2, TimeUnit.SECONDS) != null,
                        "the new configuration was never followed");
            }
        }
    }

    private static void sleep(long ms) {
        try {
            TimeUnit.MILLISECONDS.sleep(ms);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }
}
