package larchridge.systemtest;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * A client of the batch API that is patient with a service that dies: a call that fails is null, to
 * be asked again.
 */
final class BatchApiClient {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final String BOUNDARY = "larchridge-drill";

    private final HttpClient http =
            HttpClient.newBuilder().connectTimeout(Duration.ofSeconds(2)).build();
    private final int port;
    private final String key;

    BatchApiClient(int port, String key) {
        this.port = port;
        this.key = key;
    }

    /** What a call is answered, or null if it is not, or not well. */
    private JsonNode requestJson(HttpRequest.Builder request) throws InterruptedException {
        String text = requestText(request);
        try {
            return text == null ? null : MAPPER.readTree(text);
        } catch (IOException e) {
            return null;
        }
    }

    private String requestText(HttpRequest.Builder request) throws InterruptedException {
        try {
            HttpResponse<String> response =
                    http.send(
                            request.header("authorization", "Bearer " + key)
                                    .timeout(Duration.ofSeconds(30))
                                    .build(),
                            HttpResponse.BodyHandlers.ofString());
            return response.statusCode() == 200 ? response.body() : null;
        } catch (IOException e) {
            return null;
        }
    }

    private HttpRequest.Builder requestTo(String path) {
        return HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + "/v1/" + path));
    }

    /**
     * The id of a file with these lines; one of that name that is there already, from a call that
     * was not answered, will do.
     */
    String upload(String name, String lines) throws InterruptedException {
        JsonNode existing = requestJson(requestTo("files").GET());
        if (existing == null) {
            return null;
        }
        for (JsonNode file : existing.path("data")) {
            if (file.path("filename").asText().equals(name)) {
                return file.path("id").asText();
            }
        }
        String form =
                "--"
                        + BOUNDARY
                        + "\r\ncontent-disposition: form-data; name=\"purpose\"\r\n\r\nbatch\r\n--"
                        + BOUNDARY
                        + "\r\ncontent-disposition: form-data; name=\"file\"; filename=\""
                        + name
                        + "\"\r\n\r\n"
                        + lines
                        + "\r\n--"
                        + BOUNDARY
                        + "--\r\n";
        JsonNode created =
                requestJson(
                        requestTo("files")
                                .header("content-type", "multipart/form-data; boundary=" + BOUNDARY)
                                .POST(HttpRequest.BodyPublishers.ofString(form)));
        return created == null ? null : created.path("id").asText();
    }

    /** The id of a batch of a file, the one that is there already or a new one. */
    String createBatch(String file, String endpoint, String window) throws InterruptedException {
        JsonNode existing = requestJson(requestTo("batches?limit=100").GET());
        if (existing == null) {
            return null;
        }
        for (JsonNode batch : existing.path("data")) {
            if (batch.path("input_file_id").asText().equals(file)) {
                return batch.path("id").asText();
            }
        }
        JsonNode created =
                requestJson(
                        requestTo("batches")
                                .POST(
                                        HttpRequest.BodyPublishers.ofString(
                                                MAPPER.createObjectNode()
                                                        .put("input_file_id", file)
                                                        .put("endpoint", endpoint)
                                                        .put("completion_window", window)
                                                        .toString())));
        return created == null ? null : created.path("id").asText();
    }

    JsonNode batch(String id) throws InterruptedException {
        return requestJson(requestTo("batches/" + id).GET());
    }

    void cancel(String id) throws InterruptedException {
        requestJson(requestTo("batches/" + id + "/cancel").POST(HttpRequest.BodyPublishers.noBody()));
    }

    static boolean isFinished(JsonNode batch) {
        return List.of("completed", "failed", "expired", "cancelled")
                .contains(batch.path("status").asText());
    }

    /** Whoever reads a record. */
    interface RecordConsumer {
        void accept(String customId, boolean succeeded);
    }

    /**
     * How often each custom id has a record in both files of a batch; null if they can't be read
     * now.
     */
    Map<String, Integer> records(JsonNode batch) throws InterruptedException {
        Map<String, Integer> records = new TreeMap<>();
        return records(batch, (id, succeeded) -> records.merge(id, 1, Integer::sum)) ? records : null;
    }

    /** Reads both files; false if they can't be read now. */
    boolean records(JsonNode batch, RecordConsumer consumer) throws InterruptedException {
        for (String field : List.of("output_file_id", "error_file_id")) {
            if (batch.path(field).isTextual()) {
                String text = requestText(requestTo("files/" + batch.path(field).asText() + "/content").GET());
                if (text == null) {
                    return false;
                }
                for (String line : text.split("\n")) {
                    try {
                        consumer.accept(
                                MAPPER.readTree(line.getBytes(StandardCharsets.UTF_8))
                                        .path("custom_id")
                                        .asText(),
                                field.startsWith("output"));
                    } catch (IOException e) {
                        consumer.accept("not JSON: " + line, false);
                    }
                }
            }
        }
        return true;
    }
}
