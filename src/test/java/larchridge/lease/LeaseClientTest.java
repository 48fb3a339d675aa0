package larchridge.lease;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.Context;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import larchridge.budget.QuotaRequest;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The client against a lender that sends a given response or none. */
class LeaseClientTest {
    private final Vertx vertx = Vertx.vertx();
    private final Context eventLoop = vertx.getOrCreateContext();
    private final BlockingQueue<String> grants = new LinkedBlockingQueue<>();

    private LeaseClient clientOfLenderResponding(String response) throws Exception {
        HttpServer server =
                vertx.createHttpServer()
                        .requestHandler(
                                request -> {
                                    // Without a response the call hangs, as with a lender that
                                    // is stopped.
                                    if (response != null) {
                                        request.response().end(response);
                                    }
                                });
        server.listen(0, "127.0.0.1")
                .toCompletionStage()
                .toCompletableFuture()
                .get(5, TimeUnit.SECONDS);
        CompletableFuture<LeaseClient> created = new CompletableFuture<>();
        eventLoop.runOnContext(
                v ->
                        created.complete(
                                new LeaseClient(vertx, "127.0.0.1", server.actualPort(), 150)));
        return created.get(5, TimeUnit.SECONDS);
    }

    private boolean request(LeaseClient client, int times) throws Exception {
        CompletableFuture<Boolean> accepted = new CompletableFuture<>();
        eventLoop.runOnContext(
                v -> {
                    boolean allAccepted = true;
                    for (int i = 0; i < times; i++) {
                        allAccepted &=
                                client.request(
                                        new QuotaRequest("t", 100, 0),
                                        (tokens, retryAfterMs) ->
                                                grants.add(
                                                        (int) tokens + " " + (int) retryAfterMs));
                    }
                    accepted.complete(allAccepted);
                });
        return accepted.get(5, TimeUnit.SECONDS);
    }

    private String nextGrant() throws InterruptedException {
        return grants.poll(5, TimeUnit.SECONDS);
    }

    @AfterEach
    void close() throws Exception {
        vertx.close().toCompletionStage().toCompletableFuture().get(5, TimeUnit.SECONDS);
    }

    @Test
    void grantedTokensAreReported() throws Exception {
        LeaseClient client =
                clientOfLenderResponding("{\"lent\":[{\"tokens\":100,\"back_ms\":0}]}");
        assertTrue(request(client, 1));
        assertEquals("100 0", nextGrant());
        assertTrue(request(client, 1));
        assertEquals("100 0", nextGrant());
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "{\"lent\":[{\"tokens\":101}]}",
                "{\"lent\":[]}",
                "nonsense",
                "{\"lent\":[{\"tokens\":-1}]}",
                "{\"lent\":[{\"tokens\":\"NaN\"}]}",
                ""
            })
    void invalidResponseGrantsNothingAndTheLenderCountsAsUnresponsive(String response)
            throws Exception {
        LeaseClient client = clientOfLenderResponding(response);
        assertTrue(request(client, 1));
        assertEquals("0 0", nextGrant());
        assertFalse(request(client, 1), "accepted before the probe interval");
    }

    @Test
    void allPendingRequestsFailOnceTheLenderDoesNotRespond() throws Exception {
        LeaseClient client = clientOfLenderResponding(null);
        assertTrue(request(client, 1));
        assertFalse(request(client, 1), "accepted before the lender has ever responded");
        assertEquals("0 0", nextGrant());
        assertFalse(request(client, 3));
        assertEquals(0, grants.size());
    }
}
