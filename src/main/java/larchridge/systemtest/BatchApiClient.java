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
 * A client of the batch API for a service that may crash: a failed call returns null, and the
 * caller repeats it.
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

    /** Returns the response of a call, or null if there is none or it is an error. */
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
     * Returns the id of a file with these lines. A file of that name that exists already, from an
     * upload whose response was lost, is used instead of a new one.
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

    /** Returns the id of the batch of a file; creates it if there is none. */
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
        requestJson(
                requestTo("batches/" + id + "/cancel").POST(HttpRequest.BodyPublishers.noBody()));
    }

    static boolean isFinished(JsonNode batch) {
        return List.of("completed", "failed", "expired", "cancelled")
                .contains(batch.path("status").asText());
    }

    /** Receives the records of a batch. */
    interface RecordConsumer {
        void accept(String customId, boolean succeeded);
    }

    /**
     * Returns the number of records per custom id in both result files of a batch, or null if a
     * file cannot be read now.
     */
    Map<String, Integer> records(JsonNode batch) throws InterruptedException {
        Map<String, Integer> records = new TreeMap<>();
        return records(batch, (id, succeeded) -> records.merge(id, 1, Integer::sum))
                ? records
                : null;
    }

    /** Reads both result files; returns false if one cannot be read now. */
    boolean records(JsonNode batch, RecordConsumer consumer) throws InterruptedException {
        for (String field : List.of("output_file_id", "error_file_id")) {
            if (batch.path(field).isTextual()) {
                String text =
                        requestText(
                                requestTo("files/" + batch.path(field).asText() + "/content")
                                        .GET());
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
