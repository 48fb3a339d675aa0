package larchridge.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import larchridge.node.NodeFixture.Reply;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * What is on its way when a node is told to end: connections, requests in parts, streams, releases.
 */
@Timeout(30)
class ShutdownTest extends NodeFixtureTest {
    private void tellToEnd() throws Exception {
        scene.node.end();
        scene.settled();
    }

    /** A connection that was served and rests. */
    private NodeFixture.RawClient resting() throws Exception {
        NodeFixture.RawClient client = scene.client();
        client.send(NodeFixture.ask(NodeFixture.id(), ""));
        NodeFixture.served(client);
        return client;
    }

    @Test
    void connectionThatHasNotAskedYetIsAnsweredWhenItAsks() throws Exception {
        NodeFixture.RawClient client = scene.client();
        scene.settled();
        tellToEnd();
        client.send(NodeFixture.ask(NodeFixture.id(), ""));
        String answer = NodeFixture.served(client);
        assertTrue(answer.toLowerCase(Locale.ROOT).contains("connection: close"), answer);
        assertEquals("", client.rest());
    }

    @Test
    void connectionThatNeverAsksDoesNotKeepTheNodeFromEnding() throws Exception {
        NodeFixture.RawClient client = scene.client();
        scene.settled();
        tellToEnd();
        assertTrue(client.rest().startsWith("HTTP/1.1 408 "));
        scene.node.awaitEnd();
    }

    @Test
    void requestOfWhichAPartHasComeIsAnswered() throws Exception {
        String request = NodeFixture.ask(NodeFixture.id(), "");
        int[] parts = {1, request.indexOf("Req-Kind"), request.indexOf("{\"model\"") + 3};
        NodeFixture.RawClient[] fresh = new NodeFixture.RawClient[parts.length];
        NodeFixture.RawClient[] kept = new NodeFixture.RawClient[parts.length];
        String[] freshRest = new String[parts.length];
        String[] keptRest = new String[parts.length];
        for (int i = 0; i < parts.length; i++) {
            String one = request.replaceFirst("Req-Id: \\w+", "Req-Id: " + NodeFixture.id());
            String two = request.replaceFirst("Req-Id: \\w+", "Req-Id: " + NodeFixture.id());
            fresh[i] = scene.client();
            kept[i] = resting();
            fresh[i].send(one.substring(0, parts[i]));
            kept[i].send(two.substring(0, parts[i]));
            freshRest[i] = one.substring(parts[i]);
            keptRest[i] = two.substring(parts[i]);
        }
        scene.settled();
        tellToEnd();
        for (int i = 0; i < parts.length; i++) {
            fresh[i].send(freshRest[i]);
            NodeFixture.served(fresh[i]);
            kept[i].send(keptRest[i]);
            NodeFixture.served(kept[i]);
        }
    }

    @Test
    void requestThatIsInTheSocketOfARestingConnectionIsAnswered() throws Exception {
        NodeFixture.RawClient client = resting();
        CountDownLatch goOn = scene.holdLoop();
        client.send(NodeFixture.ask(NodeFixture.id(), ""));
        scene.node.end();
        goOn.countDown();
        NodeFixture.served(client);
    }

    @Test
    void requestsSentAheadAreAnsweredAndTheLastAnswerSaysThatTheConnectionEnds() throws Exception {
        NodeFixture.Gate gate = scene.gateReads();
        NodeFixture.RawClient client = scene.held(gate, NodeFixture.id());
        String third = NodeFixture.ask(NodeFixture.id(), "");
        client.send(NodeFixture.ask(NodeFixture.id(), "") + third.substring(0, 20));
        scene.settled();
        tellToEnd();
        gate.open().countDown();
        for (int i = 0; i < 2; i++) {
            String answer = NodeFixture.served(client);
            assertTrue(!answer.toLowerCase(Locale.ROOT).contains("connection: close"), answer);
        }
        client.send(third.substring(20));
        assertTrue(
                NodeFixture.served(client).toLowerCase(Locale.ROOT).contains("connection: close"));
        assertEquals("", client.rest());
    }

    @Test
    void whatComesAfterARestingConnectionWasShutIsNotSentOn() throws Exception {
        NodeFixture.RawClient client = resting();
        tellToEnd();
        assertEquals("", client.rest());
        String id = NodeFixture.id();
        client.send(NodeFixture.ask(id, ""));
        scene.node.awaitEnd();
        assertTrue(scene.reader.seen.stream().noneMatch(seen -> id.equals(seen.header("Req-Id"))));
    }

    @Test
    void streamThatRunsIsPassedOnToItsEnd() throws Exception {
        CountDownLatch begun = new CountDownLatch(1);
        CountDownLatch goOn = new CountDownLatch(1);
        scene.writer.script =
                seen ->
                        new Reply(
                                NodeFixture.GOOD + NodeFixture.chunk(NodeFixture.EVENT),
                                true,
                                () -> {
                                    begun.countDown();
                                    NodeFixture.await(goOn);
                                    return NodeFixture.chunk(NodeFixture.EVENT + NodeFixture.END)
                                            + "0\r\n\r\n";
                                });
        NodeFixture.RawClient client = scene.client();
        client.send(NodeFixture.ask(NodeFixture.id(), ""));
        NodeFixture.await(begun);
        assertTrue(client.until("\"ab\"").startsWith("HTTP/1.1 200 "));
        tellToEnd();
        goOn.countDown();
        assertTrue(client.rest().endsWith("0\r\n\r\n"));
        scene.node.awaitEnd();
    }

    /** Each silent engine takes a fifth of the time that a state may be held, 200 ms here. */
    @Test
    void lastReleaseReachesAnEngineThatTakesItBeforeTheNodeEnds() throws Exception {
        scene.reader.silent = true;
        try (NodeFixture.Actor second = new NodeFixture.Actor(seen -> new Reply(null, true));
                NodeFixture.Actor third = new NodeFixture.Actor(seen -> new Reply(null, true))) {
            second.silent = true;
            third.silent = true;
            scene.listed.add(0, NodeFixture.row("r2", second.port(), "lectura", "SERVING", 0));
            scene.listed.add(0, NodeFixture.row("r3", third.port(), "lectura", "SERVING", 0));
            scene.changed();
            while (scene.node.engines() < 4) {
                scene.settled();
            }
            String id = NodeFixture.id();
            NodeFixture.RawClient client = scene.client();
            client.send(NodeFixture.ask(id, 700, ""));
            scene.settled();
            scene.node.end();
            assertTrue(client.answer().matches("(?s)HTTP/1.1 50[34] .*"));
            scene.node.awaitEnd();
            assertEquals("/v1/holds/" + id, scene.writer.next("DELETE").target());
        }
    }

    @Test
    void wordToEndBeforeAnythingIsBuiltEndsTheNode() throws Exception {
        Node node = Node.make(Map.of("PROXY_CONFIG", scene.file.toString(), "PROXY_NAME", "n1"));
        node.end();
        node.start();
        node.awaitEnd();
    }

    @Test
    void wordToEndWhileTheFirstListIsWaitedForEndsTheNode() throws Exception {
        CountDownLatch asked = new CountDownLatch(1);
        try (NodeFixture.Actor silent =
                new NodeFixture.Actor(
                        seen -> {
                            asked.countDown();
                            return new Reply(null, true);
                        })) {
            scene.configure(silent.port());
            Node node =
                    Node.make(Map.of("PROXY_CONFIG", scene.file.toString(), "PROXY_NAME", "n1"));
            Thread telling =
                    new Thread(
                            () -> {
                                NodeFixture.await(asked);
                                node.end();
                            });
            telling.start();
            node.start();
            node.awaitEnd();
        }
    }

    @Test
    void wordToEndGivenAgainAndANewConfigurationWhileEndingChangeNothing() throws Exception {
        NodeFixture.Gate gate = scene.gateReads();
        NodeFixture.RawClient client = scene.held(gate, NodeFixture.id());
        scene.node.end();
        scene.node.readAgain();
        scene.node.end();
        scene.settled();
        gate.open().countDown();
        NodeFixture.served(client);
        scene.node.awaitEnd();
        scene.node.end();
        scene.node.readAgain();
    }
}
