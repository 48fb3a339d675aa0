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

/**
 * A front that does one thing wrong, to see that the checkers notice it on the sockets. Made for
 * tests only.
 */
final class FaultyRouter implements SystemTest.Fronts {
    /** What it does wrong; NOTHING is the trial of the trial. */
    enum Wrong {
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

    private final Wrong wrong;
    private final Vertx vertx = Vertx.vertx();
    private final HttpClient http = vertx.createHttpClient(new PoolOptions().setHttp1MaxSize(1000));
    private final HttpServer server;
    private final Path list;
    private volatile List<EngineEntry> rows;
    private int turn;

    FaultyRouter(Site site, Wrong wrong) throws InvalidEngineListException, InterruptedException {
        this.wrong = wrong;
        list = site.engineListFile;
        look();
        if (wrong != Wrong.FORGETS_DRAINS) {
            vertx.setPeriodic(
                    30,
                    timer -> {
                        try {
                            look();
                        } catch (InvalidEngineListException e) {
                            // The last good one stays.
                            return;
                        }
                    });
        }
        server =
                vertx.createHttpServer()
                        .requestHandler(request -> request.body().onSuccess(b -> take(request, b)));
        try {
            server.listen(0, "127.0.0.1")
                    .toCompletionStage()
                    .toCompletableFuture()
                    .get(5, TimeUnit.SECONDS);
        } catch (ExecutionException | TimeoutException e) {
            throw new IllegalStateException(e);
        }
    }

    private void look() throws InvalidEngineListException {
        try {
            rows = EngineListReader.read("list", Files.readString(list));
        } catch (IOException e) {
            throw new InvalidEngineListException(e.toString());
        }
    }

    private EngineEntry pick(Role role, int place) {
        List<EngineEntry> fit =
                rows.stream()
                        .filter(
                                r ->
                                        r.role() == role
                                                && r.state()
                                                        == larchridge.state.EndpointState.READY)
                        .toList();
        return fit.get(Math.floorMod(place, fit.size()));
    }

    private void take(HttpServerRequest request, Buffer body) {
        HttpServerResponse response = request.response();
        int place = turn++;
        if (wrong == Wrong.LOSES && place % 10 == 9) {
            request.connection().close();
            return;
        }
        JsonNode asked;
        try {
            asked = MAPPER.readTree(body.getBytes());
        } catch (IOException e) {
            response.setStatusCode(400).end();
            return;
        }
        if (wrong == Wrong.TOO_LATE && place % 10 == 9) {
            vertx.setTimer(2000, timer -> fail(response, 504, "timeout_error"));
            return;
        }
        String prompt = asked.path("messages").toString();
        String rid = "wrong" + place;
        EngineEntry reader = pick(Role.READER, place);
        ObjectNode read =
                MAPPER.createObjectNode()
                        .put("model", "m")
                        .put("prompt", prompt)
                        .put("max_tokens", 1);
        read.putObject("kv_transfer_params").put("do_remote_decode", true);
        if (wrong == Wrong.PINS && place % 10 == 9) {
            send(reader, rid, read).onComplete(done -> fail(response, 500, "api_error"));
            return;
        }
        send(reader, rid, read)
                .onSuccess(got -> write(response, asked, place, rid, prompt, got))
                .onFailure(e -> fail(response, 500, "api_error"));
    }

    private void write(
            HttpServerResponse response,
            JsonNode asked,
            int place,
            String rid,
            String prompt,
            Buffer got) {
        ObjectNode write =
                MAPPER.createObjectNode()
                        .put("model", "m")
                        .put("prompt", prompt)
                        .put("max_tokens", asked.path("max_tokens").asInt())
                        .put("stream", true);
        try {
            if (!(MAPPER.readTree(got.getBytes()).path("kv_transfer_params")
                    instanceof ObjectNode params)) {
                fail(response, 500, "api_error");
                return;
            }
            write.set(
                    "kv_transfer_params",
                    params.put("do_remote_prefill", true).put("do_remote_decode", false));
        } catch (IOException e) {
            fail(response, 500, "api_error");
            return;
        }
        EngineEntry writer = pick(Role.WRITER, place);
        send(writer, rid + "w", write)
                .onFailure(e -> fail(response, 500, "api_error"))
                .onSuccess(
                        stream -> {
                            if (wrong == Wrong.THROTTLES_AFTER_RUN && place % 10 == 9) {
                                fail(response, 529, "overloaded_error");
                            } else if (wrong == Wrong.RUNS_TWICE && place % 10 == 9) {
                                write.remove("kv_transfer_params");
                                send(pick(Role.BOTH, place), rid + "x", write)
                                        .onComplete(again -> answer(response, stream));
                            } else {
                                answer(response, stream);
                            }
                        });
    }

    private void answer(HttpServerResponse response, Buffer stream) {
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
        if (wrong == Wrong.ANSWERS_TWICE) {
            events += event("message_stop", "\"x\":1");
        }
        if (!response.closed()) {
            response.putHeader("content-type", "text/event-stream").end(events);
        }
    }

    private static String event(String name, String fields) {
        return "event: " + name + "\ndata: {\"type\":\"" + name + "\"," + fields + "}\n\n";
    }

    private static void fail(HttpServerResponse response, int status, String type) {
        if (!response.closed() && !response.ended()) {
            response.setStatusCode(status)
                    .end("{\"type\":\"error\",\"error\":{\"type\":\"" + type + "\"}}");
        }
    }

    private io.vertx.core.Future<Buffer> send(EngineEntry row, String rid, ObjectNode body) {
        return http.request(
                        new RequestOptions()
                                .setMethod(HttpMethod.POST)
                                .setHost(row.host())
                                .setPort(row.port())
                                .setURI("/v1/completions")
                                .putHeader("x-request-id", rid))
                .compose(out -> out.send(Buffer.buffer(body.toString())))
                .compose(answer -> answer.body());
    }

    @Override
    public List<Integer> ports() {
        return List.of(server.actualPort());
    }

    @Override
    public String figures() {
        return "";
    }

    @Override
    public void stop() {
        vertx.close();
    }
}
