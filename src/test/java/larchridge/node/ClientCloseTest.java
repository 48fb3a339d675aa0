package larchridge.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import larchridge.node.NodeFixture.Reply;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Clients that close at the worst moment: no attempt begins for them, and what was read for them is
 * released.
 */
@Timeout(30)
class ClientCloseTest extends NodeFixtureTest {
    /** Closes with a FIN, or with a reset that drops what the peer has not read. */
    private static void close(NodeFixture.RawClient client, boolean resets) throws Exception {
        if (resets) {
            client.socket.setSoLinger(true, 0);
        }
        client.close();
    }

    /**
     * Whether an engine got an attempt of this request, once a later request has been served from
     * end to end.
     */
    private boolean reached(NodeFixture.Actor engine, String id) throws Exception {
        NodeFixture.RawClient other = scene.client();
        other.send(NodeFixture.ask(NodeFixture.id(), ""));
        NodeFixture.served(other);
        return engine.seen.stream()
                .anyMatch(seen -> seen.method().equals("POST") && id.equals(seen.header("Req-Id")));
    }

    @Test
    void requestWhoseClientClosedRightBehindItIsNotSentOn() throws Exception {
        NodeFixture.RawClient kept = scene.client();
        kept.send(NodeFixture.ask(NodeFixture.id(), ""));
        NodeFixture.served(kept);
        for (NodeFixture.RawClient client : List.of(scene.client(), kept)) {
            scene.settled();
            CountDownLatch goOn = scene.holdLoop();
            String id = NodeFixture.id();
            client.send(NodeFixture.ask(id, ""));
            client.close();
            goOn.countDown();
            assertTrue(!reached(scene.reader, id));
        }
    }

    @Test
    void readThatEndsInTheTurnInWhichTheClientClosesIsReleasedAndNotWritten() throws Exception {
        for (boolean resets : new boolean[] {false, true}) {
            CountDownLatch answered = new CountDownLatch(1);
            CountDownLatch asked = new CountDownLatch(1);
            CountDownLatch open = new CountDownLatch(1);
            scene.reader.script =
                    seen -> {
                        asked.countDown();
                        NodeFixture.await(open);
                        return new Reply(
                                NodeFixture.read(0),
                                true,
                                () -> {
                                    answered.countDown();
                                    return "";
                                });
                    };
            String id = NodeFixture.id();
            NodeFixture.RawClient client = scene.client();
            client.send(NodeFixture.ask(id, ""));
            NodeFixture.await(asked);
            CountDownLatch goOn = scene.holdLoop();
            open.countDown();
            NodeFixture.await(answered);
            close(client, resets);
            goOn.countDown();
            assertEquals("/v1/holds/" + id, scene.reader.next("DELETE").target());
            assertTrue(!reached(scene.writer, id), "resets " + resets);
        }
    }

    @Test
    void requestSentAheadOfTheAnswerIsNotSentOnForAClientThatClosedAsItCame() throws Exception {
        CountDownLatch begun = new CountDownLatch(1);
        CountDownLatch open = new CountDownLatch(1);
        scene.writer.script =
                seen ->
                        new Reply(
                                NodeFixture.GOOD + NodeFixture.chunk(NodeFixture.EVENT),
                                true,
                                () -> {
                                    begun.countDown();
                                    NodeFixture.await(open);
                                    return NodeFixture.chunk(NodeFixture.EVENT + NodeFixture.END)
                                            + "0\r\n\r\n";
                                });
        String ahead = NodeFixture.id();
        NodeFixture.RawClient client = scene.client();
        client.send(NodeFixture.ask(NodeFixture.id(), "") + NodeFixture.ask(ahead, ""));
        NodeFixture.await(begun);
        client.until("\"ab\"");
        scene.writer.script =
                seen ->
                        new Reply(
                                NodeFixture.GOOD
                                        + NodeFixture.chunk(NodeFixture.EVENT + NodeFixture.END)
                                        + "0\r\n\r\n",
                                true);
        CountDownLatch goOn = scene.holdLoop();
        open.countDown();
        scene.writer.settled();
        client.close();
        goOn.countDown();
        assertTrue(!reached(scene.reader, ahead));
    }

    /**
     * The first attempt is silent; the second falls due while the loop is held, and so does the
     * client's close.
     */
    @Test
    void furtherAttemptThatFallsDueInTheTurnInWhichTheClientClosesIsNotSent() throws Exception {
        CountDownLatch first = new CountDownLatch(1);
        try (NodeFixture.Actor second =
                new NodeFixture.Actor(
                        seen -> {
                            first.countDown();
                            return new Reply(null, true);
                        })) {
            scene.reader.script = second.script;
            scene.listed.add(NodeFixture.row("r2", second.port(), "lectura", "SERVING", 0));
            scene.changed();
            while (scene.node.engines() < 3) {
                scene.settled();
            }
            NodeFixture.RawClient client = scene.client();
            client.send(NodeFixture.ask(NodeFixture.id(), ""));
            NodeFixture.await(first);
            CountDownLatch goOn = scene.holdLoop();
            // Longer than the module waits for a silent reader, so that the second attempt is due
            // when the loop goes on.
            TimeUnit.MILLISECONDS.sleep(1500);
            client.close();
            goOn.countDown();
            scene.settled();
            scene.settled();
            long attempts = scene.reader.posts() + second.posts();
            assertEquals(1, attempts);
        }
    }

    @Test
    void halfARequestThatIsClosedReachesNoEngine() throws Exception {
        for (boolean resets : new boolean[] {false, true}) {
            String id = NodeFixture.id();
            String request = NodeFixture.ask(id, "");
            NodeFixture.RawClient client = scene.client();
            client.send(request.substring(0, request.length() - 4));
            scene.settled();
            close(client, resets);
            assertTrue(!reached(scene.reader, id));
            assertEquals(0, scene.node.openRequests());
        }
    }
}
