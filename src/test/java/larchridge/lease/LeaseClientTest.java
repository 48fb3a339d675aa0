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

/** A lender whose every answer the test decides. */
class LeaseClientTest {
    private final Vertx vertx = Vertx.vertx();
    private final Context loop = vertx.getOrCreateContext();
    private final BlockingQueue<String> told = new LinkedBlockingQueue<>();

    private LeaseClient link(String answer) throws Exception {
        HttpServer server =
                vertx.createHttpServer()
                        .requestHandler(
                                request -> {
                                    // Without an answer the question hangs, as at a lender that has
                                    // stopped.
                                    if (answer != null) {
                                        request.response().end(answer);
                                    }
                                });
        server.listen(0, "127.0.0.1")
                .toCompletionStage()
                .toCompletableFuture()
                .get(5, TimeUnit.SECONDS);
        CompletableFuture<LeaseClient> made = new CompletableFuture<>();
        loop.runOnContext(
                v -> made.complete(new LeaseClient(vertx, "127.0.0.1", server.actualPort(), 150)));
        return made.get(5, TimeUnit.SECONDS);
    }

    private boolean ask(LeaseClient link, int times) throws Exception {
        CompletableFuture<Boolean> taken = new CompletableFuture<>();
        loop.runOnContext(
                v -> {
                    boolean all = true;
                    for (int i = 0; i < times; i++) {
                        all &=
                                link.request(
                                        new QuotaRequest("t", 100, 0),
                                        (tokens, back) ->
                                                told.add((int) tokens + " " + (int) back));
                    }
                    taken.complete(all);
                });
        return taken.get(5, TimeUnit.SECONDS);
    }

    private String next() throws InterruptedException {
        return told.poll(5, TimeUnit.SECONDS);
    }

    @AfterEach
    void close() throws Exception {
        vertx.close().toCompletionStage().toCompletableFuture().get(5, TimeUnit.SECONDS);
    }

    @Test
    void whatIsLentIsTold() throws Exception {
        LeaseClient link = link("{\"lent\":[{\"tokens\":100,\"back_ms\":0}]}");
        assertTrue(ask(link, 1));
        assertEquals("100 0", next());
        assertTrue(ask(link, 1));
        assertEquals("100 0", next());
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
    void nonsenseIsNoLoanAndTheLenderCountsAsAway(String answer) throws Exception {
        LeaseClient link = link(answer);
        assertTrue(ask(link, 1));
        assertEquals("0 0", next());
        assertFalse(ask(link, 1), "asked again at once");
    }

    @Test
    void allThatWaitAreToldOnceTheLenderDoesNotAnswer() throws Exception {
        LeaseClient link = link(null);
        assertTrue(ask(link, 1));
        assertFalse(ask(link, 1), "waits for a lender that never answered yet");
        assertEquals("0 0", next());
        assertFalse(ask(link, 3));
        assertEquals(0, told.size());
    }
}
