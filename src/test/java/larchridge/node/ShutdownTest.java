package larchridge.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import java.util.concurrent.CountDownLatch;
import larchridge.node.Scene.Reply;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * What is on its way when a node is told to end: connections, requests in parts, streams, releases.
 */
@Timeout(30)
class ShutdownTest extends SceneTest {
    private void tellToEnd() throws Exception {
        scene.node.end();
        scene.settled();
    }

    /** A connection that was served and rests. */
    private Scene.RawClient resting() throws Exception {
        Scene.RawClient client = scene.client();
        client.send(Scene.ask(Scene.id(), ""));
        Scene.served(client);
        return client;
    }

    @Test
    void connectionThatHasNotAskedYetIsAnsweredWhenItAsks() throws Exception {
        Scene.RawClient client = scene.client();
        scene.settled();
        tellToEnd();
        client.send(Scene.ask(Scene.id(), ""));
        String answer = Scene.served(client);
        assertTrue(answer.toLowerCase().contains("connection: close"), answer);
        assertEquals("", client.rest());
    }

    @Test
    void connectionThatNeverAsksDoesNotKeepTheNodeFromEnding() throws Exception {
        Scene.RawClient client = scene.client();
        scene.settled();
        tellToEnd();
        assertTrue(client.rest().startsWith("HTTP/1.1 408 "));
        scene.node.awaitEnd();
    }

    @Test
    void requestOfWhichAPartHasComeIsAnswered() throws Exception {
        String request = Scene.ask(Scene.id(), "");
        int[] parts = {1, request.indexOf("Req-Kind"), request.indexOf("{\"model\"") + 3};
        Scene.RawClient[] fresh = new Scene.RawClient[parts.length];
        Scene.RawClient[] kept = new Scene.RawClient[parts.length];
        String[] freshRest = new String[parts.length];
        String[] keptRest = new String[parts.length];
        for (int i = 0; i < parts.length; i++) {
            String one = request.replaceFirst("Req-Id: \\w+", "Req-Id: " + Scene.id());
            String two = request.replaceFirst("Req-Id: \\w+", "Req-Id: " + Scene.id());
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
            Scene.served(fresh[i]);
            kept[i].send(keptRest[i]);
            Scene.served(kept[i]);
        }
    }

    @Test
    void requestThatIsInTheSocketOfARestingConnectionIsAnswered() throws Exception {
        Scene.RawClient client = resting();
        CountDownLatch goOn = scene.holdLoop();
        client.send(Scene.ask(Scene.id(), ""));
        scene.node.end();
        goOn.countDown();
        Scene.served(client);
    }

    @Test
    void requestsSentAheadAreAnsweredAndTheLastAnswerSaysThatTheConnectionEnds() throws Exception {
        Scene.Gate gate = scene.gateReads();
        Scene.RawClient client = scene.held(gate, Scene.id());
        String third = Scene.ask(Scene.id(), "");
        client.send(Scene.ask(Scene.id(), "") + third.substring(0, 20));
        scene.settled();
        tellToEnd();
        gate.open().countDown();
        for (int i = 0; i < 2; i++) {
            String answer = Scene.served(client);
            assertTrue(!answer.toLowerCase().contains("connection: close"), answer);
        }
        client.send(third.substring(20));
        assertTrue(Scene.served(client).toLowerCase().contains("connection: close"));
        assertEquals("", client.rest());
    }

    @Test
    void whatComesAfterARestingConnectionWasShutIsNotSentOn() throws Exception {
        Scene.RawClient client = resting();
        tellToEnd();
        assertEquals("", client.rest());
        String id = Scene.id();
        client.send(Scene.ask(id, ""));
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
                                Scene.GOOD + Scene.chunk(Scene.EVENT),
                                true,
                                () -> {
                                    begun.countDown();
                                    Scene.await(goOn);
                                    return Scene.chunk(Scene.EVENT + Scene.END) + "0\r\n\r\n";
                                });
        Scene.RawClient client = scene.client();
        client.send(Scene.ask(Scene.id(), ""));
        Scene.await(begun);
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
        try (Scene.Actor second = new Scene.Actor(seen -> new Reply(null, true));
                Scene.Actor third = new Scene.Actor(seen -> new Reply(null, true))) {
            second.silent = true;
            third.silent = true;
            scene.listed.add(0, Scene.row("r2", second.port(), "lectura", "SERVING", 0));
            scene.listed.add(0, Scene.row("r3", third.port(), "lectura", "SERVING", 0));
            scene.changed();
            while (scene.node.engines() < 4) {
                scene.settled();
            }
            String id = Scene.id();
            Scene.RawClient client = scene.client();
            client.send(Scene.ask(id, 700, ""));
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
        try (Scene.Actor silent =
                new Scene.Actor(
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
                                Scene.await(asked);
                                node.end();
                            });
            telling.start();
            node.start();
            node.awaitEnd();
        }
    }

    @Test
    void wordToEndGivenAgainAndANewConfigurationWhileEndingChangeNothing() throws Exception {
        Scene.Gate gate = scene.gateReads();
        Scene.RawClient client = scene.held(gate, Scene.id());
        scene.node.end();
        scene.node.readAgain();
        scene.node.end();
        scene.settled();
        gate.open().countDown();
        Scene.served(client);
        scene.node.awaitEnd();
        scene.node.end();
        scene.node.readAgain();
    }
}
