package larchridge.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import java.lang.management.ManagementFactory;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import javax.management.ObjectName;
import larchridge.simulatedengine.EngineProfile;
import larchridge.state.Role;
import larchridge.systemtest.EventStreamChecker;
import org.junit.jupiter.api.Test;

/** Tests the service end to end over sockets, with clients and simulated engines. */
class ServiceTest {
    @Test
    void streamedAndNonStreamingResponsesHaveTheSameText() throws Exception {
        try (ServiceFixture fixture = new ServiceFixture("")) {
            ServiceFixture.Response response =
                    fixture.post(fixture.options(), ServiceFixture.requestBody("free", false, 7));
            ServiceFixture.Response streamResponse =
                    fixture.post(fixture.options(), ServiceFixture.requestBody("free", true, 7));
            EventStreamChecker checker = ServiceFixture.checkEvents(streamResponse.body());
            assertNull(checker.fault());
            assertTrue(checker.isStopped());
            assertEquals("w1 w2 w3 w4 w5 w6 w7 ", checker.text());
            assertTrue(response.body().contains(checker.text()));
            assertEquals("max_tokens", checker.stopReason());
            assertTrue(response.response().getHeader("request-id").startsWith("req_"));
            ServiceFixture.Response http2Response =
                    fixture.post(
                            fixture.http2(),
                            fixture.options(),
                            ServiceFixture.requestBody("free", true, 7));
            assertEquals(
                    "w1 w2 w3 w4 w5 w6 w7 ",
                    ServiceFixture.checkEvents(http2Response.body()).text());
        }
    }

    @Test
    void everyRequestErrorHasTheApisStatusAndType() throws Exception {
        try (ServiceFixture fixture = new ServiceFixture("body_bytes: 2000 body_ms: 150")) {
            check(fixture.post(fixture.options(), "{}"), 400, "invalid_request_error");
            check(
                    fixture.post(fixture.options().putHeader("x-api-key", "no"), "{}"),
                    401,
                    "authentication_error");
            check(
                    fixture.post(fixture.options().setURI("/v1/other"), "{}"),
                    404,
                    "not_found_error");
            check(
                    fixture.post(fixture.options(), ServiceFixture.requestBody("nobody", false, 1)),
                    404,
                    "not_found_error");
            check(
                    fixture.post(fixture.options().setMethod(HttpMethod.PUT), "{}"),
                    405,
                    "invalid_request_error");
            check(fixture.post(fixture.options(), " ".repeat(2001)), 413, "request_too_large");
            HttpClientRequest slow =
                    fixture.get(
                            fixture.http
                                    .request(fixture.options().putHeader("content-length", "50"))
                                    .toCompletionStage()
                                    .toCompletableFuture());
            slow.write("{");
            assertEquals(
                    408,
                    fixture.get(
                            slow.response()
                                    .map(HttpClientResponse::statusCode)
                                    .toCompletionStage()
                                    .toCompletableFuture()));
            RequestOptions noVersion =
                    new RequestOptions()
                            .setMethod(HttpMethod.POST)
                            .setHost("127.0.0.1")
                            .setPort(fixture.port())
                            .setURI("/v1/messages")
                            .putHeader("x-api-key", "key");
            check(fixture.post(noVersion, "{}"), 400, "invalid_request_error");
        }
    }

    private static void check(ServiceFixture.Response response, int status, String type) {
        assertEquals(
                status + " " + type, response.status() + " " + response.type(), response.body());
    }

    @Test
    void faultyEnginesFailWhatMayHaveRunAndRejectTheRest() throws Exception {
        try (ServiceFixture fixture = new ServiceFixture("")) {
            fixture.fleet.runOn(2, engine -> engine.faults.failAll = true);
            ServiceFixture.Response sideEffecting =
                    fixture.post(fixture.options(), ServiceFixture.requestBody("once", false, 3));
            check(sideEffecting, 500, "api_error");
            assertEquals("false", sideEffecting.response().getHeader("x-should-retry"));
            ServiceFixture.Response idempotent =
                    fixture.post(fixture.options(), ServiceFixture.requestBody("free", false, 3));
            check(idempotent, 529, "overloaded_error");
            assertEquals("true", idempotent.response().getHeader("x-should-retry"));
            assertTrue(Integer.parseInt(idempotent.response().getHeader("retry-after")) >= 1);
        }
    }

    @Test
    void requestToAnEngineThatNeverAnswersFailsAtItsDeadline() throws Exception {
        try (ServiceFixture fixture = new ServiceFixture("")) {
            fixture.fleet.runOn(2, engine -> engine.faults.lostResponseShare = 1);
            long start = System.nanoTime();
            check(
                    fixture.post(fixture.options(), ServiceFixture.requestBody("once", true, 3)),
                    504,
                    "timeout_error");
            assertTrue(System.nanoTime() - start < 1_100_000_000L);
            ServiceFixture.await(
                    () -> fixture.hasEvent("STATE_GONE 1") && fixture.eventCount("LEG_OUT 2") == 1);
        }
    }

    @Test
    void writerCrashMidStreamEndsTheStreamWithAnError() throws Exception {
        try (ServiceFixture fixture = new ServiceFixture("")) {
            CompletableFuture<String> body = new CompletableFuture<>();
            Buffer received = Buffer.buffer();
            fixture.http
                    .request(fixture.options())
                    .compose(
                            r ->
                                    r.send(
                                            Buffer.buffer(
                                                    ServiceFixture.requestBody("free", true, 500))))
                    .onSuccess(
                            response ->
                                    response.handler(
                                                    chunk -> {
                                                        if (received.appendBuffer(chunk)
                                                                .toString()
                                                                .contains("w2 ")) {
                                                            fixture.fleet.runOn(
                                                                    2, engine -> engine.crash());
                                                        }
                                                    })
                                            .endHandler(end -> body.complete(received.toString()))
                                            .exceptionHandler(body::completeExceptionally));
            EventStreamChecker checker = ServiceFixture.checkEvents(fixture.get(body));
            assertNull(checker.fault());
            assertTrue(checker.isErrored());
            assertEquals(0, checker.eventsAfterEnd());
        }
    }

    @Test
    void clientDisconnectFreesTheWriterAndTheReadState() throws Exception {
        try (ServiceFixture fixture = new ServiceFixture("")) {
            HttpClientRequest request =
                    fixture.get(
                            fixture.http
                                    .request(fixture.options())
                                    .toCompletionStage()
                                    .toCompletableFuture());
            request.send(Buffer.buffer(ServiceFixture.requestBody("free", true, 5000)));
            ServiceFixture.await(() -> fixture.hasEvent("RAN 2"));
            request.reset();
            ServiceFixture.await(
                    () -> fixture.hasEvent("LEG_OUT 2") && fixture.hasEvent("STATE_GONE 1"));
        }
    }

    /** Number of objects of a class that are reachable in this process. */
    private static long reachableObjects(String className) throws Exception {
        String histogram =
                (String)
                        ManagementFactory.getPlatformMBeanServer()
                                .invoke(
                                        new ObjectName("com.sun.management:type=DiagnosticCommand"),
                                        "gcClassHistogram",
                                        new Object[] {new String[0]},
                                        new String[] {String[].class.getName()});
        return histogram
                .lines()
                .map(line -> line.strip().split("\\s+"))
                .filter(columns -> columns.length >= 4 && columns[3].equals(className))
                .mapToLong(columns -> Long.parseLong(columns[1]))
                .sum();
    }

    /**
     * Guards against: a timer that only a final response ended kept each request whose client left
     * in the middle of its stream, until the heap was full.
     */
    @Test
    void requestsOfClientsThatDisconnectAreNotKeptInMemory() throws Exception {
        try (ServiceFixture fixture = new ServiceFixture("")) {
            for (int i = 0; i < 60; i++) {
                HttpClientRequest request =
                        fixture.get(
                                fixture.http
                                        .request(fixture.options())
                                        .toCompletionStage()
                                        .toCompletableFuture());
                Future<HttpClientResponse> response =
                        request.send(
                                Buffer.buffer(ServiceFixture.requestBody("free", true, 50_000)));
                if (i % 2 == 0) {
                    fixture.get(response.toCompletionStage().toCompletableFuture());
                }
                request.reset();
            }
            long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
            for (String className :
                    List.of(
                            "larchridge.messages.MessagesResponseSink",
                            "larchridge.router.InFlightRequest",
                            "larchridge.router.GenerationRequest")) {
                long kept = reachableObjects(className);
                while (kept > 0 && System.nanoTime() < end) {
                    kept = reachableObjects(className);
                }
                assertEquals(0, kept, className);
            }
        }
    }

    @Test
    void readStateIsReleasedIfTheClientDisconnectsDuringTheRead() throws Exception {
        try (ServiceFixture fixture = new ServiceFixture("")) {
            fixture.fleet.runOn(1, engine -> engine.faults.lostResponseShare = 1);
            HttpClientRequest request =
                    fixture.get(
                            fixture.http
                                    .request(fixture.options())
                                    .toCompletionStage()
                                    .toCompletableFuture());
            request.send(Buffer.buffer(ServiceFixture.requestBody("free", true, 5)));
            ServiceFixture.await(() -> fixture.hasEvent("STATE_HELD 1"));
            request.reset();
            ServiceFixture.await(() -> fixture.hasEvent("STATE_GONE 1"));
        }
    }

    @Test
    void slowClientPausesTheEngineAndIsDisconnectedAtItsTimeout() throws Exception {
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
        try (ServiceFixture fixture =
                new ServiceFixture(
                        "slow_client_ms: 700",
                        List.of(EngineProfile.of(1, Role.READER, "", 0), fast))) {
            CompletableFuture<HttpClientResponse> received = new CompletableFuture<>();
            CompletableFuture<Void> disconnected = new CompletableFuture<>();
            fixture.http
                    .request(fixture.options())
                    .compose(
                            r ->
                                    r.send(
                                            Buffer.buffer(
                                                    ServiceFixture.requestBody(
                                                            "free", true, 900_000))))
                    .onSuccess(
                            response -> {
                                response.pause();
                                response.exceptionHandler(e -> {});
                                response.request()
                                        .connection()
                                        .closeHandler(closed -> disconnected.complete(null));
                                received.complete(response);
                            });
            HttpClientResponse response = fixture.get(received);
            // The writer's attempt ends because the client is disconnected, not because the client
            // has received all 900,000 tokens.
            ServiceFixture.await(() -> fixture.hasEvent("LEG_OUT 2"));
            response.resume();
            fixture.get(disconnected);
            assertTrue(fixture.service.metricsRegistry().scrape().contains("kind=\"slow_client\""));
        }
    }

    @Test
    void requestsOverMaxOpenGenerationsAreRejected() throws Exception {
        try (ServiceFixture fixture = new ServiceFixture("open_generations: 1")) {
            HttpClientRequest first =
                    fixture.get(
                            fixture.http
                                    .request(fixture.options())
                                    .toCompletionStage()
                                    .toCompletableFuture());
            first.send(Buffer.buffer(ServiceFixture.requestBody("free", true, 5000)));
            ServiceFixture.await(() -> fixture.hasEvent("RAN 2"));
            check(
                    fixture.post(fixture.options(), ServiceFixture.requestBody("free", true, 5)),
                    529,
                    "overloaded_error");
            first.reset();
        }
    }

    @Test
    void stopLetsOpenStreamsEnd() throws Exception {
        ServiceFixture fixture = new ServiceFixture("stop_ms: 6000");
        CompletableFuture<String> body = new CompletableFuture<>();
        fixture.http
                .request(fixture.options())
                .compose(r -> r.send(Buffer.buffer(ServiceFixture.requestBody("free", true, 100))))
                .compose(HttpClientResponse::body)
                .onSuccess(b -> body.complete(b.toString()));
        ServiceFixture.await(() -> fixture.hasEvent("RAN 2"));
        fixture.close();
        assertTrue(ServiceFixture.checkEvents(fixture.get(body)).isStopped());
    }

    @Test
    void stopFailsStreamsStillOpenAtItsTimeout() throws Exception {
        ServiceFixture fixture = new ServiceFixture("stop_ms: 200");
        CompletableFuture<String> body = new CompletableFuture<>();
        fixture.http
                .request(fixture.options())
                .compose(
                        r ->
                                r.send(
                                        Buffer.buffer(
                                                ServiceFixture.requestBody("free", true, 50_000))))
                .compose(HttpClientResponse::body)
                .onSuccess(b -> body.complete(b.toString()));
        ServiceFixture.await(() -> fixture.hasEvent("RAN 2"));
        fixture.close();
        assertTrue(ServiceFixture.checkEvents(fixture.get(body)).isErrored());
    }

    @Test
    void invalidEngineListIsIgnoredAndAValidOneIsApplied() throws Exception {
        try (ServiceFixture fixture = new ServiceFixture("")) {
            java.nio.file.Path list = fixture.folder.resolve("engines.yaml");
            java.nio.file.Files.writeString(list, "engines:\n  - id: 1\n    ho");
            check(fixture.post(fixture.options(), "{}"), 400, "invalid_request_error");
            assertEquals(
                    200,
                    fixture.post(fixture.options(), ServiceFixture.requestBody("free", false, 2))
                            .status());
            fixture.fleet.setListEntry(1, "draining", true, 0);
            fixture.fleet.writeEngineList(list);
            ServiceFixture.await(
                    () -> {
                        try {
                            return fixture.post(
                                                    fixture.options(),
                                                    ServiceFixture.requestBody("free", false, 2))
                                            .status()
                                    == 529;
                        } catch (Exception e) {
                            throw new IllegalStateException(e);
                        }
                    });
        }
    }
}
