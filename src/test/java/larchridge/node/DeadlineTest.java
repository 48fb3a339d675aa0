package larchridge.node;

import static larchridge.node.WireMessages.generationRequest;
import static larchridge.node.WireMessages.newRequestId;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Final answers and errors must be sent in time even if engines or clients are silent. */
@Timeout(30)
class DeadlineTest extends AbstractNodeTest {
    /**
     * Time after the connect within which a client that stops in the middle of a request must get
     * an error or a close.
     */
    private static final double STOPPED_CLIENT_TIMEOUT_MS = 3000;

    @Test
    void finalAnswerIsSentBeforeTheDeadlineIfEnginesAreSilent() throws Exception {
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
