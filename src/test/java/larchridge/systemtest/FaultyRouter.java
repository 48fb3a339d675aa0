package larchridge.systemtest;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import larchridge.inventory.EngineEntry;
import larchridge.inventory.EngineListReader;
import larchridge.inventory.InvalidEngineListException;
import larchridge.site.Site;
import larchridge.state.Role;

/** A router with one fault, which the checkers must detect from the traffic on the sockets. */
final class FaultyRouter implements SystemTest.Routers {
    /** The fault; NOTHING checks that a correct router passes. */
    enum Fault {
        NOTHING,
        LOSES,
        ANSWERS_TWICE,
        TOO_LATE,
        FORGETS_DRAINS,
        PINS,
        RUNS_TWICE,
        THROTTLES_AFTER_RUN
    }

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final Fault fault;
    private final Vertx vertx = Vertx.vertx();
    private final HttpClient http = vertx.createHttpClient(new PoolOptions().setHttp1MaxSize(1000));
    private final HttpServer server;
    private final Path engineListFile;
    private volatile List<EngineEntry> engines;
    private int requestCount;

    FaultyRouter(Site site, Fault fault) throws InvalidEngineListException, InterruptedException {
        this.fault = fault;
        engineListFile = site.engineListFile;
        readEngineList();
        if (fault != Fault.FORGETS_DRAINS) {
            vertx.setPeriodic(
                    30,
                    timer -> {
                        try {
                            readEngineList();
                        } catch (InvalidEngineListException e) {
                            // The last valid list stays in use.
                            return;
                        }
                    });
        }
        server =
                vertx.createHttpServer()
                        .requestHandler(
                                request ->
                                        request.body()
                                                .onSuccess(body -> handleRequest(request, body)));
        try {
            server.listen(0, "127.0.0.1")
                    .toCompletionStage()
                    .toCompletableFuture()
                    .get(5, TimeUnit.SECONDS);
        } catch (ExecutionException | TimeoutException e) {
            throw new IllegalStateException(e);
        }
    }

    private void readEngineList() throws InvalidEngineListException {
        try {
            engines = EngineListReader.read("list", Files.readString(engineListFile));
        } catch (IOException e) {
            throw new InvalidEngineListException(e.toString());
        }
    }

    private EngineEntry pick(Role role, int index) {
        List<EngineEntry> candidates =
                engines.stream()
                        .filter(
                                candidate ->
                                        candidate.role() == role
                                                && candidate.state()
                                                        == larchridge.state.EndpointState.READY)
                        .toList();
        return candidates.get(Math.floorMod(index, candidates.size()));
    }

    private void handleRequest(HttpServerRequest request, Buffer body) {
        HttpServerResponse response = request.response();
        int index = requestCount++;
        if (fault == Fault.LOSES && index % 10 == 9) {
            request.connection().close();
            return;
        }
        JsonNode requestJson;
        try {
            requestJson = MAPPER.readTree(body.getBytes());
        } catch (IOException e) {
            response.setStatusCode(400).end();
            return;
        }
        if (fault == Fault.TOO_LATE && index % 10 == 9) {
            vertx.setTimer(2000, timer -> sendError(response, 504, "timeout_error"));
            return;
        }
        String prompt = requestJson.path("messages").toString();
        String rid = "wrong" + index;
        EngineEntry reader = pick(Role.READER, index);
        ObjectNode readBody =
                MAPPER.createObjectNode()
                        .put("model", "m")
                        .put("prompt", prompt)
                        .put("max_tokens", 1);
        readBody.putObject("kv_transfer_params").put("do_remote_decode", true);
        if (fault == Fault.PINS && index % 10 == 9) {
            send(reader, rid, readBody).onComplete(done -> sendError(response, 500, "api_error"));
            return;
        }
        send(reader, rid, readBody)
                .onSuccess(state -> sendToWriter(response, requestJson, index, rid, prompt, state))
                .onFailure(e -> sendError(response, 500, "api_error"));
    }

    private void sendToWriter(
            HttpServerResponse response,
            JsonNode requestJson,
            int index,
            String rid,
            String prompt,
            Buffer readResponse) {
        ObjectNode writeBody =
                MAPPER.createObjectNode()
                        .put("model", "m")
                        .put("prompt", prompt)
                        .put("max_tokens", requestJson.path("max_tokens").asInt())
                        .put("stream", true);
        try {
            if (!(MAPPER.readTree(readResponse.getBytes()).path("kv_transfer_params")
                    instanceof ObjectNode params)) {
                sendError(response, 500, "api_error");
                return;
            }
            writeBody.set(
                    "kv_transfer_params",
                    params.put("do_remote_prefill", true).put("do_remote_decode", false));
        } catch (IOException e) {
            sendError(response, 500, "api_error");
            return;
        }
        EngineEntry writer = pick(Role.WRITER, index);
        send(writer, rid + "w", writeBody)
                .onFailure(e -> sendError(response, 500, "api_error"))
                .onSuccess(
                        stream -> {
                            if (fault == Fault.THROTTLES_AFTER_RUN && index % 10 == 9) {
                                sendError(response, 529, "overloaded_error");
                            } else if (fault == Fault.RUNS_TWICE && index % 10 == 9) {
                                writeBody.remove("kv_transfer_params");
                                send(pick(Role.BOTH, index), rid + "x", writeBody)
                                        .onComplete(ignored -> sendAnswer(response, stream));
                            } else {
                                sendAnswer(response, stream);
                            }
                        });
    }

    private void sendAnswer(HttpServerResponse response, Buffer stream) {
        int tokens = stream.toString().split("\"text\":\"w").length - 1;
        StringBuilder text = new StringBuilder();
        for (int i = 1; i <= tokens; i++) {
            text.append('w').append(i).append(' ');
        }
        String events =
                event("message_start", "\"message\":{\"usage\":{\"input_tokens\":1}}")
                        + event("content_block_start", "\"index\":0")
                        + event(
                                "content_block_delta",
                                "\"delta\":{\"type\":\"text_delta\",\"text\":\"" + text + "\"}")
                        + event("content_block_stop", "\"index\":0")
                        + event(
                                "message_delta",
                                "\"delta\":{\"stop_reason\":\"end_turn\"},\"usage\":{\"output_tokens\":"
                                        + tokens
                                        + "}")
                        + event("message_stop", "\"x\":1");
        if (fault == Fault.ANSWERS_TWICE) {
            events += event("message_stop", "\"x\":1");
        }
        if (!response.closed()) {
            response.putHeader("content-type", "text/event-stream").end(events);
        }
    }

    private static String event(String name, String fields) {
        return "event: " + name + "\ndata: {\"type\":\"" + name + "\"," + fields + "}\n\n";
    }

    private static void sendError(HttpServerResponse response, int status, String type) {
        if (!response.closed() && !response.ended()) {
            response.setStatusCode(status)
                    .end("{\"type\":\"error\",\"error\":{\"type\":\"" + type + "\"}}");
        }
    }

    private io.vertx.core.Future<Buffer> send(EngineEntry engine, String rid, ObjectNode body) {
        return http.request(
                        new RequestOptions()
                                .setMethod(HttpMethod.POST)
                                .setHost(engine.host())
                                .setPort(engine.port())
                                .setURI("/v1/completions")
                                .putHeader("x-request-id", rid))
                .compose(out -> out.send(Buffer.buffer(body.toString())))
                .compose(response -> response.body());
    }

    @Override
    public List<Integer> ports() {
        return List.of(server.actualPort());
    }

    @Override
    public String metrics() {
        return "";
    }

    @Override
    public void stop() {
        vertx.close();
    }
}
