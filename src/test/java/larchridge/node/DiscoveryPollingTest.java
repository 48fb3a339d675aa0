package larchridge.node;

import static larchridge.node.NodeFixture.awaitCompleteStream;
import static larchridge.node.NodeFixture.awaitLatch;
import static larchridge.node.ScriptedEndpointList.endpointJson;
import static larchridge.node.WireMessages.generationRequest;
import static larchridge.node.WireMessages.newRequestId;
import static larchridge.node.WireMessages.readResponse;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.function.Function;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** When discovery is polled, and which list the node uses meanwhile. */
@Timeout(30)
class DiscoveryPollingTest extends AbstractNodeTest {
    @Test
    void drainingEngineGetsNoNewRequestsAndItsReplacementIsUsed() throws Exception {
        RawClient client = fixture.newClient();
        client.send(generationRequest(newRequestId(), ""));
        client.readUntil("0\r\n\r\n");
        try (ScriptedServer other =
                new ScriptedServer(request -> new ScriptedResponse(readResponse(0), true))) {
            fixture.endpointList.set(
                    0, endpointJson("r1", fixture.reader.port(), "lectura", "DRAINING", 0));
            fixture.endpointList.add(endpointJson("r2", other.port(), "lectura", "SERVING", 0));
            fixture.endpointList.publishChange();
            int before = fixture.discovery.received.size();
            while (fixture.discovery.received.size() < before + 2) {
                // The watch after the one that carried the change is sent once the change was
                // applied.
                Thread.onSpinWait();
            }
            fixture.reader.received.clear();
            client.send(generationRequest(newRequestId(), ""));
            awaitCompleteStream(client);
            other.awaitRequest("POST");
            assertTrue(fixture.reader.received.isEmpty());
        }
    }

    /**
     * The drain grace is 250 ms here: an agent that does not respond to one poll must be polled
     * again well within it.
     */
    @Test
    void agentThatRecoversIsPolledWithinTheDrainGraceAfterADroppedPoll() throws Exception {
        Function<ReceivedRequest, ScriptedResponse> script = fixture.discovery.script;
        fixture.discovery.script = request -> new ScriptedResponse(null, true);
        fixture.discovery.received.clear();
        fixture.node.reload();
        while (fixture.discovery.awaitRequest("GET").target().contains("after=")) {
            // A watch that was sent before the reload.
        }
        long polled = System.nanoTime();
        fixture.discovery.script = script;
        assertEquals("/discovery/hosts", fixture.discovery.awaitRequest("GET").target());
        double pausedMs = (System.nanoTime() - polled) / 1e6;
        assertTrue(pausedMs < 700, "polled again after " + pausedMs + " ms");
        assertTrue(
                fixture.discovery
                        .awaitRequest("GET")
                        .target()
                        .startsWith("/discovery/hosts?after="));
    }

    @Test
    void silentWatchIsReopenedBeforeMissedChangesTakeEffect() throws Exception {
        Function<ReceivedRequest, ScriptedResponse> script = fixture.discovery.script;
        fixture.discovery.awaitRequest("GET");
        fixture.discovery.script =
                request ->
                        request.target().contains("after=")
                                ? new ScriptedResponse(null, true)
                                : script.apply(request);
        // The watch that follows this one gets no response.
        while (!fixture.discovery.awaitRequest("GET").target().contains("after=")) {
            fixture.endpointList.publishChange();
        }
        long start = System.nanoTime();
        while (fixture.discovery.awaitRequest("GET").target().contains("after=")) {
            start = System.nanoTime();
        }
        // Time for a connection that is not established and another attempt must remain before the
        // missed change counts as known, after 6 s.
        assertTrue(System.nanoTime() - start < 4_000e6);
    }

    @Test
    void nodeIsReadyOnlyOnceDiscoveryHasSentItsList() throws Exception {
        CountDownLatch open = new CountDownLatch(1);
        CountDownLatch requested = new CountDownLatch(1);
        try (ScriptedServer slow =
                new ScriptedServer(
                        request -> {
                            requested.countDown();
                            awaitLatch(open);
                            return fixture.discovery.script.apply(request);
                        })) {
            fixture.writeConfiguration(slow.port());
            Thread later =
                    new Thread(
                            () -> {
                                awaitLatch(requested);
                                open.countDown();
                            });
            later.start();
            Node node =
                    Node.open(
                            Map.of(
                                    "PROXY_CONFIG",
                                    fixture.configurationFile.toString(),
                                    "PROXY_NAME",
                                    "n1"));
            assertEquals(0, open.getCount());
            node.shutDown();
            node.awaitTermination();
        }
    }
}
