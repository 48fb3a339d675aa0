package larchridge.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.openai.client.OpenAIClient;
import com.openai.client.okhttp.OpenAIOkHttpClient;
import com.openai.core.http.HttpResponse;
import com.openai.errors.BadRequestException;
import com.openai.errors.InternalServerException;
import com.openai.errors.NotFoundException;
import com.openai.errors.OpenAIServiceException;
import com.openai.errors.UnauthorizedException;
import com.openai.models.batches.Batch;
import com.openai.models.batches.BatchCreateParams;
import com.openai.models.files.FileCreateParams;
import com.openai.models.files.FileObject;
import com.openai.models.files.FilePurpose;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;
import larchridge.site.SiteReader;
import larchridge.store.Store;
import org.junit.jupiter.api.Test;

/** Tests the batch API end to end with a client library for that API. */
class BatchTest {
    private static final String BATCH_SETTINGS =
            "} batch { listen { host: \"127.0.0.1\" port: 0 } folder: \"store\" file_bytes: 100000 "
                    + "tenant_bytes: 250000 line_bytes: 20000 ";
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private static OpenAIClient client(int port, String key) {
        return OpenAIOkHttpClient.builder()
                .apiKey(key)
                .baseUrl("http://127.0.0.1:" + port + "/v1")
                .maxRetries(0)
                .build();
    }

    private static FileObject upload(OpenAIClient client, String text) {
        return client.files()
                .create(
                        FileCreateParams.builder()
                                .file(text.getBytes(StandardCharsets.UTF_8))
                                .purpose(FilePurpose.BATCH)
                                .build());
    }

    private static Batch createBatch(OpenAIClient client, FileObject input) {
        return client.batches()
                .create(
                        BatchCreateParams.builder()
                                .inputFileId(input.id())
                                .endpoint(BatchCreateParams.Endpoint.V1_CHAT_COMPLETIONS)
                                .completionWindow(BatchCreateParams.CompletionWindow._24H)
                                .build());
    }

    private static Batch awaitEnd(OpenAIClient client, String id) throws Exception {
        Batch[] last = new Batch[1];
        ServiceFixture.await(
                () -> {
                    last[0] = client.batches().retrieve(id);
                    return !java.util.Set.of(
                                    "validating", "in_progress", "finalizing", "cancelling")
                            .contains(last[0].status().asString());
                });
        return last[0];
    }

    private static Map<String, JsonNode> records(OpenAIClient client, String fileId)
            throws Exception {
        Map<String, JsonNode> records = new TreeMap<>();
        String content;
        try (HttpResponse response = client.files().content(fileId)) {
            content = new String(response.body().readAllBytes(), StandardCharsets.UTF_8);
        }
        for (String line : content.split("\n")) {
            JsonNode record = MAPPER.readTree(line);
            records.put(record.path("custom_id").asText(), record);
        }
        return records;
    }

    static String line(String id, String model, int tokens) {
        return "{\"custom_id\":\""
                + id
                + "\",\"method\":\"POST\",\"url\":\"/v1/chat/completions\",\"body\":{\"model\":\""
                + model
                + "\",\"max_tokens\":"
                + tokens
                + ",\"messages\":[{\"role\":\"user\",\"content\":\"[out:"
                + tokens
                + "] [tag:"
                + id
                + "#0]\"}]}}\n";
    }

    @Test
    void clientLibraryUploadsPollsAndDownloads() throws Exception {
        try (ServiceFixture fixture = new ServiceFixture(BATCH_SETTINGS)) {
            OpenAIClient client = client(fixture.service.batchPort(), "key");
            FileObject input =
                    upload(
                            client,
                            line("a", "free", 3) + line("b", "once", 2) + line("c", "nobody", 2));
            Batch batch = awaitEnd(client, createBatch(client, input).id());
            assertEquals("completed", batch.status().asString());
            assertEquals(3, batch.requestCounts().get().total());
            assertEquals(2, batch.requestCounts().get().completed());
            assertEquals(1, batch.requestCounts().get().failed());
            Map<String, JsonNode> output = records(client, batch.outputFileId().get());
            assertEquals(
                    "w1 w2 w3 ",
                    output.get("a").at("/response/body/choices/0/message/content").asText());
            assertEquals(3, output.get("a").at("/response/body/usage/completion_tokens").asInt());
            assertEquals(2, output.size());
            assertEquals(
                    404,
                    records(client, batch.errorFileId().get())
                            .get("c")
                            .at("/response/status_code")
                            .asInt());
            assertEquals(batch.id(), client.batches().list().data().get(0).id());
            assertEquals(3, client.files().list().data().size());
            client.files().delete(input.id());
            assertThrows(NotFoundException.class, () -> client.files().retrieve(input.id()));
        }
    }

    @Test
    void runningBatchLeavesTheRoutersResponsesAlone() throws Exception {
        try (ServiceFixture fixture = new ServiceFixture(BATCH_SETTINGS)) {
            OpenAIClient client = client(fixture.service.batchPort(), "key");
            StringBuilder lines = new StringBuilder();
            for (int i = 0; i < 60; i++) {
                lines.append(line("l" + i, "free", 5));
            }
            Batch batch = createBatch(client, upload(client, lines.toString()));
            for (int i = 0; i < 20; i++) {
                assertEquals(
                        200,
                        fixture.post(
                                        fixture.options(),
                                        ServiceFixture.requestBody("free", false, 3))
                                .status());
            }
            Batch done = awaitEnd(client, batch.id());
            assertEquals(60, done.requestCounts().get().completed());
            assertEquals(60, records(client, done.outputFileId().get()).size());
        }
    }

    @Test
    void invalidRequestsAreRejectedAndNothingOfThemIsStored() throws Exception {
        try (ServiceFixture fixture = new ServiceFixture(BATCH_SETTINGS)) {
            OpenAIClient client = client(fixture.service.batchPort(), "key");
            assertThrows(
                    UnauthorizedException.class,
                    () -> client(fixture.service.batchPort(), "other").files().list());
            assertThrows(NotFoundException.class, () -> client.batches().retrieve("batch_x"));
            FileObject badInput = upload(client, line("a", "free", 1) + "{\"custom_id\":\n");
            Batch failed = awaitEnd(client, createBatch(client, badInput).id());
            assertEquals("failed", failed.status().asString());
            assertEquals(2L, failed.errors().get().data().get().get(0).line().get());
            OpenAIServiceException tooLarge =
                    assertThrows(
                            OpenAIServiceException.class,
                            () -> upload(client, "x".repeat(120_000)));
            assertEquals(413, tooLarge.statusCode());
            upload(client, "y".repeat(99_000));
            upload(client, "z".repeat(99_000));
            OpenAIServiceException overQuota =
                    assertThrows(
                            OpenAIServiceException.class, () -> upload(client, "x".repeat(99_000)));
            assertEquals(429, overQuota.statusCode());
            BadRequestException badWindow =
                    assertThrows(
                            BadRequestException.class,
                            () ->
                                    client.batches()
                                            .create(
                                                    BatchCreateParams.builder()
                                                            .inputFileId(badInput.id())
                                                            .endpoint(
                                                                    BatchCreateParams.Endpoint
                                                                            .V1_CHAT_COMPLETIONS)
                                                            .completionWindow(
                                                                    BatchCreateParams
                                                                            .CompletionWindow.of(
                                                                            "soon"))
                                                            .build()));
            assertTrue(
                    badWindow.getMessage().contains("'soon' is not a time"),
                    badWindow.getMessage());
            assertEquals(3, client.files().list().data().size());
        }
    }

    @Test
    void secondProcessWaitsForTheStoreAndTakesOver() throws Exception {
        try (ServiceFixture fixture = new ServiceFixture(BATCH_SETTINGS)) {
            OpenAIClient client = client(fixture.service.batchPort(), "key");
            StringBuilder lines = new StringBuilder();
            for (int i = 0; i < 300; i++) {
                lines.append(line("l" + i, "free", 30));
            }
            Batch batch = createBatch(client, upload(client, lines.toString()));
            Service second =
                    Service.start(SiteReader.read("site", fixture.siteText, fixture.folder));
            try {
                OpenAIClient other = client(second.batchPort(), "key");
                assertThrows(
                        InternalServerException.class, () -> other.batches().retrieve(batch.id()));
                fixture.service.stop();
                ServiceFixture.await(
                        () -> {
                            try {
                                other.batches().retrieve(batch.id());
                                return true;
                            } catch (OpenAIServiceException e) {
                                return false;
                            }
                        });
                Batch done = awaitEnd(other, batch.id());
                assertEquals(
                        300,
                        done.requestCounts().get().completed()
                                + done.requestCounts().get().failed());
                assertEquals(300, records(other, done.outputFileId().get()).size());
            } finally {
                second.stop();
            }
            try (Store store = Store.openReadOnly(fixture.folder.resolve("store"))) {
                assertEquals(java.util.List.of(), store.verify());
            }
        }
    }
}
