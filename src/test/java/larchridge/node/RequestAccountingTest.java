package larchridge.node;

import static larchridge.node.NodeFixture.awaitCompleteStream;
import static larchridge.node.WireMessages.EVENT;
import static larchridge.node.WireMessages.SHORT_STREAM;
import static larchridge.node.WireMessages.STREAM_HEAD;
import static larchridge.node.WireMessages.chunk;
import static larchridge.node.WireMessages.declined;
import static larchridge.node.WireMessages.generationRequest;
import static larchridge.node.WireMessages.newRequestId;
import static larchridge.node.WireMessages.response;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Counts of attempts and requests in the presence of faults and over many requests. */
@Timeout(30)
class RequestAccountingTest extends AbstractNodeTest {
    @Test
    void policyAndUpstreamCountTheSameAttemptsThroughFaultsAndDisconnectsAndReturnToZero()
            throws Exception {
        AtomicInteger calls = new AtomicInteger();
        String good = SHORT_STREAM;
        ScriptedResponse[] replies = {
            new ScriptedResponse(good, true),
            new ScriptedResponse("noise\r\n\r\n", true),
            new ScriptedResponse("", false),
            new ScriptedResponse(response("500 Oops", ""), true),
            new ScriptedResponse(declined("503 Full"), true),
            new ScriptedResponse(null, true),
            new ScriptedResponse(STREAM_HEAD + chunk(EVENT) + "zz\r\n", true),
            new ScriptedResponse(good, true)
        };
        fixture.writer.script = request -> replies[calls.getAndIncrement() % replies.length];
        int maxAttempts = 0;
        List<RawClient> unanswered = new ArrayList<>();
        for (int i = 0; i < 40; i++) {
            RawClient client = fixture.newClient();
            client.send(generationRequest(newRequestId(), 600, ""));
            int attempts = fixture.inspector.attemptsInFlight();
            assertNotEquals(-1, attempts, "at request " + i);
            maxAttempts = Math.max(maxAttempts, attempts);
            if (i % 5 == 0) {
                client.close();
            } else if (i % 2 == 0) {
                client.readUntil("\r\n\r\n");
            } else {
                unanswered.add(client);
            }
            assertNotEquals(-1, fixture.inspector.attemptsInFlight(), "after request " + i);
        }
        assertTrue(maxAttempts > 0);
        // The upstream client does not count a request that the node has not read yet or that waits
        // for its read attempt, so each one must be answered first.
        for (RawClient client : unanswered) {
            assertNotNull(client.readUntil("\r\n\r\n"));
        }
        while (fixture.inspector.openRequests() > 0) {
            assertNotEquals(-1, fixture.inspector.attemptsInFlight());
        }
        assertEquals(0, fixture.inspector.attemptsInFlight());
    }

    @Test
    void requestStateDoesNotAccumulate() throws Exception {
        RawClient client = fixture.newClient();
        for (int i = 0; i < 1500; i++) {
            client.send(
                    generationRequest(newRequestId(), "")
                            .replace("k1", "k" + i)
                            .replace("prefix=p1", "prefix=p" + i));
            awaitCompleteStream(client);
            fixture.reader.received.clear();
            fixture.writer.received.clear();
        }
        assertEquals(0, fixture.inspector.openRequests());
    }
}
