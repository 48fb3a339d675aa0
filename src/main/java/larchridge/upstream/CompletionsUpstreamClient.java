package larchridge.upstream;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vertx.core.Context;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.ConnectionPoolTooBusyException;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.parsetools.RecordParser;
import larchridge.site.SiteLimits;
import larchridge.state.AttemptOutcome;
import larchridge.state.LoadReport;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Engines over the OpenAI-compatible completions API with reading and writing apart, as vLLM and
 * others publish it: a read attempt asks for one token with {@code do_remote_decode}, a write
 * attempt gives the handle of that state with {@code do_remote_prefill} and is streamed as
 * server-sent events. An attempt is called off by closing its connection.
 */
public final class CompletionsUpstreamClient implements UpstreamClient {
    private static final Logger LOG = LoggerFactory.getLogger(CompletionsUpstreamClient.class);
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final int MOST_LINE_BYTES = 1 << 20;
    private static final int MOST_RELEASES = 20_000;
    private static final int RELEASE_TRIES = 4;
    private static final int RELEASE_AGAIN_MS = 60;

    private final Vertx vertx;
    private final Context loop;
    private final HttpClient client;
    private final SiteLimits limit;
    private int releases;

    private record Handle(JsonNode json) implements StateHandle {}

    /** To be made on the loop that is to own it. */
    public CompletionsUpstreamClient(Vertx vertx, SiteLimits limit) {
        this.vertx = vertx;
        this.limit = limit;
        loop = vertx.getOrCreateContext();
        HttpClientOptions options =
                new HttpClientOptions()
                        .setConnectTimeout((int) limit.connectMs)
                        .setKeepAlive(true)
                        .setKeepAliveTimeout((int) Math.max(1, limit.keepAliveMs / 1000))
                        .setTcpNoDelay(true)
                        .setMaxHeaderSize(32_768);
        PoolOptions pool =
                new PoolOptions()
                        .setHttp1MaxSize(limit.connectionsPerEngine)
                        .setMaxWaitQueueSize(limit.connectionWaits)
                        .setCleanerPeriod(1000);
        client = vertx.createHttpClient(options, pool);
    }

    @Override
    public AttemptHandle read(AttemptRequest order, AttemptListener hearing) {
        ObjectNode body = body(order);
        body.put("max_tokens", 1);
        body.put("stream", false);
        body.putObject("kv_transfer_params")
                .put("do_remote_decode", true)
                .put("do_remote_prefill", false);
        Out out = new Out(order, hearing, true);
        out.start(body);
        return out;
    }

    @Override
    public AttemptHandle write(AttemptRequest order, AttemptListener hearing) {
        ObjectNode body = body(order);
        body.put("max_tokens", order.maxTokens());
        body.put("stream", true);
        body.putObject("stream_options").put("include_usage", true);
        if (order.state() instanceof Handle handle) {
            ObjectNode params = handle.json.deepCopy();
            params.put("do_remote_prefill", true).put("do_remote_decode", false);
            body.set("kv_transfer_params", params);
        }
        Out out = new Out(order, hearing, false);
        out.start(body);
        return out;
    }

    private static ObjectNode body(AttemptRequest order) {
        ObjectNode body = MAPPER.createObjectNode();
        body.put("model", order.model());
        body.put("prompt", order.prompt());
        if (!order.stops().isEmpty()) {
            order.stops().forEach(body.putArray("stop")::add);
        }
        AttemptRequest.Sampling sampling = order.sampling();
        if (sampling.temperature() != null) {
            body.put("temperature", sampling.temperature());
        }
        if (sampling.topP() != null) {
            body.put("top_p", sampling.topP());
        }
        if (sampling.topK() != null) {
            body.put("top_k", sampling.topK());
        }
        return body;
    }

    /**
     * Tries a few times, since a state that nobody lets go pins memory there; after that the
     * engine's own lapse frees it. At most {@value #MOST_RELEASES} at once; what comes beyond is
     * logged and left to that lapse too.
     */
    @Override
    public void release(Endpoint endpoint, String rid) {
        if (releases >= MOST_RELEASES) {
            LOG.atWarn()
                    .addKeyValue("engine", endpoint)
                    .addKeyValue("attempt", rid)
                    .log("too many releases at once");
            return;
        }
        releases++;
        release(endpoint, rid, RELEASE_TRIES);
    }

    private void release(Endpoint endpoint, String rid, int tries) {
        RequestOptions options =
                options(endpoint, HttpMethod.POST, "/abort_request")
                        .setTimeout((long) limit.probeMs);
        Buffer body = Buffer.buffer(MAPPER.createObjectNode().put("rid", rid).toString());
        client.request(options)
                .compose(
                        request -> request.putHeader("content-type", "application/json").send(body))
                .compose(response -> response.body().map(response.statusCode()))
                .onComplete(
                        done -> {
                            if (done.succeeded() && done.result() < 500 && done.result() != 429) {
                                releases--;
                            } else if (tries > 1) {
                                vertx.setTimer(
                                        (long) RELEASE_AGAIN_MS * (1 + RELEASE_TRIES - tries),
                                        timer -> release(endpoint, rid, tries - 1));
                            } else {
                                releases--;
                                LOG.atWarn()
                                        .addKeyValue("engine", endpoint)
                                        .addKeyValue("attempt", rid)
                                        .log(
                                                "state not released; the engine's own lapse must free it");
                            }
                        });
    }

    @Override
    public void probe(Endpoint endpoint, ProbeListener told) {
        RequestOptions options =
                options(endpoint, HttpMethod.GET, "/metrics").setTimeout((long) limit.probeMs);
        client.request(options)
                .compose(HttpClientRequest::send)
                .compose(
                        response ->
                                response.body()
                                        .map(
                                                body ->
                                                        response.statusCode() != 200
                                                                ? null
                                                                : LoadReportParser.ofPage(
                                                                        body.toString())))
                .onComplete(
                        done ->
                                told.completed(
                                        done.succeeded() && done.result() != null,
                                        done.succeeded() ? done.result() : null));
    }

    @Override
    public void close() {
        client.close();
    }

    private RequestOptions options(Endpoint endpoint, HttpMethod method, String path) {
        return new RequestOptions()
                .setMethod(method)
                .setHost(endpoint.host())
                .setPort(endpoint.port())
                .setURI(path)
                .setConnectTimeout((long) limit.connectMs);
    }

    /** One attempt on its way. */
    private final class Out implements AttemptHandle {
        private final AttemptRequest order;
        private final AttemptListener hearing;
        private final boolean reads;
        private final AttemptClassifier verdict = new AttemptClassifier();
        private HttpClientRequest request;
        private HttpClientResponse response;
        private LoadReport report;
        private boolean done;
        private boolean paused;
        private boolean begun;
        private boolean tellsSoFar;
        private Completion.FinishReason why = Completion.FinishReason.END_OF_TURN;
        private String stop;
        private int promptTokens = -1;
        private int outTokens = -1;
        private int pieces;
        private Buffer whole;

        Out(AttemptRequest order, AttemptListener hearing, boolean reads) {
            this.order = order;
            this.hearing = hearing;
            this.reads = reads;
        }

        void start(ObjectNode body) {
            RequestOptions options = options(order.endpoint(), HttpMethod.POST, "/v1/completions");
            options.putHeader("content-type", "application/json")
                    .putHeader("x-request-id", order.attemptId());
            if (order.idempotencyKey() != null) {
                options.putHeader("idempotency-key", order.idempotencyKey());
            }
            client.request(options)
                    .onComplete(
                            connected -> {
                                if (done) {
                                    // Called off while it waited for a connection: nothing was
                                    // written.
                                    if (connected.succeeded()) {
                                        connected.result().reset();
                                    }
                                    return;
                                }
                                if (connected.failed()) {
                                    later(
                                            AttemptClassifier.noConnection(
                                                    connected.cause()
                                                            instanceof
                                                            ConnectionPoolTooBusyException));
                                    return;
                                }
                                request = connected.result();
                                // Guards against: an attempt that waited for a connection would
                                // reach an
                                // engine that has begun to drain since.
                                if (order.sendCheck().rejection() != null) {
                                    verdict.unfit();
                                    request.reset();
                                    later(verdict.outcome());
                                    return;
                                }
                                request.exceptionHandler(e -> broken());
                                request.response()
                                        .onComplete(
                                                got -> {
                                                    if (got.succeeded()) {
                                                        hear(got.result());
                                                    } else {
                                                        broken();
                                                    }
                                                });
                                verdict.written();
                                request.end(Buffer.buffer(body.toString()));
                            });
        }

        private void hear(HttpClientResponse got) {
            if (done) {
                return;
            }
            response = got;
            verdict.answered(got.statusCode());
            report = LoadReportParser.ofHeader(got.getHeader(LoadReportParser.HEADER));
            got.exceptionHandler(e -> broken());
            if (reads || got.statusCode() != 200) {
                whole = Buffer.buffer();
                got.handler(
                        part -> {
                            whole.appendBuffer(part);
                            if (whole.length() > MOST_LINE_BYTES) {
                                garbled();
                            }
                        });
                got.endHandler(end -> whole());
                return;
            }
            RecordParser lines = RecordParser.newDelimited("\n", line -> line(line.toString()));
            lines.maxRecordSize(MOST_LINE_BYTES);
            lines.exceptionHandler(e -> garbled());
            got.handler(
                    part -> {
                        if (!done) {
                            lines.handle(part);
                            soFar();
                        }
                    });
            got.endHandler(
                    end -> {
                        if (!done) {
                            verdict.clean();
                            finish(verdict.outcome());
                        }
                    });
            if (paused) {
                got.pause();
            }
        }

        /**
         * An engine's tokens come as chunks of their own, many in one go: told when the loop has
         * read them all.
         */
        private void soFar() {
            if (begun && !done && !tellsSoFar) {
                tellsSoFar = true;
                loop.runOnContext(
                        v -> {
                            tellsSoFar = false;
                            if (!done) {
                                hearing.batchCompleted();
                            }
                        });
            }
        }

        private void whole() {
            if (done) {
                return;
            }
            verdict.clean();
            JsonNode json = parsed(whole.toString());
            if (response.statusCode() != 200) {
                verdict.errorCode(
                        json == null ? null : json.path("error").path("code").asText(null));
                finish(verdict.outcome());
                return;
            }
            JsonNode params = json == null ? null : json.get("kv_transfer_params");
            if (params == null || !params.isObject()) {
                verdict.garbled();
                finish(verdict.outcome());
                return;
            }
            done = true;
            JsonNode usage = json.path("usage");
            hearing.readCompleted(
                    new Handle(params),
                    usage.path("prompt_tokens_details").path("cached_tokens").asInt(0),
                    usage.path("prompt_tokens").asInt(-1),
                    report);
        }

        private void line(String line) {
            if (done || !line.startsWith("data:")) {
                return;
            }
            String data = line.substring(5).strip();
            if (data.equals("[DONE]")) {
                if (begun) {
                    verdict.finished();
                }
                return;
            }
            JsonNode json = parsed(data);
            if (json == null || json.has("error")) {
                garbled();
                return;
            }
            JsonNode usage = json.path("usage");
            if (usage.isObject()) {
                promptTokens = usage.path("prompt_tokens").asInt(-1);
                outTokens = usage.path("completion_tokens").asInt(-1);
            }
            JsonNode choice = json.path("choices").path(0);
            String text = choice.path("text").asText("");
            String reason = choice.path("finish_reason").asText("");
            if (!begun && (!text.isEmpty() || !reason.isEmpty())) {
                begun = true;
                hearing.responseStarted();
            }
            if (!text.isEmpty() && !done) {
                pieces++;
                hearing.textReceived(text);
            }
            if (!reason.isEmpty() && !reason.equals("null")) {
                stop =
                        choice.path("stop_reason").isTextual()
                                ? choice.path("stop_reason").asText()
                                : null;
                why =
                        reason.equals("length")
                                ? Completion.FinishReason.MAX_TOKENS
                                : stop != null
                                        ? Completion.FinishReason.STOP_SEQUENCE
                                        : Completion.FinishReason.END_OF_TURN;
                verdict.finished();
            }
        }

        private JsonNode parsed(String text) {
            try {
                JsonNode json = MAPPER.readTree(text);
                return json != null && json.isObject() ? json : null;
            } catch (JsonProcessingException e) {
                return null;
            }
        }

        private void garbled() {
            if (!done) {
                verdict.garbled();
                request.reset();
                finish(verdict.outcome());
            }
        }

        private void broken() {
            if (!done) {
                finish(verdict.outcome());
            }
        }

        private void finish(AttemptOutcome outcome) {
            done = true;
            Completion ending =
                    outcome == AttemptOutcome.STREAMED
                            ? new Completion(
                                    why, stop, promptTokens, outTokens >= 0 ? outTokens : pieces)
                            : null;
            hearing.attemptEnded(outcome, report, ending);
        }

        @Override
        public void cancel() {
            stop(false);
        }

        @Override
        public void expire() {
            stop(true);
        }

        private void stop(boolean timeIsUp) {
            if (done) {
                return;
            }
            done = true;
            verdict.called(timeIsUp);
            if (request != null) {
                request.reset();
            }
            later(verdict.outcome());
        }

        /**
         * Never from inside the call that sends or cancels: the module is in the middle of a step.
         */
        private void later(AttemptOutcome outcome) {
            done = true;
            loop.runOnContext(v -> finish(outcome));
        }

        @Override
        public void pause() {
            paused = true;
            if (response != null) {
                response.pause();
            }
        }

        @Override
        public void resume() {
            paused = false;
            if (response != null) {
                response.resume();
            }
        }
    }
}
