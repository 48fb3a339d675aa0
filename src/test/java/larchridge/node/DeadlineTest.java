package larchridge.node;

import static larchridge.node.WireMessages.generationRequest;
import static larchridge.node.WireMessages.newRequestId;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Answers that are due by a time, whatever engines or clients do. */
@Timeout(30)
class DeadlineTest extends AbstractNodeTest {
    /**
     * Clients that stop in the middle are owed an error or a close so long after they connected.
     */
    private static final double STOPPED_CLIENT_TIMEOUT_MS = 3000;

    @Test
    void finalAnswerComesBeforeTheDeadlineWhereEnginesAreSilent() throws Exception {
        fixture.reader.script = request -> new ScriptedResponse(null, true);
        RawClient client = fixture.newClient();
        long start = System.nanoTime();
        client.send(generationRequest(newRequestId(), 700, ""));
        assertTrue(client.readResponse().matches("(?s)HTTP/1.1 50[34] .*"));
        assertTrue(System.nanoTime() - start < 750e6);
    }

    @Test
    void clientThatIsSlowWithItsHeadAndStopsInItsBodyIsAnsweredInTime() throws Exception {
        long connected = System.nanoTime();
        RawClient client = fixture.newClient();
        String head = generationRequest(newRequestId(), "");
        int middle = head.indexOf("Req-Key");
        TimeUnit.MILLISECONDS.sleep(1500);
        client.send(head.substring(0, middle));
        TimeUnit.MILLISECONDS.sleep(400);
        client.send(head.substring(middle, head.length() - 5));
        assertTrue(client.readToEnd().startsWith("HTTP/1.1 408 "));
        double tookMs = (System.nanoTime() - connected) / 1e6;
        assertTrue(tookMs < STOPPED_CLIENT_TIMEOUT_MS, "after " + tookMs + " ms");
    }
}
