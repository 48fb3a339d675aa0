package larchridge.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.http.HttpClient;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.json.JsonObject;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import larchridge.tokens.Vocabulary;
import larchridge.tokens.VocabularyReader;
import org.junit.jupiter.api.Test;

/** Tests the counting of prompts end to end. */
class CountingTest {
    private static final String SITE_SETTINGS =
            "count_waits: 4 count_threads: 1 } vocabulary { name: \"v\" encoding: \"cl100k_base\" } "
                    + "product { name: \"c\" model: \"c\" effect: IDEMPOTENT slo_ms: 800 time_limit_ms: 900 vocabulary: \"v\" "
                    + "window_tokens: 1000 most_tokens: 500 } budget { ";

    private static RequestOptions countOptions(ServiceFixture fixture) {
        return fixture.options().setURI("/v1/messages/count_tokens");
    }

    private static String body(String text) {
        return new JsonObject()
                .put("model", "c")
                .put("messages", List.of(new JsonObject().put("role", "user").put("content", text)))
                .toString();
    }

    private static int tokens(ServiceFixture.Response response) {
        assertEquals(200, response.status(), response.body());
        return new JsonObject(response.body()).getInteger("input_tokens");
    }

    @Test
    void countIsTheVocabularyCountOfTheRenderedPrompt() throws Exception {
        Vocabulary vocabulary = VocabularyReader.forEncoding("v", "cl100k_base");
        String largeText = "El caudal del Nalón sube a 31,4 m3/s. ".repeat(20_000);
        try (ServiceFixture fixture = new ServiceFixture(SITE_SETTINGS)) {
            for (String text : List.of("Nivel del Nalón?", "\uD83C half", largeText)) {
                ServiceFixture.Response response = fixture.post(countOptions(fixture), body(text));
                assertEquals(
                        vocabulary.count(
                                "<|user|>\n" + text.replace('\uD83C', '?') + "\n<|assistant|>\n"),
                        tokens(response));
            }
            assertEquals(0, fixture.eventCount("READ 1"));
        }
    }

    @Test
    void promptOverTheContextWindowIsRejectedBeforeAnyAttempt() throws Exception {
        try (ServiceFixture fixture = new ServiceFixture(SITE_SETTINGS)) {
            String longBody =
                    new JsonObject(body("caudal ".repeat(900))).put("max_tokens", 200).toString();
            ServiceFixture.Response response = fixture.post(fixture.options(), longBody);
            assertEquals("400 invalid_request_error", response.status() + " " + response.type());
            assertTrue(response.body().contains("prompt is too long: "), response.body());
            assertEquals(
                    200,
                    fixture.post(
                                    fixture.options(),
                                    new JsonObject(body("caudal ".repeat(300)))
                                            .put("max_tokens", 5)
                                            .toString())
                            .status());
            assertEquals(413, fixture.post(fixture.options(), "x".repeat(40 << 20)).status());
        }
    }

    @Test
    void manyLargeBodiesAreCountedOrRejectedAndNoneHangs() throws Exception {
        String largeText = "El caudal del Nalón sube. ".repeat(20_000);
        try (ServiceFixture fixture = new ServiceFixture(SITE_SETTINGS)) {
            HttpClient http2Client = fixture.http2();
            List<CompletableFuture<ServiceFixture.Response>> responses = new ArrayList<>();
            for (int i = 0; i < 30; i++) {
                responses.add(
                        fixture.send(http2Client, countOptions(fixture), body(i + largeText)));
            }
            int counted = 0;
            for (CompletableFuture<ServiceFixture.Response> response : responses) {
                int status = response.get(20, TimeUnit.SECONDS).status();
                assertTrue(status == 200 || status == 529, "status " + status);
                counted += status == 200 ? 1 : 0;
            }
            assertTrue(counted >= 5, counted + " counted");
            assertEquals(
                    200,
                    fixture.post(fixture.options(), ServiceFixture.requestBody("free", false, 3))
                            .status());
        }
    }

    /** Guards against: ignoring the time to read and count a body in the client's timeout. */
    @Test
    void clientTimeoutDuringCountingPreventsAnyAttempt() throws Exception {
        String largeText = "El caudal del Nalón sube. ".repeat(300_000);
        try (ServiceFixture fixture =
                new ServiceFixture(
                        SITE_SETTINGS
                                .replace("window_tokens: 1000 ", "")
                                .replace("count_waits: 4", "count_waits: 40"))) {
            HttpClient http2Client = fixture.http2();
            List<CompletableFuture<ServiceFixture.Response>> countRequests = new ArrayList<>();
            for (int i = 0; i < 8; i++) {
                countRequests.add(
                        fixture.send(http2Client, countOptions(fixture), body(i + largeText)));
            }
            CompletableFuture.anyOf(countRequests.toArray(CompletableFuture[]::new))
                    .get(20, TimeUnit.SECONDS);
            // Parsed on a worker thread, since it is over 64 KiB, and so after the queued counts.
            ServiceFixture.Response response =
                    fixture.post(
                            fixture.options().putHeader("x-stainless-timeout", "0.3"),
                            new JsonObject(body("x ".repeat(35_000)))
                                    .put("max_tokens", 5)
                                    .toString());
            assertTrue(
                    response.status() == 504 || response.status() == 529,
                    "status " + response.status());
            assertEquals(0, fixture.eventCount("READ_IN 1"));
            CompletableFuture.allOf(countRequests.toArray(CompletableFuture[]::new))
                    .get(20, TimeUnit.SECONDS);
        }
    }
}
