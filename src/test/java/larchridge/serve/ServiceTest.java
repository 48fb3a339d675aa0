package larchridge.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import larchridge.simulatedengine.EngineProfile;
import larchridge.state.Role;
import larchridge.systemtest.EventStreamChecker;
import org.junit.jupiter.api.Test;

/** The whole path over sockets: clients, the service, stand-in engines. */
class ServiceTest {
    @Test
    void streamedAndWholeAnswersAreTheSameText() throws Exception {
        try (ServiceFixture town = new ServiceFixture("")) {
            ServiceFixture.Answer whole =
                    town.ask(town.options(), ServiceFixture.call("free", false, 7));
            ServiceFixture.Answer stream =
                    town.ask(town.options(), ServiceFixture.call("free", true, 7));
            EventStreamChecker order = ServiceFixture.order(stream.body());
            assertNull(order.fault());
            assertTrue(order.isStopped());
            assertEquals("w1 w2 w3 w4 w5 w6 w7 ", order.text());
            assertTrue(whole.body().contains(order.text()));
            assertEquals("max_tokens", order.stopReason());
            assertTrue(whole.response().getHeader("request-id").startsWith("req_"));
            ServiceFixture.Answer over2 =
                    town.ask(town.http2(), town.options(), ServiceFixture.call("free", true, 7));
            assertEquals("w1 w2 w3 w4 w5 w6 w7 ", ServiceFixture.order(over2.body()).text());
        }
    }

    @Test
    void everyErrorOfTheDoorIsInTheApisWords() throws Exception {
        try (ServiceFixture town = new ServiceFixture("body_bytes: 2000 body_ms: 150")) {
            check(town.ask(town.options(), "{}"), 400, "invalid_request_error");
            check(
                    town.ask(town.options().putHeader("x-api-key", "no"), "{}"),
                    401,
                    "authentication_error");
            check(town.ask(town.options().setURI("/v1/other"), "{}"), 404, "not_found_error");
            check(
                    town.ask(town.options(), ServiceFixture.call("nobody", false, 1)),
                    404,
                    "not_found_error");
            check(
                    town.ask(town.options().setMethod(HttpMethod.PUT), "{}"),
                    405,
                    "invalid_request_error");
            check(town.ask(town.options(), " ".repeat(2001)), 413, "request_too_large");
            HttpClientRequest slow =
                    town.of(
                            town.http
                                    .request(town.options().putHeader("content-length", "50"))
                                    .toCompletionStage()
                                    .toCompletableFuture());
            slow.write("{");
            assertEquals(
                    408,
                    town.of(
                            slow.response()
                                    .map(HttpClientResponse::statusCode)
                                    .toCompletionStage()
                                    .toCompletableFuture()));
            RequestOptions noVersion =
                    new RequestOptions()
                            .setMethod(HttpMethod.POST)
                            .setHost("127.0.0.1")
                            .setPort(town.port())
                            .setURI("/v1/messages")
                            .putHeader("x-api-key", "key");
            check(town.ask(noVersion, "{}"), 400, "invalid_request_error");
        }
    }

    private static void check(ServiceFixture.Answer answer, int status, String type) {
        assertEquals(status + " " + type, answer.status() + " " + answer.type(), answer.body());
    }

    @Test
    void faultyEnginesTerminateWhatMayHaveRunAndThrottleTheRest() throws Exception {
        try (ServiceFixture town = new ServiceFixture("")) {
            town.fleet.on(2, engine -> engine.mood.faulty = true);
            ServiceFixture.Answer once =
                    town.ask(town.options(), ServiceFixture.call("once", false, 3));
            check(once, 500, "api_error");
            assertEquals("false", once.response().getHeader("x-should-retry"));
            ServiceFixture.Answer free =
                    town.ask(town.options(), ServiceFixture.call("free", false, 3));
            check(free, 529, "overloaded_error");
            assertEquals("true", free.response().getHeader("x-should-retry"));
            assertTrue(Integer.parseInt(free.response().getHeader("retry-after")) >= 1);
        }
    }

    @Test
    void engineThatAcceptsAndNeverAnswersEndsInTime() throws Exception {
        try (ServiceFixture town = new ServiceFixture("")) {
            town.fleet.on(2, engine -> engine.mood.lostShare = 1);
            long start = System.nanoTime();
            check(
                    town.ask(town.options(), ServiceFixture.call("once", true, 3)),
                    504,
                    "timeout_error");
            assertTrue(System.nanoTime() - start < 1_100_000_000L);
            ServiceFixture.await(() -> town.saw("STATE_GONE 1") && town.count("LEG_OUT 2") == 1);
        }
    }

    @Test
    void writerThatDiesMidStreamEndsItWithAnError() throws Exception {
        try (ServiceFixture town = new ServiceFixture("")) {
            CompletableFuture<String> body = new CompletableFuture<>();
            Buffer all = Buffer.buffer();
            town.http
                    .request(town.options())
                    .compose(r -> r.send(Buffer.buffer(ServiceFixture.call("free", true, 500))))
                    .onSuccess(
                            response ->
                                    response.handler(
                                                    part -> {
                                                        if (all.appendBuffer(part)
                                                                .toString()
                                                                .contains("w2 ")) {
                                                            town.fleet.on(
                                                                    2, engine -> engine.crash());
                                                        }
                                                    })
                                            .endHandler(end -> body.complete(all.toString()))
                                            .exceptionHandler(body::completeExceptionally));
            EventStreamChecker order = ServiceFixture.order(town.of(body));
            assertNull(order.fault());
            assertTrue(order.isErrored());
            assertEquals(0, order.afterEnd());
        }
    }

    @Test
    void clientThatVanishesFreesItsWriterAndItsState() throws Exception {
        try (ServiceFixture town = new ServiceFixture("")) {
            HttpClientRequest request =
                    town.of(
                            town.http
                                    .request(town.options())
                                    .toCompletionStage()
                                    .toCompletableFuture());
            request.send(Buffer.buffer(ServiceFixture.call("free", true, 5000)));
            ServiceFixture.await(() -> town.saw("RAN 2"));
            request.reset();
            ServiceFixture.await(() -> town.saw("LEG_OUT 2") && town.saw("STATE_GONE 1"));
        }
    }

    @Test
    void readThatEndsAfterItsClientLeftIsReleased() throws Exception {
        try (ServiceFixture town = new ServiceFixture("")) {
            town.fleet.on(1, engine -> engine.mood.lostShare = 1);
            HttpClientRequest request =
                    town.of(
                            town.http
                                    .request(town.options())
                                    .toCompletionStage()
                                    .toCompletableFuture());
            request.send(Buffer.buffer(ServiceFixture.call("free", true, 5)));
            ServiceFixture.await(() -> town.saw("STATE_HELD 1"));
            request.reset();
            ServiceFixture.await(() -> town.saw("STATE_GONE 1"));
        }
    }

    @Test
    void slowReaderHoldsBackTheEngineAndIsCutInTime() throws Exception {
        EngineProfile fast =
                new EngineProfile(
                        2,
                        Role.WRITER,
                        "",
                        0,
                        60,
                        8,
                        60,
                        40,
                        2_000_000,
                        0.002,
                        300,
                        0.3,
                        3000,
                        20_000);
        try (ServiceFixture town =
                new ServiceFixture(
                        "slow_client_ms: 700",
                        List.of(EngineProfile.of(1, Role.READER, "", 0), fast))) {
            CompletableFuture<HttpClientResponse> got = new CompletableFuture<>();
            CompletableFuture<Void> cut = new CompletableFuture<>();
            town.http
                    .request(town.options())
                    .compose(r -> r.send(Buffer.buffer(ServiceFixture.call("free", true, 900_000))))
                    .onSuccess(
                            response -> {
                                response.pause();
                                response.exceptionHandler(e -> {});
                                response.request()
                                        .connection()
                                        .closeHandler(closed -> cut.complete(null));
                                got.complete(response);
                            });
            HttpClientResponse response = town.of(got);
            // The writer's attempt ends because the client is cut, not because all 900,000 tokens
            // were taken.
            ServiceFixture.await(() -> town.saw("LEG_OUT 2"));
            response.resume();
            town.of(cut);
            assertTrue(town.service.figures().scrape().contains("kind=\"slow_client\""));
        }
    }

    @Test
    void overTheBoundClientsAreThrottledAtTheDoor() throws Exception {
        try (ServiceFixture town = new ServiceFixture("open_generations: 1")) {
            HttpClientRequest first =
                    town.of(
                            town.http
                                    .request(town.options())
                                    .toCompletionStage()
                                    .toCompletableFuture());
            first.send(Buffer.buffer(ServiceFixture.call("free", true, 5000)));
            ServiceFixture.await(() -> town.saw("RAN 2"));
            check(
                    town.ask(town.options(), ServiceFixture.call("free", true, 5)),
                    529,
                    "overloaded_error");
            first.reset();
        }
    }

    @Test
    void stopLetsOpenStreamsEndAndTurnsNewOnesAway() throws Exception {
        ServiceFixture town = new ServiceFixture("stop_ms: 6000");
        CompletableFuture<String> body = new CompletableFuture<>();
        town.http
                .request(town.options())
                .compose(r -> r.send(Buffer.buffer(ServiceFixture.call("free", true, 100))))
                .compose(HttpClientResponse::body)
                .onSuccess(b -> body.complete(b.toString()));
        ServiceFixture.await(() -> town.saw("RAN 2"));
        town.close();
        assertTrue(ServiceFixture.order(town.of(body)).isStopped());
    }

    @Test
    void stopTerminatesWhatIsOpenAtItsEnd() throws Exception {
        ServiceFixture town = new ServiceFixture("stop_ms: 200");
        CompletableFuture<String> body = new CompletableFuture<>();
        town.http
                .request(town.options())
                .compose(r -> r.send(Buffer.buffer(ServiceFixture.call("free", true, 50_000))))
                .compose(HttpClientResponse::body)
                .onSuccess(b -> body.complete(b.toString()));
        ServiceFixture.await(() -> town.saw("RAN 2"));
        town.close();
        assertTrue(ServiceFixture.order(town.of(body)).isErrored());
    }

    @Test
    void badListChangesNothingAndAGoodOneDoes() throws Exception {
        try (ServiceFixture town = new ServiceFixture("")) {
            java.nio.file.Path list = town.folder.resolve("engines.yaml");
            java.nio.file.Files.writeString(list, "engines:\n  - id: 1\n    ho");
            check(town.ask(town.options(), "{}"), 400, "invalid_request_error");
            assertEquals(
                    200, town.ask(town.options(), ServiceFixture.call("free", false, 2)).status());
            town.fleet.say(1, "draining", true, 0);
            town.fleet.writeList(list);
            ServiceFixture.await(
                    () -> {
                        try {
                            return town.ask(town.options(), ServiceFixture.call("free", false, 2))
                                            .status()
                                    == 529;
                        } catch (Exception e) {
                            throw new IllegalStateException(e);
                        }
                    });
        }
    }
}
