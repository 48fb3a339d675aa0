package larchridge.node;

import static larchridge.node.NodeFixture.awaitCompleteStream;
import static larchridge.node.WireMessages.HEALTH_REQUEST;
import static larchridge.node.WireMessages.generationRequest;
import static larchridge.node.WireMessages.newRequestId;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** More client connections than the node may hold, and connections that stay silent. */
@Timeout(30)
class ClientConnectionLimitTest extends AbstractNodeTest {
    @Test
    void silentConnectionsAreClosedAndOtherClientsStayServed() throws Exception {
        long start = System.nanoTime();
        RawClient half = fixture.newClient();
        half.send(
                "POST /v1/chat/completions HTTP/1.1\r\nHost: s\r\nContent-Length: 50\r\n\r\nhalf");
        for (int i = 0; i < 300; i++) {
            RawClient silentClient = fixture.newClient();
            if (i % 50 == 0) {
                RawClient otherClient = fixture.newClient();
                otherClient.send(generationRequest(newRequestId(), ""));
                awaitCompleteStream(otherClient);
            }
            if (i == 299) {
                silentClient.readToEnd();
            }
        }
        assertTrue(half.readToEnd().matches("(?s)HTTP/1.1 408.*"));
        assertTrue(System.nanoTime() - start < 3_000e6);
    }

    @Test
    void burstOfConnectionsStaysWithinTheConnectionLimit() throws Exception {
        int maxConnections = 0;
        for (int i = 0; i < 8; i++) {
            // Faster than the node can accept them one by one.
            for (int j = 0; j < 100; j++) {
                fixture.newClient();
            }
            maxConnections = Math.max(maxConnections, fixture.inspector.connections());
        }
        assertTrue(
                maxConnections > 100 && maxConnections <= 126,
                "connections " + maxConnections + " where 0.42 of 300 are allowed");
        RawClient otherClient = fixture.newClient();
        otherClient.send(generationRequest(newRequestId(), ""));
        awaitCompleteStream(otherClient);
    }

    @Test
    void burstOfIncompleteRequestsStaysWithinTheConnectionLimit() throws Exception {
        String request = generationRequest(newRequestId(), "");
        for (String part :
                new String[] {
                    request.substring(0, 40), request.substring(0, request.length() - 4)
                }) {
            for (int i = 0; i < 200; i++) {
                fixture.newClient().send(part);
            }
            fixture.awaitEventLoop();
            int connections = fixture.inspector.connections();
            assertTrue(
                    connections <= 126,
                    "connections " + connections + " where 0.42 of 300 are allowed");
            RawClient otherClient = fixture.newClient();
            otherClient.send(generationRequest(newRequestId(), ""));
            awaitCompleteStream(otherClient);
        }
    }

    @Test
    void newConnectionIsServedIfAllOthersAreIdle() throws Exception {
        for (int i = 0; i < 200; i++) {
            RawClient idleClient = fixture.newClient();
            idleClient.send(HEALTH_REQUEST);
            assertTrue(idleClient.readResponse().startsWith("HTTP/1.1 200 "), "connection " + i);
        }
        assertEquals(126, fixture.inspector.connections());
    }
}
