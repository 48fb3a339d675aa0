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

/** Prompts that are counted, on the whole path. */
class CountingTest {
    private static final String SITE =
            "count_waits: 4 count_threads: 1 } vocabulary { name: \"v\" encoding: \"cl100k_base\" } "
                    + "product { name: \"c\" model: \"c\" effect: IDEMPOTENT slo_ms: 800 time_limit_ms: 900 vocabulary: \"v\" "
                    + "window_tokens: 1000 most_tokens: 500 } budget { ";

    private static RequestOptions count(ServiceFixture town) {
        return town.options().setURI("/v1/messages/count_tokens");
    }

    private static String body(String text) {
        return new JsonObject()
                .put("model", "c")
                .put("messages", List.of(new JsonObject().put("role", "user").put("content", text)))
                .toString();
    }

    private static int tokens(ServiceFixture.Answer answer) {
        assertEquals(200, answer.status(), answer.body());
        return new JsonObject(answer.body()).getInteger("input_tokens");
    }

    @Test
    void countIsTheVocabularysOfTheRenderedPrompt() throws Exception {
        Vocabulary vocabulary = VocabularyReader.forEncoding("v", "cl100k_base");
        String large = "El caudal del Nalón sube a 31,4 m3/s. ".repeat(20_000);
        try (ServiceFixture town = new ServiceFixture(SITE)) {
            for (String text : List.of("Nivel del Nalón?", "\uD83C half", large)) {
                ServiceFixture.Answer answer = town.ask(count(town), body(text));
                assertEquals(
                        vocabulary.count(
                                "<|user|>\n" + text.replace('\uD83C', '?') + "\n<|assistant|>\n"),
                        tokens(answer));
            }
            assertEquals(0, town.count("READ 1"));
        }
    }

    @Test
    void promptOverTheWindowIsTurnedAwayBeforeAnyAttempt() throws Exception {
        try (ServiceFixture town = new ServiceFixture(SITE)) {
            String long900 =
                    new JsonObject(body("caudal ".repeat(900))).put("max_tokens", 200).toString();
            ServiceFixture.Answer answer = town.ask(town.options(), long900);
            assertEquals("400 invalid_request_error", answer.status() + " " + answer.type());
            assertTrue(answer.body().contains("prompt is too long: "), answer.body());
            assertEquals(
                    200,
                    town.ask(
                                    town.options(),
                                    new JsonObject(body("caudal ".repeat(300)))
                                            .put("max_tokens", 5)
                                            .toString())
                            .status());
            assertEquals(413, town.ask(town.options(), "x".repeat(40 << 20)).status());
        }
    }

    @Test
    void manyLargeOnesAreCountedOrTurnedAwayAndNoneHangs() throws Exception {
        String large = "El caudal del Nalón sube. ".repeat(20_000);
        try (ServiceFixture town = new ServiceFixture(SITE)) {
            HttpClient many = town.http2();
            List<CompletableFuture<ServiceFixture.Answer>> all = new ArrayList<>();
            for (int i = 0; i < 30; i++) {
                all.add(town.send(many, count(town), body(i + large)));
            }
            int counted = 0;
            for (CompletableFuture<ServiceFixture.Answer> each : all) {
                int status = each.get(20, TimeUnit.SECONDS).status();
                assertTrue(status == 200 || status == 529, "status " + status);
                counted += status == 200 ? 1 : 0;
            }
            assertTrue(counted >= 5, counted + " counted");
            assertEquals(
                    200, town.ask(town.options(), ServiceFixture.call("free", false, 3)).status());
        }
    }

    /** Guards against: the time in which a body is read and counted is the client's time too. */
    @Test
    void clientWhoseTimeRanOutWhileItsBodyWasCountedGetsNoAttempt() throws Exception {
        String large = "El caudal del Nalón sube. ".repeat(300_000);
        try (ServiceFixture town =
                new ServiceFixture(
                        SITE.replace("window_tokens: 1000 ", "")
                                .replace("count_waits: 4", "count_waits: 40"))) {
            HttpClient many = town.http2();
            List<CompletableFuture<ServiceFixture.Answer>> before = new ArrayList<>();
            for (int i = 0; i < 8; i++) {
                before.add(town.send(many, count(town), body(i + large)));
            }
            CompletableFuture.anyOf(before.toArray(CompletableFuture[]::new))
                    .get(20, TimeUnit.SECONDS);
            // Read aside, since it is over 64 kB, and so behind those that are being counted.
            ServiceFixture.Answer answer =
                    town.ask(
                            town.options().putHeader("x-stainless-timeout", "0.3"),
                            new JsonObject(body("x ".repeat(35_000)))
                                    .put("max_tokens", 5)
                                    .toString());
            assertTrue(
                    answer.status() == 504 || answer.status() == 529, "status " + answer.status());
            assertEquals(0, town.count("READ_IN 1"));
            CompletableFuture.allOf(before.toArray(CompletableFuture[]::new))
                    .get(20, TimeUnit.SECONDS);
        }
    }
}
