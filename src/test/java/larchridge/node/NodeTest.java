package larchridge.node;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;
import larchridge.node.NodeFixture.Reply;
import larchridge.node.NodeFixture.Seen;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** A node between raw sockets; judged from the bytes that engines and clients saw. */
@Timeout(30)
class NodeTest extends NodeFixtureTest {
    private static String events(String answer) {
        StringBuilder all = new StringBuilder();
        int at = answer.indexOf("\r\n\r\n") + 4;
        while (at < answer.length()) {
            int line = answer.indexOf("\r\n", at);
            int size = Integer.parseInt(answer.substring(at, line), 16);
            all.append(answer, line + 2, line + 2 + size);
            at = line + 2 + size + 2;
        }
        return all.toString();
    }

    @Test
    void requestGoesUnchangedToReaderThenWriterAndEventsComeBackAsTheyWere() throws Exception {
        String id = NodeFixture.id();
        NodeFixture.RawClient client = scene.client();
        client.send(NodeFixture.ask(id, ""));
        String answer = NodeFixture.served(client);
        assertEquals(NodeFixture.EVENT + NodeFixture.EVENT + NodeFixture.END, events(answer));
        for (NodeFixture.Actor engine : new NodeFixture.Actor[] {scene.reader, scene.writer}) {
            Seen seen = engine.next("POST");
            assertEquals("/v1/chat/completions?v=1", seen.target());
            assertEquals(id, seen.header("Req-Id"));
            assertEquals("{\"model\":\"consulta\",\"stream\":true,\"messages\":[]}", seen.body());
            assertTrue(Integer.parseInt(seen.header("Req-Deadline-Ms")) <= 4000);
            assertNull(seen.header("Transfer-Encoding"));
        }
        // The same connection serves the next request, and nothing of the first is left to let go
        // of.
        client.send(NodeFixture.ask(NodeFixture.id(), ""));
        NodeFixture.served(client);
        assertTrue(scene.writer.seen.stream().noneMatch(seen -> seen.method().equals("DELETE")));
    }

    @Test
    void headersOfTheRequestGoOnAndThoseOfTheConnectionStay() throws Exception {
        NodeFixture.RawClient client = scene.client();
        client.send(
                NodeFixture.ask(
                        NodeFixture.id(),
                        "Idempotency-Key: 7c1e\r\nx-Any: one\r\nX-Any: two\r\nConnection: keep-alive, X-Hop\r\n"
                                + "X-Hop: here\r\nKeep-Alive: timeout=5\r\nTE: trailers\r\n"));
        NodeFixture.served(client);
        for (NodeFixture.Actor engine : new NodeFixture.Actor[] {scene.reader, scene.writer}) {
            Seen seen = engine.next("POST");
            assertEquals("7c1e", seen.header("Idempotency-Key"));
            assertEquals("consulta", seen.header("Req-Kind"));
            assertTrue(
                    seen.head()
                            .toLowerCase(Locale.ROOT)
                            .replace("\r\n", "|")
                            .contains("|x-any: one|x-any: two|"),
                    seen.head());
            for (String name : new String[] {"X-Hop", "Keep-Alive", "TE", "Connection"}) {
                assertNull(seen.header(name), name);
            }
            assertEquals(1, seen.head().split("(?i)\r\nReq-Id:").length - 1);
            assertEquals(1, seen.head().split("(?i)\r\nReq-Deadline-Ms:").length - 1);
            assertEquals(1, seen.head().split("(?i)\r\nContent-Length:").length - 1);
            assertEquals(1, seen.head().split("(?i)\r\nHost:").length - 1);
        }
    }

    @Test
    void requestsSentAheadAreAnsweredInTheirOrder() throws Exception {
        NodeFixture.RawClient client = scene.client();
        client.send(
                NodeFixture.ask(NodeFixture.id(), "")
                        + NodeFixture.ask(NodeFixture.id(), "")
                        + NodeFixture.UP);
        for (int i = 0; i < 2; i++) {
            NodeFixture.served(client);
        }
        assertTrue(client.answer().startsWith("HTTP/1.1 200 "));
    }

    @Test
    void noiseBeforeTheFirstEventIsAFailedAttemptAndTheClientIsServedByAnother() throws Exception {
        AtomicInteger calls = new AtomicInteger();
        for (String noise :
                new String[] {
                    "\u0001\u0002xx\r\n\r\n",
                    "HTTP/1.1 200 OK\r\nX: " + "y".repeat(20_000),
                    NodeFixture.GOOD + "zz\r\n",
                    NodeFixture.GOOD + "c0000000\r\n" + "x".repeat(100_000),
                    NodeFixture.GOOD + NodeFixture.chunk("noise\n\n")
                }) {
            calls.set(0);
            scene.writer.script =
                    seen ->
                            calls.getAndIncrement() == 0
                                    ? new Reply(noise, true)
                                    : new Reply(
                                            NodeFixture.GOOD
                                                    + NodeFixture.chunk(
                                                            NodeFixture.EVENT + NodeFixture.END)
                                                    + "0\r\n\r\n",
                                            true);
            NodeFixture.RawClient client = scene.client();
            client.send(NodeFixture.ask(NodeFixture.id(), ""));
            assertEquals(
                    NodeFixture.EVENT + NodeFixture.END,
                    events(NodeFixture.served(client)),
                    noise.substring(0, 8));
            assertEquals(2, calls.get());
        }
    }

    @Test
    void streamSpoiltOrBrokenAfterItsFirstEventEndsTheClientsConnectionWithoutTheLastChunk()
            throws Exception {
        String first = NodeFixture.GOOD + NodeFixture.chunk(NodeFixture.EVENT);
        for (Reply bad :
                new Reply[] {
                    new Reply(first + "zz\r\n", true),
                    new Reply(first + "c0000000\r\nabc", true),
                    new Reply(first, false),
                    new Reply(first + "0\r\n\r\n", true),
                    new Reply(first + NodeFixture.chunk("noise\n\n"), true),
                    new Reply(first + "5\r\nabcdefgh\r\n", true)
                }) {
            scene.writer.script = seen -> bad;
            NodeFixture.RawClient client = scene.client();
            client.send(NodeFixture.ask(NodeFixture.id(), ""));
            String all = client.rest();
            assertTrue(all.startsWith("HTTP/1.1 200 "), bad.bytes());
            assertTrue(all.contains("\"content\":\"ab\""));
            assertFalse(all.endsWith("0\r\n\r\n"), bad.bytes());
        }
    }

    @Test
    void interimAnswersAreSkippedAndASecondAnswerIsNobodys() throws Exception {
        AtomicInteger calls = new AtomicInteger();
        String good =
                "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
                        + NodeFixture.GOOD
                        + NodeFixture.chunk(NodeFixture.EVENT + NodeFixture.END)
                        + "0\r\n\r\n";
        scene.writer.script =
                seen ->
                        new Reply(
                                calls.getAndIncrement() == 0
                                        ? good + NodeFixture.answer("200 OK", "stray")
                                        : good,
                                true);
        NodeFixture.RawClient client = scene.client();
        for (int i = 0; i < 2; i++) {
            client.send(NodeFixture.ask(NodeFixture.id(), ""));
            assertEquals(NodeFixture.EVENT + NodeFixture.END, events(NodeFixture.served(client)));
        }
        Seen first = scene.writer.next("POST");
        assertNotEquals(first.connection(), scene.writer.next("POST").connection());
    }

    @Test
    void whatNeverRanIsTriedElsewhereAndAMissingStateIsReadAgain() throws Exception {
        AtomicInteger calls = new AtomicInteger();
        scene.writer.script =
                seen ->
                        calls.getAndIncrement() == 0
                                ? new Reply(NodeFixture.declined("410 Gone"), true)
                                : new Reply(
                                        NodeFixture.GOOD
                                                + NodeFixture.chunk(
                                                        NodeFixture.EVENT + NodeFixture.END)
                                                + "0\r\n\r\n",
                                        true);
        NodeFixture.RawClient client = scene.client();
        client.send(NodeFixture.ask(NodeFixture.id(), ""));
        NodeFixture.served(client);
        scene.reader.next("POST");
        scene.reader.next("POST");
    }

    @Test
    void requestThatAnEngineCantUseIsAnErrorAtOnceAndGoesToNoOther() throws Exception {
        scene.reader.script = seen -> new Reply(NodeFixture.answer("400 Bad Request", "{}"), true);
        NodeFixture.RawClient client = scene.client();
        client.send(NodeFixture.ask(NodeFixture.id(), ""));
        assertTrue(client.rest().startsWith("HTTP/1.1 400 "));
        scene.reader.next("POST");
        assertTrue(scene.reader.seen.isEmpty());
        // Nobody is blamed for it: the next one is served there.
        scene.reader.script = seen -> new Reply(NodeFixture.read(0), true);
        NodeFixture.RawClient other = scene.client();
        other.send(NodeFixture.ask(NodeFixture.id(), ""));
        NodeFixture.served(other);
    }

    @Test
    void answerIsReadWholeThoughTheClientStillSends() throws Exception {
        byte[] more = new byte[4 << 20];
        for (String head :
                new String[] {
                    "Content-Length: 60000000\r\n\r\n",
                    "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n"
                }) {
            NodeFixture.RawClient client = scene.client();
            client.send("POST /v1/chat/completions HTTP/1.1\r\nHost: s\r\n" + head);
            client.socket.getOutputStream().write(more);
            // A reset, which a close over unread bytes is, would throw here.
            assertTrue(
                    new String(client.socket.getInputStream().readAllBytes(), UTF_8)
                            .matches("(?s)HTTP/1.1 4\\d\\d .*"),
                    head);
        }
    }

    @Test
    void requestOfAClientThatHasGoneBehindAFullConnectionIsNotSentOn() throws Exception {
        NodeFixture.Gate gate = scene.gateReads();
        String id = NodeFixture.id();
        NodeFixture.RawClient client = scene.held(gate, id);
        for (int i = 0; i < 4000; i++) {
            client.send(NodeFixture.ask(NodeFixture.id(), ""));
        }
        client.close();
        assertEquals("/v1/holds/" + id, scene.reader.next("DELETE").target());
        gate.open().countDown();
        NodeFixture.RawClient other = scene.client();
        String next = NodeFixture.id();
        other.send(NodeFixture.ask(next, ""));
        NodeFixture.served(other);
        assertEquals(next, scene.writer.next("POST").header("Req-Id"));
    }

    @Test
    void clientThatLeavesHasItsStateLetGo() throws Exception {
        CountDownLatch reading = new CountDownLatch(1);
        scene.writer.script =
                seen -> {
                    reading.countDown();
                    return new Reply(null, true);
                };
        String id = NodeFixture.id();
        NodeFixture.RawClient client = scene.client();
        client.send(NodeFixture.ask(id, ""));
        NodeFixture.await(reading);
        client.close();
        assertEquals("/v1/holds/" + id, scene.reader.next("DELETE").target());
    }

    @Test
    void stateIsLetGoOfAtAnotherEngineWhereItsHolderIsSilent() throws Exception {
        scene.reader.silent = true;
        String id = NodeFixture.id();
        NodeFixture.RawClient client = scene.client();
        client.send(NodeFixture.ask(id, 1000, ""));
        assertTrue(client.answer().matches("(?s)HTTP/1.1 50[34] .*"));
        assertEquals("/v1/holds/" + id, scene.writer.next("DELETE").target());
    }

    @Test
    void finalAnswerComesInTheClientsTimeWhereEnginesAreSilent() throws Exception {
        scene.reader.script = seen -> new Reply(null, true);
        NodeFixture.RawClient client = scene.client();
        long start = System.nanoTime();
        client.send(NodeFixture.ask(NodeFixture.id(), 700, ""));
        assertTrue(client.answer().matches("(?s)HTTP/1.1 50[34] .*"));
        assertTrue(System.nanoTime() - start < 750e6);
    }

    @Test
    void badRequestsGetAnErrorAndAnEndAndNoneReachesAnEngine() throws Exception {
        String good = NodeFixture.ask(NodeFixture.id(), "");
        String[] bad = {
            "\u0000\u0001\u0002\r\n\r\n",
            "GET / HTTP/1.1\r\nA: " + "b".repeat(40_000),
            good.replace("POST", "BREW"),
            good.replace("Content-Length: ", "Content-Length: -"),
            good.replace("Content-Length: ", "Content-Length: 9999999999"),
            good.replace("Content-Length: ", "Content-Length: x"),
            good.replace("Content-Length: ", "Content-Length: 3\r\nContent-Length: "),
            good.replace("Content-Length: ", "Transfer-Encoding: chunked\r\nContent-Length: "),
            good.replaceAll("Content-Length: \\d+", "Transfer-Encoding: gzip, chunked"),
            good.replaceAll("Content-Length: \\d+", "Transfer-Encoding: chunked")
                    .replace("{\"model\"", "zz\r\n{\"model\""),
            good.replace("Req-Kind: consulta", "Req-Kind: other"),
            good.replace("Req-Deadline-Ms: 4000", "Req-Deadline-Ms: soon"),
            good.replace("Req-Deadline-Ms: 4000", "Req-Deadline-Ms: -1"),
            good.replaceAll("Req-Id: \\w+\r\n", ""),
            good.replaceAll("Req-Id: \\w+", "Req-Id: ../../x"),
            good.replace("prompt_len=400", "prompt_len=many"),
            good.replace("/v1/chat/completions", "/v1/other"),
            good.replace("HTTP/1.1", "HTTP/1.0")
        };
        for (String bytes : bad) {
            NodeFixture.RawClient client = scene.client();
            client.send(bytes);
            String answer = client.rest();
            assertTrue(answer.matches("(?s)HTTP/1.1 [45].*"), bytes);
        }
        assertTrue(scene.reader.seen.isEmpty());
        assertTrue(scene.writer.seen.isEmpty());
    }

    @Test
    void hiddenRequestBehindTwoLengthsIsNeverServed() throws Exception {
        NodeFixture.RawClient client = scene.client();
        client.send(
                NodeFixture.ask(NodeFixture.id(), "Transfer-Encoding: chunked\r\n")
                                .replaceAll("\r\n\r\n.*", "\r\n\r\n0\r\n\r\n")
                        + NodeFixture.ask(NodeFixture.id(), ""));
        assertTrue(client.rest().startsWith("HTTP/1.1 400 "));
        assertTrue(scene.reader.seen.isEmpty());
    }

    @Test
    void idOfAnOpenGenerationIsRefusedAndTheFirstIsUntouched() throws Exception {
        NodeFixture.Gate gate = scene.gateReads();
        String id = NodeFixture.id();
        NodeFixture.RawClient first = scene.held(gate, id);
        NodeFixture.RawClient second = scene.client();
        second.send(NodeFixture.ask(id, ""));
        assertTrue(second.rest().startsWith("HTTP/1.1 409 "));
        gate.open().countDown();
        NodeFixture.served(first);
        assertEquals(id, scene.reader.next("POST").header("Req-Id"));
        assertTrue(scene.reader.seen.isEmpty());
    }

    @Test
    void hundredsOfSilentConnectionsAreEndedAndUsualClientsServedBesideThem() throws Exception {
        long start = System.nanoTime();
        NodeFixture.RawClient half = scene.client();
        half.send(
                "POST /v1/chat/completions HTTP/1.1\r\nHost: s\r\nContent-Length: 50\r\n\r\nhalf");
        for (int i = 0; i < 300; i++) {
            NodeFixture.RawClient silent = scene.client();
            if (i % 50 == 0) {
                NodeFixture.RawClient usual = scene.client();
                usual.send(NodeFixture.ask(NodeFixture.id(), ""));
                NodeFixture.served(usual);
            }
            if (i == 299) {
                silent.rest();
            }
        }
        assertTrue(half.rest().matches("(?s)HTTP/1.1 408.*"));
        assertTrue(System.nanoTime() - start < 3_000e6);
    }

    @Test
    void crowdThatComesAtOnceTakesNoMoreConnectionsThanItsPart() throws Exception {
        int most = 0;
        for (int i = 0; i < 8; i++) {
            // Faster than they can be taken one by one.
            for (int j = 0; j < 100; j++) {
                scene.client();
            }
            most = Math.max(most, scene.node.connections());
        }
        assertTrue(
                most > 100 && most <= 126,
                "connections " + most + " where 0.42 of 300 are allowed");
        NodeFixture.RawClient usual = scene.client();
        usual.send(NodeFixture.ask(NodeFixture.id(), ""));
        NodeFixture.served(usual);
    }

    @Test
    void crowdThatStopsInTheMiddleOfItsRequestsTakesNoMoreConnectionsThanItsPart()
            throws Exception {
        String request = NodeFixture.ask(NodeFixture.id(), "");
        for (String part :
                new String[] {
                    request.substring(0, 40), request.substring(0, request.length() - 4)
                }) {
            for (int i = 0; i < 200; i++) {
                scene.client().send(part);
            }
            scene.settled();
            int connections = scene.node.connections();
            assertTrue(
                    connections <= 126,
                    "connections " + connections + " where 0.42 of 300 are allowed");
            NodeFixture.RawClient usual = scene.client();
            usual.send(NodeFixture.ask(NodeFixture.id(), ""));
            NodeFixture.served(usual);
        }
    }

    @Test
    void newConnectionIsServedWhereAllOthersHaveAskedOnceAndStayed() throws Exception {
        for (int i = 0; i < 200; i++) {
            NodeFixture.RawClient stays = scene.client();
            stays.send(NodeFixture.UP);
            assertTrue(stays.answer().startsWith("HTTP/1.1 200 "), "connection " + i);
        }
        assertEquals(126, scene.node.connections());
    }

    @Test
    void drainingEngineGetsNothingNewAndItsSuccessorIsFollowed() throws Exception {
        NodeFixture.RawClient client = scene.client();
        client.send(NodeFixture.ask(NodeFixture.id(), ""));
        client.until("0\r\n\r\n");
        try (NodeFixture.Actor other =
                new NodeFixture.Actor(seen -> new Reply(NodeFixture.read(0), true))) {
            scene.listed.set(
                    0, NodeFixture.row("r1", scene.reader.port(), "lectura", "DRAINING", 0));
            scene.listed.add(NodeFixture.row("r2", other.port(), "lectura", "SERVING", 0));
            scene.changed();
            int before = scene.discovery.seen.size();
            while (scene.discovery.seen.size() < before + 2) {
                // The watch behind the one that told: what was told has been taken.
                Thread.onSpinWait();
            }
            scene.reader.seen.clear();
            client.send(NodeFixture.ask(NodeFixture.id(), ""));
            NodeFixture.served(client);
            other.next("POST");
            assertTrue(scene.reader.seen.isEmpty());
        }
    }

    /**
     * The grace here is 250 ms: an agent that does not answer one call has to be asked anew well
     * within it.
     */
    @Test
    void agentThatSpeaksAgainIsHeardWithinTheGraceThoughItDropsWhatItWasAsked() throws Exception {
        Function<Seen, Reply> script = scene.discovery.script;
        scene.discovery.script = seen -> new Reply(null, true);
        scene.discovery.seen.clear();
        scene.node.readAgain();
        while (scene.discovery.next("GET").target().contains("after=")) {
            // A watch that was asked for before.
        }
        long asked = System.nanoTime();
        scene.discovery.script = script;
        assertEquals("/discovery/hosts", scene.discovery.next("GET").target());
        double againMs = (System.nanoTime() - asked) / 1e6;
        assertTrue(againMs < 700, "asked again after " + againMs + " ms");
        assertTrue(scene.discovery.next("GET").target().startsWith("/discovery/hosts?after="));
    }

    @Test
    void watchThatFallsSilentIsOpenedAnewInTimeForWhatItMissed() throws Exception {
        Function<Seen, Reply> script = scene.discovery.script;
        scene.discovery.next("GET");
        scene.discovery.script =
                seen ->
                        seen.target().contains("after=")
                                ? new Reply(null, true)
                                : script.apply(seen);
        // The watch behind this one is silent.
        while (!scene.discovery.next("GET").target().contains("after=")) {
            scene.changed();
        }
        long start = System.nanoTime();
        while (scene.discovery.next("GET").target().contains("after=")) {
            start = System.nanoTime();
        }
        // A connection that does not come up and one more try must fit in before what was missed
        // counts as told, after 6 s.
        assertTrue(System.nanoTime() - start < 4_000e6);
    }

    @Test
    void nodeSaysThatItCanServeOnlyWhenDiscoveryHasToldItsList() throws Exception {
        CountDownLatch open = new CountDownLatch(1);
        CountDownLatch asked = new CountDownLatch(1);
        try (NodeFixture.Actor slow =
                new NodeFixture.Actor(
                        seen -> {
                            asked.countDown();
                            NodeFixture.await(open);
                            return scene.discovery.script.apply(seen);
                        })) {
            scene.configure(slow.port());
            Thread later =
                    new Thread(
                            () -> {
                                NodeFixture.await(asked);
                                open.countDown();
                            });
            later.start();
            Node node =
                    Node.open(Map.of("PROXY_CONFIG", scene.file.toString(), "PROXY_NAME", "n1"));
            assertEquals(0, open.getCount());
            node.end();
            node.awaitEnd();
        }
    }

    @Test
    void newConfigurationMovesDiscoveryAndABrokenOneChangesNothing() throws Exception {
        try (NodeFixture.Actor moved = new NodeFixture.Actor(scene.discovery.script)) {
            Files.writeString(scene.file, "{broken");
            scene.node.readAgain();
            scene.configure(moved.port());
            scene.node.readAgain();
            assertEquals("/discovery/hosts", moved.next("GET").target());
            assertTrue(moved.next("GET").target().startsWith("/discovery/hosts?after="));
        }
    }

    @Test
    void endAnswersAllThatCameAndSaysSo() throws Exception {
        NodeFixture.Gate gate = scene.gateReads();
        NodeFixture.RawClient rests = scene.client();
        rests.send(NodeFixture.UP);
        assertTrue(rests.answer().startsWith("HTTP/1.1 200 "));
        NodeFixture.RawClient busy = scene.held(gate, NodeFixture.id());
        scene.node.end();
        assertEquals("", rests.rest());
        NodeFixture.RawClient late = scene.client();
        late.send(NodeFixture.UP);
        assertTrue(late.rest().startsWith("HTTP/1.1 503 "));
        gate.open().countDown();
        assertTrue(busy.rest().endsWith("0\r\n\r\n"));
        scene.node.awaitEnd();
        assertThrows(IOException.class, () -> scene.client());
    }

    @Test
    void moduleAndLinkCountTheSameAttemptsThroughFaultsAndLeavingsAndReturnToZero()
            throws Exception {
        AtomicInteger calls = new AtomicInteger();
        String good =
                NodeFixture.GOOD
                        + NodeFixture.chunk(NodeFixture.EVENT + NodeFixture.END)
                        + "0\r\n\r\n";
        Reply[] replies = {
            new Reply(good, true),
            new Reply("noise\r\n\r\n", true),
            new Reply("", false),
            new Reply(NodeFixture.answer("500 Oops", ""), true),
            new Reply(NodeFixture.declined("503 Full"), true),
            new Reply(null, true),
            new Reply(NodeFixture.GOOD + NodeFixture.chunk(NodeFixture.EVENT) + "zz\r\n", true),
            new Reply(good, true)
        };
        scene.writer.script = seen -> replies[calls.getAndIncrement() % replies.length];
        int most = 0;
        List<NodeFixture.RawClient> unanswered = new ArrayList<>();
        for (int i = 0; i < 40; i++) {
            NodeFixture.RawClient client = scene.client();
            client.send(NodeFixture.ask(NodeFixture.id(), 600, ""));
            int attempts = scene.node.attemptsOut();
            assertNotEquals(-1, attempts, "at request " + i);
            most = Math.max(most, attempts);
            if (i % 5 == 0) {
                client.close();
            } else if (i % 2 == 0) {
                client.until("\r\n\r\n");
            } else {
                unanswered.add(client);
            }
            assertNotEquals(-1, scene.node.attemptsOut(), "after request " + i);
        }
        assertTrue(most > 0);
        // A request that is unread yet, or waits before its read, is none of the link's: each has
        // to be answered first.
        for (NodeFixture.RawClient client : unanswered) {
            assertNotNull(client.until("\r\n\r\n"));
        }
        while (scene.node.openRequests() > 0) {
            assertNotEquals(-1, scene.node.attemptsOut());
        }
        assertEquals(0, scene.node.attemptsOut());
    }

    @Test
    void nothingGrowsWithIds() throws Exception {
        NodeFixture.RawClient client = scene.client();
        for (int i = 0; i < 1500; i++) {
            client.send(
                    NodeFixture.ask(NodeFixture.id(), "")
                            .replace("k1", "k" + i)
                            .replace("prefix=p1", "prefix=p" + i));
            NodeFixture.served(client);
            scene.reader.seen.clear();
            scene.writer.seen.clear();
        }
        assertEquals(0, scene.node.openRequests());
    }

    @Test
    void brokenConfigurationIsToldWithFileMemberAndWhatWasExpected() throws Exception {
        Path file = folder.resolve("other.json");
        String good = Files.readString(scene.file);
        Map<String, String> variables = Map.of("PROXY_CONFIG", file.toString(), "PROXY_NAME", "n1");
        String[][] cases = {
            {"\"memory_mb\":256", "\"memory_mb\":\"much\"", "limits.memory_mb"},
            {"\"seed\":\"8c1f", "\"seed\":\"xyz", "seed"},
            {"\"name\":\"n1\"", "\"name\":\"n2\"", "PROXY_NAME"},
            {"127.0.0.1:0", "nowhere", "listen"},
            {"\"slo_s\":1.2", "\"slo_s\":\"x\"", "slo_s"},
            {"{\"name\"", "{name", ":1:"}
        };
        for (String[] one : cases) {
            Files.writeString(file, good.replace(one[0], one[1]));
            InvalidNodeConfigurationException fault =
                    assertThrows(
                            InvalidNodeConfigurationException.class, () -> Node.open(variables));
            assertTrue(fault.getMessage().contains(one[2]), fault.getMessage());
        }
    }
}
