package larchridge.node;

import static larchridge.node.NodeFixture.awaitCompleteStream;
import static larchridge.node.NodeFixture.awaitLatch;
import static larchridge.node.ScriptedEndpointList.endpointJson;
import static larchridge.node.WireMessages.generationRequest;
import static larchridge.node.WireMessages.newRequestId;
import static larchridge.node.WireMessages.readResponse;
import static larchridge.node.WireMessages.response;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Discovery connections that break, fall silent, respond late or carry older lists; verified by
 * which engines receive requests.
 */
@Timeout(30)
class DiscoveryTest extends AbstractNodeTest {
    /**
     * A change that a silent watch misses counts as announced at the latest 6 s after the watch
     * fell silent; a connection that is not established and a retry must fit into that time.
     */
    private static final double MAX_REPOLL_DELAY_MS = 4000;

    private static boolean isWatch(ReceivedRequest request) {
        return request.target().contains("after=");
    }

    /** Waits for the next watch or the next poll for a snapshot. */
    private void awaitPoll(ScriptedServer discovery, boolean watch) throws Exception {
        ReceivedRequest request = discovery.awaitRequest("GET");
        while (isWatch(request) != watch) {
            request = discovery.awaitRequest("GET");
        }
    }

    private String listResponse(String... rows) {
        return listResponse(50, rows);
    }

    private static String listResponse(int index, String... rows) {
        return response(
                "200 OK",
                "{\"index\":"
                        + index
                        + ",\"snapshot\":true,\"endpoints\":["
                        + String.join(",", rows)
                        + "]}");
    }

    private static String readerJson(String name, ScriptedServer reader, String status) {
        return endpointJson(name, reader.port(), "lectura", status, 0);
    }

    private String writerJson() {
        return endpointJson("w1", fixture.writer.port(), "redaccion", "SERVING", 0);
    }

    private void assertServedBy(ScriptedServer engine, ScriptedServer notBy) throws Exception {
        engine.received.clear();
        notBy.received.clear();
        RawClient client = fixture.newClient();
        client.send(generationRequest(newRequestId(), ""));
        awaitCompleteStream(client);
        assertEquals(1, engine.attemptCount());
        assertEquals(0, notBy.attemptCount());
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 O",
                "HTTP/1.1 200 OK\r\nContent-Length: 5000\r\n",
                "HTTP/1.1 200 OK\r\nContent-Length: 5000\r\n\r\n{\"index\":60,\"snapshot\":true,\"endpoints\":["
            })
    void watchThatFallsSilentWithinItsResponseIsReopenedInTime(String part) throws Exception {
        Function<ReceivedRequest, ScriptedResponse> script = fixture.discovery.script;
        AtomicInteger watches = new AtomicInteger();
        fixture.discovery.script =
                request ->
                        isWatch(request) && watches.getAndIncrement() == 0
                                ? new ScriptedResponse(part, true)
                                : script.apply(request);
        fixture.discovery.received.clear();
        fixture.endpointList.publishChange();
        while (watches.get() == 0) {
            Thread.onSpinWait();
        }
        long silent = System.nanoTime();
        awaitPoll(fixture.discovery, false);
        assertTrue((System.nanoTime() - silent) / 1e6 < MAX_REPOLL_DELAY_MS);
        awaitPoll(fixture.discovery, true);
    }

    @Test
    void watchThatIsResetIsFollowedByASnapshotAtOnce() throws Exception {
        Function<ReceivedRequest, ScriptedResponse> script = fixture.discovery.script;
        AtomicInteger watches = new AtomicInteger();
        fixture.discovery.script =
                request ->
                        isWatch(request) && watches.getAndIncrement() == 0
                                ? new ScriptedResponse(null, false)
                                : script.apply(request);
        fixture.discovery.received.clear();
        fixture.endpointList.publishChange();
        while (watches.get() == 0) {
            Thread.onSpinWait();
        }
        long reset = System.nanoTime();
        awaitPoll(fixture.discovery, false);
        assertTrue((System.nanoTime() - reset) / 1e6 < 500);
    }

    @Test
    void indentedSnapshotOnAWatchIsApplied() throws Exception {
        try (ScriptedServer other =
                new ScriptedServer(request -> new ScriptedResponse(readResponse(0), true))) {
            String rows =
                    String.join(",\n", readerJson("r2", other, "SERVING"), writerJson())
                            .replace(",\"", " ,\r\n\t\t\"");
            fixture.discovery.script =
                    request ->
                            new ScriptedResponse(
                                    response(
                                            "200 OK",
                                            "{\n  \"index\" : 50,\n  \"snapshot\" : true,\n  \"endpoints\" : [\n"
                                                    + rows
                                                    + "\n  ]\n}\n"),
                                    true);
            fixture.discovery.received.clear();
            fixture.endpointList.publishChange();
            awaitPoll(fixture.discovery, true);
            awaitPoll(fixture.discovery, true);
            assertServedBy(other, fixture.reader);
        }
    }

    /**
     * A lagging replica answers the watch: its list is older than the current one, so it is dropped
     * and a snapshot is requested.
     */
    @Test
    void watchWithAnOlderVersionChangesNothingAndASnapshotIsRequested() throws Exception {
        try (ScriptedServer other =
                new ScriptedServer(request -> new ScriptedResponse(readResponse(0), true))) {
            String writer = writerJson();
            String now =
                    listResponse(
                            60,
                            readerJson("r1", fixture.reader, "DRAINING"),
                            readerJson("r2", other, "SERVING"),
                            writer);
            String old = listResponse(40, readerJson("r1", fixture.reader, "SERVING"), writer);
            CountDownLatch snapshotsRequested = new CountDownLatch(2);
            CountDownLatch open = new CountDownLatch(1);
            fixture.discovery.script =
                    request -> {
                        if (!isWatch(request)) {
                            snapshotsRequested.countDown();
                            if (snapshotsRequested.getCount() == 0) {
                                awaitLatch(open);
                            }
                            return new ScriptedResponse(now, true);
                        }
                        return new ScriptedResponse(
                                request.target().contains("after=60") ? old : now, true);
                    };
            fixture.node.reload();
            awaitLatch(snapshotsRequested);
            fixture.awaitEventLoop();
            assertServedBy(other, fixture.reader);
            open.countDown();
        }
    }

    /**
     * The agent of a new configuration may lag behind the previous one; what the node knows from
     * that one stays in effect.
     */
    @Test
    void olderListOfAnotherAgentReturnsNoDrainingEngineToService() throws Exception {
        String writer = writerJson();
        try (ScriptedServer other =
                        new ScriptedServer(request -> new ScriptedResponse(readResponse(0), true));
                ScriptedServer newAgent =
                        new ScriptedServer(
                                request ->
                                        new ScriptedResponse(
                                                isWatch(request)
                                                        ? null
                                                        : listResponse(
                                                                40,
                                                                readerJson(
                                                                        "r1",
                                                                        fixture.reader,
                                                                        "SERVING"),
                                                                readerJson("r2", other, "SERVING"),
                                                                writer),
                                                true))) {
            fixture.discovery.script =
                    request ->
                            new ScriptedResponse(
                                    isWatch(request) && request.target().contains("after=60")
                                            ? null
                                            : listResponse(
                                                    60,
                                                    readerJson("r1", fixture.reader, "DRAINING"),
                                                    writer),
                                    true);
            fixture.endpointList.publishChange();
            while (!fixture.discovery.awaitRequest("GET").target().contains("after=60")) {
                // A poll that was sent before the list changed.
            }
            fixture.writeConfiguration(newAgent.port());
            fixture.node.reload();
            awaitPoll(newAgent, true);
            fixture.awaitEventLoop();
            assertServedBy(other, fixture.reader);
        }
    }

    /**
     * An agent that answers every watch immediately, without changes, must not keep the event loop
     * busy.
     */
    @Test
    void watchThatIsAnsweredAtOnceIsPolledAtABoundedRate() throws Exception {
        AtomicInteger watches = new AtomicInteger();
        fixture.discovery.script =
                request -> {
                    watches.incrementAndGet();
                    return new ScriptedResponse(
                            listResponse(
                                    60, readerJson("r1", fixture.reader, "SERVING"), writerJson()),
                            true);
                };
        fixture.endpointList.publishChange();
        awaitPoll(fixture.discovery, true);
        watches.set(0);
        TimeUnit.MILLISECONDS.sleep(1000);
        assertTrue(watches.get() <= 60, watches + " watches in a second");
        assertTrue(watches.get() >= 5, watches + " watches in a second");
    }

    @Test
    void responseFromTheOldAddressAfterAReloadChangesNothing() throws Exception {
        CountDownLatch requested = new CountDownLatch(1);
        CountDownLatch open = new CountDownLatch(1);
        String writer = writerJson();
        try (ScriptedServer other =
                        new ScriptedServer(request -> new ScriptedResponse(readResponse(0), true));
                ScriptedServer before =
                        new ScriptedServer(
                                request -> {
                                    requested.countDown();
                                    awaitLatch(open);
                                    return new ScriptedResponse(
                                            listResponse(
                                                    readerJson("r1", fixture.reader, "SERVING"),
                                                    writer),
                                            true);
                                });
                ScriptedServer newAgent =
                        new ScriptedServer(
                                request ->
                                        new ScriptedResponse(
                                                isWatch(request)
                                                        ? null
                                                        : listResponse(
                                                                readerJson("r2", other, "SERVING"),
                                                                writer),
                                                true))) {
            fixture.writeConfiguration(before.port());
            fixture.node.reload();
            awaitLatch(requested);
            fixture.writeConfiguration(newAgent.port());
            fixture.node.reload();
            awaitPoll(newAgent, true);
            open.countDown();
            before.awaitResponsesWritten();
            fixture.awaitEventLoop();
            assertServedBy(other, fixture.reader);
        }
    }

    /**
     * Two connections poll for a snapshot at the same time; the older one is answered after the
     * newer.
     */
    @Test
    void responseOnAClosedConnectionChangesNothing() throws Exception {
        CountDownLatch open = new CountDownLatch(1);
        AtomicInteger calls = new AtomicInteger();
        String writer = writerJson();
        try (ScriptedServer other =
                        new ScriptedServer(request -> new ScriptedResponse(readResponse(0), true));
                ScriptedServer newAgent =
                        new ScriptedServer(
                                request -> {
                                    if (isWatch(request)) {
                                        return new ScriptedResponse(null, true);
                                    }
                                    if (calls.getAndIncrement() == 0) {
                                        awaitLatch(open);
                                        return new ScriptedResponse(
                                                listResponse(
                                                        readerJson("r1", fixture.reader, "SERVING"),
                                                        writer),
                                                true);
                                    }
                                    return new ScriptedResponse(
                                            listResponse(
                                                    readerJson("r2", other, "SERVING"), writer),
                                            true);
                                })) {
            fixture.writeConfiguration(newAgent.port());
            fixture.node.reload();
            awaitPoll(newAgent, true);
            open.countDown();
            newAgent.awaitResponsesWritten();
            fixture.awaitEventLoop();
            assertServedBy(other, fixture.reader);
        }
    }

    @Test
    void addressThatRefusesConnectionsIsFollowedOnceItIsUp() throws Exception {
        ServerSocket reserved = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        int port = reserved.getLocalPort();
        reserved.close();
        fixture.writeConfiguration(port);
        fixture.node.reload();
        // Long enough for the backoff to have reached its maximum.
        TimeUnit.MILLISECONDS.sleep(600);
        try (ScriptedServer newAgent = new ScriptedServer(fixture.discovery.script, port)) {
            long up = System.nanoTime();
            awaitPoll(newAgent, false);
            assertTrue((System.nanoTime() - up) / 1e6 < 500);
            awaitPoll(newAgent, true);
        }
    }
}
