package larchridge.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import larchridge.node.Scene.Reply;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Read states whose write attempt gives no sign of having arrived. */
@Timeout(30)
class HeldStateTest extends SceneTest {
    /** The settings' time for a held state and the slack that the platform grants on top. */
    private static final double RELEASED_WITHIN_MS = 1000 + 300;

    private void assertReleasedInTime(String id, long readNanos) throws Exception {
        assertEquals("/v1/holds/" + id, scene.reader.next("DELETE").target());
        double tookMs = (System.nanoTime() - readNanos) / 1e6;
        assertTrue(tookMs < RELEASED_WITHIN_MS, "released after " + tookMs + " ms");
    }

    /** The node can't tell an attempt that was lost on a silent connection from one that waits in the engine's queue. */
    @Test
    void stateIsReleasedInTimeWhileItsWriteAttemptIsOutOnASilentConnection() throws Exception {
        scene.writer.script = seen -> new Reply(null, true);
        String id = Scene.id();
        scene.client().send(Scene.ask(id, ""));
        scene.reader.next("POST");
        assertReleasedInTime(id, System.nanoTime());
    }
}
