import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Case: the answer to one line of a batch of a deduplicated product gets lost. */
final class BatchRepeat {
    /** How long engines drop repeats, as in the example of the protocol note's settings. */
    private static final double DEDUP_MEMORY_MS = 5000;

    private static final int LINES = 3;
    private static final double MAX_MS = 90_000;

    /** The runs of each line; a run has the line's effect. */
    private static final Map<String, Integer> RUNS = new TreeMap<>();

    /** When each key ran last; all engines drop repeats within DEDUP_MEMORY_MS of that. */
    private static final Map<String, Double> REMEMBERED = new HashMap<>();

    private static final HttpClient CLIENT =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

    private static boolean answerLost = !Kit.TROUBLE;

    private BatchRepeat() {}

    public static void main(String[] arguments) {
        Kit.run(Path.of(arguments[0]), BatchRepeat::play);
    }

    private static int play() throws Exception {
        StringBuilder list = new StringBuilder("engines:\n");
        for (int id = 1; id <= 4; id++) {
            ServerSocket listener = new ServerSocket(0, 100, Kit.LOOPBACK);
            int engine = id;
            daemon(() -> accept(engine, listener));
            list.append(
                    "  - {id: %d, host: 127.0.0.1, port: %d, role: %s, zone: west, rack: %d, memory_tokens: 200000}\n"
                            .formatted(id, listener.getLocalPort(), id <= 2 ? "reader" : "writer", 2 - id % 2));
        }
        Path folder = Kit.temporary();
        Files.writeString(folder.resolve("engines.yaml"), list);
        int batchPort = Kit.freePort();
        Files.writeString(
                folder.resolve("site.textproto"),
                """
                listen { host: "127.0.0.1" port: %d }
                fronts: 1
                fronts_of_service: 1
                zone: "west"
                inventory { file: "%s" poll_ms: 50 }
                guest: "guest"
                product {
                  name: "aviso"
                  model: "aviso"
                  effect: DEDUPLICATED dedup_span: ALL dedup_memory_ms: %d
                  revenue: 1  late_revenue: 0.2
                  slo_ms: 1200  slo_ms_per_1000_tokens: 40
                  time_limit_ms: 5000  time_limit_ms_per_1000_tokens: 80
                  most_tokens: 4096
                }
                limits { open_generations: 10000 stop_ms: 20000 longest_retry_after_ms: 2000 }
                engines {
                  second_copies: true
                  reports_with_answers: true
                  drain_grace_ms: 250
                  release_ms: 1000
                  cold_share: 0.3  cold_ms: 13000
                  tip_multiple: 2.5  tip_ms: 1500
                }
                batch {
                  listen { host: "127.0.0.1" port: %d }
                  folder: "%s"
                  file_bytes: 209715200  line_bytes: 4194304  lines: 1000000
                  tenant_bytes: 10737418240  tenant_files: 20000
                  open_lines: 256  attempts: 3  line_ms: 30000  revenue: 0.02  threads: 16
                }
                """
                        .formatted(
                                Kit.freePort(),
                                folder.resolve("engines.yaml"),
                                (int) DEDUP_MEMORY_MS,
                                batchPort,
                                folder.resolve("store")));
        Process serve =
                Kit.start(
                        "serve",
                        Map.of(),
                        "java",
                        "-jar",
                        "target/larchridge.jar",
                        "serve",
                        "--site",
                        folder.resolve("site.textproto").toString());
        String api = "http://127.0.0.1:" + batchPort + "/v1/";
        String fileId = null;
        while (fileId == null && serve.isAlive() && Kit.nowMs() < 30_000) {
            Kit.sleep(200);
            fileId = upload(api);
        }
        if (fileId == null) {
            return Kit.NOT_RUN;
        }
        String batch =
                call(
                        HttpRequest.newBuilder(URI.create(api + "batches"))
                                .POST(
                                        HttpRequest.BodyPublishers.ofString(
                                                "{\"input_file_id\":\""
                                                        + fileId
                                                        + "\",\"endpoint\":\"/v1/messages\","
                                                        + "\"completion_window\":\"30m\"}")));
        String batchId = member(batch, "id");
        Kit.record("batch: " + batch);
        while (Kit.nowMs() < MAX_MS) {
            batch = call(HttpRequest.newBuilder(URI.create(api + "batches/" + batchId)));
            if ("completed".equals(member(batch, "status"))) {
                break;
            }
            Kit.sleep(500);
        }
        Kit.record("batch: " + batch);
        String output = member(batch, "output_file_id");
        if (output != null) {
            Kit.record(
                    "output: "
                            + call(
                                    HttpRequest.newBuilder(
                                            URI.create(api + "files/" + output + "/content"))));
        }
        synchronized (RUNS) {
            Kit.record("runs: " + RUNS);
            if (RUNS.size() < LINES) {
                return Kit.NOT_RUN;
            }
            return RUNS.values().stream().allMatch(runs -> runs == 1) ? Kit.HELD : Kit.BROKEN;
        }
    }

    // ------------------------------------------------------------------ the client of the batch

    private static String upload(String api) {
        StringBuilder lines = new StringBuilder();
        for (int i = 1; i <= LINES; i++) {
            lines.append(
                    "{\"custom_id\":\"line-%d\",\"method\":\"POST\",\"url\":\"/v1/messages\",\"body\":{\"model\":\"aviso\",\"max_tokens\":20,\"messages\":[{\"role\":\"user\",\"content\":\"Aviso [tag:line-%d]\"}]}}\n"
                            .formatted(i, i));
        }
        String form =
                "--b\r\nContent-Disposition: form-data; name=\"purpose\"\r\n\r\nbatch\r\n--b\r\n"
                        + "Content-Disposition: form-data; name=\"file\"; filename=\"avisos.jsonl\"\r\n"
                        + "Content-Type: application/jsonl\r\n\r\n"
                        + lines
                        + "\r\n--b--\r\n";
        try {
            return member(
                    call(
                            HttpRequest.newBuilder(URI.create(api + "files"))
                                    .header("content-type", "multipart/form-data; boundary=b")
                                    .POST(HttpRequest.BodyPublishers.ofString(form))),
                    "id");
        } catch (IOException | InterruptedException e) {
            return null;
        }
    }

    private static String call(HttpRequest.Builder request)
            throws IOException, InterruptedException {
        return CLIENT.send(
                        request.timeout(Duration.ofSeconds(10)).build(),
                        HttpResponse.BodyHandlers.ofString())
                .body();
    }

    private static String member(String json, String name) {
        Matcher matcher = Pattern.compile("\"" + name + "\":\"([^\"]*)\"").matcher(json);
        return matcher.find() ? matcher.group(1) : null;
    }

    // ------------------------------------------------------------------ engines

    private static void daemon(Runnable work) {
        Thread thread = new Thread(work);
        thread.setDaemon(true);
        thread.start();
    }

    private static void accept(int engine, ServerSocket listener) {
        while (true) {
            try {
                Socket socket = listener.accept();
                socket.setTcpNoDelay(true);
                daemon(() -> serve(engine, socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private static void serve(int engine, Socket socket) {
        try (socket) {
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            for (Kit.Message request = Kit.read(in); request != null; request = Kit.read(in)) {
                if (request.path().equals("/v1/completions")) {
                    attempt(engine, out, request);
                } else if (request.path().equals("/abort_request")) {
                    json(out, "{}");
                } else if (request.path().equals("/metrics")) {
                    json(out, "vllm:num_requests_running 0\nvllm:num_requests_waiting 0\n");
                } else {
                    write(out, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
                }
            }
        } catch (IOException e) {
            // The router has closed the connection.
        }
    }

    private static void attempt(int engine, OutputStream out, Kit.Message request)
            throws IOException {
        Matcher tag = Pattern.compile("\\[tag:([^]]*)]").matcher(request.text());
        String line = tag.find() ? tag.group(1) : "?";
        String key = request.headers.get("idempotency-key");
        String rid = request.headers.get("x-request-id");
        if (request.text().contains("\"do_remote_decode\":true")) {
            Kit.record("engine " + engine + " reads " + line + " (" + rid + ")");
            Kit.sleep(10);
            json(
                    out,
                    "{\"id\":\""
                            + rid
                            + "\",\"object\":\"text_completion\",\"choices\":[{\"index\":0,"
                            + "\"text\":\"\",\"finish_reason\":\"length\"}],\"usage\":{"
                            + "\"prompt_tokens\":10,\"completion_tokens\":1},"
                            + "\"kv_transfer_params\":{\"do_remote_prefill\":true,"
                            + "\"remote_request_id\":\""
                            + rid
                            + "\"}}");
            return;
        }
        boolean lost;
        synchronized (RUNS) {
            Double ranMs = REMEMBERED.get(key);
            boolean repeat = ranMs != null && Kit.nowMs() - ranMs < DEDUP_MEMORY_MS;
            if (!repeat) {
                RUNS.merge(line, 1, Integer::sum);
                REMEMBERED.put(key, Kit.nowMs());
            }
            lost = !repeat && !answerLost;
            answerLost = true;
            Kit.record(
                    "engine "
                            + engine
                            + (repeat ? " drops a repeat of " : " runs ")
                            + line
                            + ", key "
                            + key
                            + (lost ? "; its answer gets lost" : ""));
        }
        if (lost) {
            return;
        }
        Kit.sleep(20);
        String text = "data: {\"id\":\"" + rid + "\",\"object\":\"text_completion\",\"choices\":[{\"index\":0,\"text\":\"";
        String events =
                text
                        + "w1 \",\"finish_reason\":null}]}\n\n"
                        + text
                        + "w2\",\"finish_reason\":\"stop\"}]}\n\n"
                        + "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":10,\"completion_tokens\":2}}\n\n"
                        + "data: [DONE]\n\n";
        write(
                out,
                "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
                        + Integer.toHexString(events.length())
                        + "\r\n"
                        + events
                        + "\r\n0\r\n\r\n");
    }

    private static void json(OutputStream out, String body) throws IOException {
        write(
                out,
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: "
                        + body.length()
                        + "\r\n\r\n"
                        + body);
    }

    private static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.US_ASCII));
    }
}
