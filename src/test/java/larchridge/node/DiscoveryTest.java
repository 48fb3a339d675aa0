package larchridge.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;
import larchridge.node.NodeFixture.Reply;
import larchridge.node.NodeFixture.Seen;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Calls to discovery that break, fall silent, come late or tell old things; judged by where
 * requests go.
 */
@Timeout(30)
class DiscoveryTest extends NodeFixtureTest {
    /**
     * What was missed has to act 6 s after a watch fell silent; a connection that does not come up,
     * and a retry, fit in too.
     */
    private static final double ASKED_AGAIN_MS = 4000;

    private static boolean isWatch(Seen seen) {
        return seen.target().contains("after=");
    }

    /** Waits for a call of the kind that comes after this moment. */
    private void awaitCall(NodeFixture.Actor discovery, boolean watch) throws Exception {
        Seen seen = discovery.next("GET");
        while (isWatch(seen) != watch) {
            seen = discovery.next("GET");
        }
    }

    private String list(String... rows) {
        return list(50, rows);
    }

    private static String list(int index, String... rows) {
        return NodeFixture.answer(
                "200 OK",
                "{\"index\":"
                        + index
                        + ",\"snapshot\":true,\"endpoints\":["
                        + String.join(",", rows)
                        + "]}");
    }

    private void servedBy(NodeFixture.Actor engine, NodeFixture.Actor notBy) throws Exception {
        engine.seen.clear();
        notBy.seen.clear();
        NodeFixture.RawClient client = scene.client();
        client.send(NodeFixture.ask(NodeFixture.id(), ""));
        NodeFixture.served(client);
        assertEquals(1, engine.posts());
        assertEquals(0, notBy.posts());
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 O",
                "HTTP/1.1 200 OK\r\nContent-Length: 5000\r\n",
                "HTTP/1.1 200 OK\r\nContent-Length: 5000\r\n\r\n{\"index\":60,\"snapshot\":true,\"endpoints\":["
            })
    void watchThatFallsSilentInsideItsAnswerIsOpenedAnewInTime(String part) throws Exception {
        Function<Seen, Reply> script = scene.discovery.script;
        AtomicInteger watches = new AtomicInteger();
        scene.discovery.script =
                seen ->
                        isWatch(seen) && watches.getAndIncrement() == 0
                                ? new Reply(part, true)
                                : script.apply(seen);
        scene.discovery.seen.clear();
        scene.changed();
        while (watches.get() == 0) {
            Thread.onSpinWait();
        }
        long silent = System.nanoTime();
        awaitCall(scene.discovery, false);
        assertTrue((System.nanoTime() - silent) / 1e6 < ASKED_AGAIN_MS);
        awaitCall(scene.discovery, true);
    }

    @Test
    void watchThatIsResetIsFollowedByAWholeListAtOnce() throws Exception {
        Function<Seen, Reply> script = scene.discovery.script;
        AtomicInteger watches = new AtomicInteger();
        scene.discovery.script =
                seen ->
                        isWatch(seen) && watches.getAndIncrement() == 0
                                ? new Reply(null, false)
                                : script.apply(seen);
        scene.discovery.seen.clear();
        scene.changed();
        while (watches.get() == 0) {
            Thread.onSpinWait();
        }
        long reset = System.nanoTime();
        awaitCall(scene.discovery, false);
        assertTrue((System.nanoTime() - reset) / 1e6 < 500);
    }

    @Test
    void indentedWholeListOnAWatchIsTaken() throws Exception {
        try (NodeFixture.Actor other =
                new NodeFixture.Actor(seen -> new Reply(NodeFixture.read(0), true))) {
            String rows =
                    String.join(
                                    ",\n",
                                    NodeFixture.row("r2", other.port(), "lectura", "SERVING", 0),
                                    NodeFixture.row(
                                            "w1", scene.writer.port(), "redaccion", "SERVING", 0))
                            .replace(",\"", " ,\r\n\t\t\"");
            scene.discovery.script =
                    seen ->
                            new Reply(
                                    NodeFixture.answer(
                                            "200 OK",
                                            "{\n  \"index\" : 50,\n  \"snapshot\" : true,\n  \"endpoints\" : [\n"
                                                    + rows
                                                    + "\n  ]\n}\n"),
                                    true);
            scene.discovery.seen.clear();
            scene.changed();
            awaitCall(scene.discovery, true);
            awaitCall(scene.discovery, true);
            servedBy(other, scene.reader);
        }
    }

    /**
     * A replica that lags answers the watch: what it tells is older than what is known, and the
     * whole list is asked for.
     */
    @Test
    void watchThatTellsAnOlderVersionChangesNothingAndTheWholeListIsAskedFor() throws Exception {
        try (NodeFixture.Actor other =
                new NodeFixture.Actor(seen -> new Reply(NodeFixture.read(0), true))) {
            String writer = NodeFixture.row("w1", scene.writer.port(), "redaccion", "SERVING", 0);
            String now =
                    list(
                            60,
                            NodeFixture.row("r1", scene.reader.port(), "lectura", "DRAINING", 0),
                            NodeFixture.row("r2", other.port(), "lectura", "SERVING", 0),
                            writer);
            String old =
                    list(
                            40,
                            NodeFixture.row("r1", scene.reader.port(), "lectura", "SERVING", 0),
                            writer);
            CountDownLatch wholeAgain = new CountDownLatch(2);
            CountDownLatch open = new CountDownLatch(1);
            scene.discovery.script =
                    seen -> {
                        if (!isWatch(seen)) {
                            wholeAgain.countDown();
                            if (wholeAgain.getCount() == 0) {
                                NodeFixture.await(open);
                            }
                            return new Reply(now, true);
                        }
                        return new Reply(seen.target().contains("after=60") ? old : now, true);
                    };
            scene.node.readAgain();
            NodeFixture.await(wholeAgain);
            scene.settled();
            servedBy(other, scene.reader);
            open.countDown();
        }
    }

    /**
     * The agent behind a new configuration may lag behind the one before; what the node was told
     * still counts.
     */
    @Test
    void olderListOfAnotherAgentBringsNoDrainingEngineBack() throws Exception {
        String writer = NodeFixture.row("w1", scene.writer.port(), "redaccion", "SERVING", 0);
        try (NodeFixture.Actor other =
                        new NodeFixture.Actor(seen -> new Reply(NodeFixture.read(0), true));
                NodeFixture.Actor moved =
                        new NodeFixture.Actor(
                                seen ->
                                        new Reply(
                                                isWatch(seen)
                                                        ? null
                                                        : list(
                                                                40,
                                                                NodeFixture.row(
                                                                        "r1",
                                                                        scene.reader.port(),
                                                                        "lectura",
                                                                        "SERVING",
                                                                        0),
                                                                NodeFixture.row(
                                                                        "r2",
                                                                        other.port(),
                                                                        "lectura",
                                                                        "SERVING",
                                                                        0),
                                                                writer),
                                                true))) {
            scene.discovery.script =
                    seen ->
                            new Reply(
                                    isWatch(seen) && seen.target().contains("after=60")
                                            ? null
                                            : list(
                                                    60,
                                                    NodeFixture.row(
                                                            "r1",
                                                            scene.reader.port(),
                                                            "lectura",
                                                            "DRAINING",
                                                            0),
                                                    writer),
                                    true);
            scene.changed();
            Seen call = scene.discovery.next("GET");
            while (!call.target().contains("after=60")) {
                call = scene.discovery.next("GET");
            }
            scene.configure(moved.port());
            scene.node.readAgain();
            awaitCall(moved, true);
            scene.settled();
            servedBy(other, scene.reader);
        }
    }

    /** An agent that answers every watch at once, with nothing new, must not keep the loop busy. */
    @Test
    void watchThatIsAnsweredAtOnceIsAskedAtABoundedRate() throws Exception {
        AtomicInteger watches = new AtomicInteger();
        scene.discovery.script =
                seen -> {
                    watches.incrementAndGet();
                    return new Reply(
                            list(
                                    60,
                                    NodeFixture.row(
                                            "r1", scene.reader.port(), "lectura", "SERVING", 0),
                                    NodeFixture.row(
                                            "w1", scene.writer.port(), "redaccion", "SERVING", 0)),
                            true);
                };
        scene.changed();
        awaitCall(scene.discovery, true);
        watches.set(0);
        TimeUnit.MILLISECONDS.sleep(1000);
        assertTrue(watches.get() <= 60, watches + " watches in a second");
        assertTrue(watches.get() >= 5, watches + " watches in a second");
    }

    @Test
    void firstAnswerFromTheOldAddressAfterAMoveChangesNothing() throws Exception {
        CountDownLatch asked = new CountDownLatch(1);
        CountDownLatch open = new CountDownLatch(1);
        String writer = NodeFixture.row("w1", scene.writer.port(), "redaccion", "SERVING", 0);
        try (NodeFixture.Actor other =
                        new NodeFixture.Actor(seen -> new Reply(NodeFixture.read(0), true));
                NodeFixture.Actor before =
                        new NodeFixture.Actor(
                                seen -> {
                                    asked.countDown();
                                    NodeFixture.await(open);
                                    return new Reply(
                                            list(
                                                    NodeFixture.row(
                                                            "r1",
                                                            scene.reader.port(),
                                                            "lectura",
                                                            "SERVING",
                                                            0),
                                                    writer),
                                            true);
                                });
                NodeFixture.Actor moved =
                        new NodeFixture.Actor(
                                seen ->
                                        new Reply(
                                                isWatch(seen)
                                                        ? null
                                                        : list(
                                                                NodeFixture.row(
                                                                        "r2",
                                                                        other.port(),
                                                                        "lectura",
                                                                        "SERVING",
                                                                        0),
                                                                writer),
                                                true))) {
            scene.configure(before.port());
            scene.node.readAgain();
            NodeFixture.await(asked);
            scene.configure(moved.port());
            scene.node.readAgain();
            awaitCall(moved, true);
            open.countDown();
            before.settled();
            scene.settled();
            servedBy(other, scene.reader);
        }
    }

    /**
     * Two calls for the whole list are open at a time; the older one is answered after the newer.
     */
    @Test
    void answerOfAnAbandonedCallChangesNothing() throws Exception {
        CountDownLatch open = new CountDownLatch(1);
        AtomicInteger calls = new AtomicInteger();
        String writer = NodeFixture.row("w1", scene.writer.port(), "redaccion", "SERVING", 0);
        try (NodeFixture.Actor other =
                        new NodeFixture.Actor(seen -> new Reply(NodeFixture.read(0), true));
                NodeFixture.Actor moved =
                        new NodeFixture.Actor(
                                seen -> {
                                    if (isWatch(seen)) {
                                        return new Reply(null, true);
                                    }
                                    if (calls.getAndIncrement() == 0) {
                                        NodeFixture.await(open);
                                        return new Reply(
                                                list(
                                                        NodeFixture.row(
                                                                "r1",
                                                                scene.reader.port(),
                                                                "lectura",
                                                                "SERVING",
                                                                0),
                                                        writer),
                                                true);
                                    }
                                    return new Reply(
                                            list(
                                                    NodeFixture.row(
                                                            "r2",
                                                            other.port(),
                                                            "lectura",
                                                            "SERVING",
                                                            0),
                                                    writer),
                                            true);
                                })) {
            scene.configure(moved.port());
            scene.node.readAgain();
            awaitCall(moved, true);
            open.countDown();
            moved.settled();
            scene.settled();
            servedBy(other, scene.reader);
        }
    }

    @Test
    void addressThatRefusesAfterAMoveIsFollowedOnceItIsUp() throws Exception {
        ServerSocket taken = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        int port = taken.getLocalPort();
        taken.close();
        scene.configure(port);
        scene.node.readAgain();
        // Long enough for the pauses between tries to have grown to their most.
        TimeUnit.MILLISECONDS.sleep(600);
        try (NodeFixture.Actor moved = new NodeFixture.Actor(scene.discovery.script, port)) {
            long up = System.nanoTime();
            awaitCall(moved, false);
            assertTrue((System.nanoTime() - up) / 1e6 < 500);
            awaitCall(moved, true);
        }
    }
}
