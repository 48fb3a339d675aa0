package larchridge.node;

import static larchridge.node.NodeFixture.awaitCompleteStream;
import static larchridge.node.NodeFixture.awaitLatch;
import static larchridge.node.WireMessages.SHORT_STREAM;
import static larchridge.node.WireMessages.generationRequest;
import static larchridge.node.WireMessages.newRequestId;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.CountDownLatch;
import larchridge.node.NodeFixture.ReadGate;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** When and where held states are released. */
@Timeout(30)
class StateReleaseTest extends AbstractNodeTest {
    /** The configured time for a held state plus the tolerance of the platform. */
    private static final double RELEASED_WITHIN_MS = 1000 + 300;

    private void assertReleasedInTime(String id, long readNanos) throws Exception {
        assertEquals("/v1/holds/" + id, fixture.reader.awaitRequest("DELETE").target());
        double tookMs = (System.nanoTime() - readNanos) / 1e6;
        assertTrue(tookMs < RELEASED_WITHIN_MS, "released after " + tookMs + " ms");
    }

    /**
     * The node can't distinguish an attempt that was lost on a silent connection from one that
     * waits in the engine's queue.
     */
    @Test
    void stateIsReleasedInTimeWhileItsWriteAttemptIsInFlightOnASilentConnection() throws Exception {
        fixture.writer.script = request -> new ScriptedResponse(null, true);
        String id = newRequestId();
        fixture.newClient().send(generationRequest(id, ""));
        fixture.reader.awaitRequest("POST");
        assertReleasedInTime(id, System.nanoTime());
    }

    /**
     * The timely release frees nothing that a queued attempt waits for, so the attempt stays in
     * flight.
     */
    @Test
    void attemptThatWaitsInItsEnginesQueueIsServedAfterTheReleaseOfItsState() throws Exception {
        CountDownLatch released = new CountDownLatch(1);
        fixture.writer.script =
                request -> {
                    awaitLatch(released);
                    return new ScriptedResponse(SHORT_STREAM, true);
                };
        String id = newRequestId();
        RawClient client = fixture.newClient();
        client.send(generationRequest(id, ""));
        fixture.reader.awaitRequest("POST");
        assertReleasedInTime(id, System.nanoTime());
        released.countDown();
        awaitCompleteStream(client);
        assertEquals(1, fixture.writer.attemptCount());
    }

    @Test
    void requestOfAClientThatClosesAfterOverflowingItsPipelineQueueIsNotForwarded()
            throws Exception {
        ReadGate gate = fixture.gateReads();
        String id = newRequestId();
        RawClient client = fixture.clientWithPendingRead(gate, id);
        for (int i = 0; i < 4000; i++) {
            client.send(generationRequest(newRequestId(), ""));
        }
        client.close();
        assertEquals("/v1/holds/" + id, fixture.reader.awaitRequest("DELETE").target());
        gate.opened().countDown();
        RawClient other = fixture.newClient();
        String next = newRequestId();
        other.send(generationRequest(next, ""));
        awaitCompleteStream(other);
        assertEquals(next, fixture.writer.awaitRequest("POST").header("Req-Id"));
    }

    @Test
    void stateOfAClientThatDisconnectsIsReleased() throws Exception {
        CountDownLatch reading = new CountDownLatch(1);
        fixture.writer.script =
                request -> {
                    reading.countDown();
                    return new ScriptedResponse(null, true);
                };
        String id = newRequestId();
        RawClient client = fixture.newClient();
        client.send(generationRequest(id, ""));
        awaitLatch(reading);
        client.close();
        assertEquals("/v1/holds/" + id, fixture.reader.awaitRequest("DELETE").target());
    }

    @Test
    void stateIsReleasedAtAnotherEngineIfItsHolderIsSilent() throws Exception {
        fixture.reader.silent = true;
        String id = newRequestId();
        RawClient client = fixture.newClient();
        client.send(generationRequest(id, 1000, ""));
        assertTrue(client.readResponse().matches("(?s)HTTP/1.1 50[34] .*"));
        assertEquals("/v1/holds/" + id, fixture.writer.awaitRequest("DELETE").target());
    }
}
