package larchridge.simulatedengine;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.ToIntFunction;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import larchridge.state.Role;

/**
 * A simulated engine that implements the published completions API with disaggregated prefill. It
 * has a queue, a memory limit, a prefix cache and cold starts, transfers read states to other
 * engines, and shows the faults in its {@link InjectedFaults}. Work advances in steps of a few
 * milliseconds. All methods run on the event loop on which the engine was created.
 */
public final class SimulatedEngine {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final Pattern TAG_PATTERN = Pattern.compile("\\[tag:([^\\]]{1,80})]");
    private static final Pattern OUTPUT_LENGTH_PATTERN = Pattern.compile("\\[out:(\\d{1,6})]");
    private static final int STEP_MS = 4;
    private static final int CHARS_PER_TOKEN = 4;
    private static final int TOKENS_PER_CHUNK = 64;
    private static final int MAX_CACHED_CHUNKS = 40_000;
    private static final double RACK_SLOWDOWN = 2;
    private static final double ZONE_SLOWDOWN = 4;

    public final EngineProfile profile;
    public final InjectedFaults faults = new InjectedFaults();

    /** Counts the tokens of a prompt; by default four characters are one token. */
    public ToIntFunction<String> tokenCounter = prompt -> prompt.length() / CHARS_PER_TOKEN;

    private final Vertx vertx;
    private final TrafficRecorder recorder;
    private final Random random;
    private final HttpClient peerClient;
    private final double clockBaseMs = System.currentTimeMillis() - System.nanoTime() / 1e6;

    private HttpServer server;
    private int port;
    private boolean started;

    /** Slowdown of an engine above its {@link InjectedFaults#stallThreshold}. */
    private static final double STALL_SLOWDOWN = 20;

    private double startedMs;
    private double lastMs;
    private long stepTimer = -1;
    private final List<Job> reading = new ArrayList<>();
    private final List<Job> waiting = new ArrayList<>();
    private final List<Job> running = new ArrayList<>();
    private final Map<String, State> states = new LinkedHashMap<>();
    private double usedTokens;

    /**
     * The prefix cache: chunks of prompts by the hash of the prompt up to the chunk's end. The
     * least recently used chunk is evicted.
     */
    private final Map<Long, Boolean> cachedChunks =
            new LinkedHashMap<>(16, 0.75f, true) {
                private static final long serialVersionUID = 1;

                @Override
                protected boolean removeEldestEntry(Map.Entry<Long, Boolean> eldest) {
                    return size() > MAX_CACHED_CHUNKS;
                }
            };

    private final List<String> metricsHistory = new ArrayList<>();
    private final Map<HttpServerResponse, Runnable> openResponses = new HashMap<>();

    private record State(String rid, String tag, double tokens, double sinceMs) {}

    /** An attempt at this engine. */
    private static final class Job {
        final String rid;
        final String tag;
        final HttpServerResponse response;
        final double tokens;
        final int maxTokens;
        final JsonNode stateParams;
        final boolean isRead;
        double unreadTokens;
        double cachedTokens;
        double tokenCredit;
        int sentTokens;
        int outputTokens;
        boolean memoryReserved;
        boolean fetchingState;
        boolean streamStarted;
        boolean responseLost;
        boolean finished;
        double breakAfterTokens = Double.POSITIVE_INFINITY;

        Job(
                String rid,
                String tag,
                HttpServerResponse response,
                double tokens,
                int maxTokens,
                JsonNode stateParams,
                boolean isRead) {
            this.rid = rid;
            this.tag = tag;
            this.response = response;
            this.tokens = tokens;
            this.maxTokens = maxTokens;
            this.stateParams = stateParams;
            this.isRead = isRead;
        }
    }

    /** Creates an engine; must be called on the event loop that is to own it. */
    public SimulatedEngine(
            Vertx vertx, EngineProfile profile, TrafficRecorder recorder, long seed) {
        this.vertx = vertx;
        this.profile = profile;
        this.recorder = recorder;
        random = new Random(seed);
        peerClient =
                vertx.createHttpClient(
                        new HttpClientOptions().setConnectTimeout(500),
                        new PoolOptions().setHttp1MaxSize(64).setMaxWaitQueueSize(1000));
    }

    // ------------------------------------------------------------------ start and crash

    /**
     * Starts listening. A restart uses the port of the previous start; port 0 picks a free port.
     */
    public Future<Integer> start(int requestedPort, boolean cold) {
        port = port == 0 ? requestedPort : port;
        startedMs = cold ? now() : now() - profile.coldMs();
        lastMs = now();
        server =
                vertx.createHttpServer(
                        new HttpServerOptions()
                                .setAcceptBacklog(1024)
                                .setTcpNoDelay(true)
                                .setReuseAddress(true));
        server.requestHandler(this::handleRequest);
        return server.listen(port, "127.0.0.1")
                .map(
                        listening -> {
                            port = listening.actualPort();
                            started = true;
                            recorder.recordEvent(
                                    TrafficRecorder.Event.STARTED,
                                    profile.id(),
                                    null,
                                    null,
                                    cold ? 1 : 0);
                            stepTimer = vertx.setPeriodic(STEP_MS, timer -> step());
                            return port;
                        });
    }

    /** Crashes: all connections are reset, and all read states and the prefix cache are lost. */
    public Future<Void> crash() {
        if (!started) {
            return Future.succeededFuture();
        }
        started = false;
        vertx.cancelTimer(stepTimer);
        for (Runnable closeAction : List.copyOf(openResponses.values())) {
            closeAction.run();
        }
        for (State state : states.values()) {
            recorder.recordEvent(
                    TrafficRecorder.Event.STATE_GONE,
                    profile.id(),
                    state.rid,
                    state.tag,
                    state.tokens);
        }
        states.clear();
        reading.clear();
        waiting.clear();
        running.clear();
        cachedChunks.clear();
        metricsHistory.clear();
        openResponses.clear();
        usedTokens = 0;
        recorder.recordEvent(TrafficRecorder.Event.STOPPED, profile.id(), null, null, 0);
        return server.close();
    }

    public int port() {
        return port;
    }

    /** When this engine started, in milliseconds of Unix time; earlier for a warm start. */
    public double startedMs() {
        return startedMs;
    }

    /** Empties the prefix cache. */
    public void flush() {
        cachedChunks.clear();
    }

    private double now() {
        return clockBaseMs + System.nanoTime() / 1e6;
    }

    /** Returns the share of full capacity, which grows linearly from the cold share to 1. */
    private double capacityShare() {
        double age = now() - startedMs;
        return age >= profile.coldMs()
                ? 1
                : profile.coldShare() + (1 - profile.coldShare()) * age / profile.coldMs();
    }

    // ------------------------------------------------------------------ requests

    private void handleRequest(HttpServerRequest request) {
        switch (request.path()) {
            case "/v1/completions" ->
                    request.body().onSuccess(body -> handleAttempt(request, body));
            case "/abort_request" -> request.body().onSuccess(body -> handleAbort(request, body));
            case "/kv/pull" -> request.body().onSuccess(body -> handleStatePull(request, body));
            case "/metrics" ->
                    whenNotPaused(
                            request.response(), () -> request.response().end(delayedMetricsText()));
            default -> request.response().setStatusCode(404).end();
        }
    }

    private void whenNotPaused(HttpServerResponse response, Runnable action) {
        double remainingMs = faults.pausedUntilMs - now();
        if (remainingMs > 0) {
            vertx.setTimer((long) Math.ceil(remainingMs), timer -> whenNotPaused(response, action));
        } else if (started && !response.closed()) {
            action.run();
        }
    }

    private void handleAttempt(HttpServerRequest request, Buffer body) {
        HttpServerResponse response = request.response();
        JsonNode json;
        try {
            json = MAPPER.readTree(body.getBytes());
        } catch (JsonProcessingException e) {
            sendError(response, 400, "invalid_json");
            return;
        } catch (java.io.IOException e) {
            sendError(response, 400, "unreadable");
            return;
        }
        String prompt = json.path("prompt").asText();
        String rid = request.getHeader("x-request-id");
        Matcher tagMatcher = TAG_PATTERN.matcher(prompt);
        JsonNode params = json.path("kv_transfer_params");
        boolean isRead = params.path("do_remote_decode").asBoolean(false);
        JsonNode stateParams = params.path("do_remote_prefill").asBoolean(false) ? params : null;
        String tagText = null;
        while (tagMatcher.find()) {
            tagText = tagMatcher.group(1);
        }
        Job job =
                new Job(
                        rid,
                        tagText,
                        response,
                        Math.max(1, tokenCounter.applyAsInt(prompt)),
                        json.path("max_tokens").asInt(16),
                        stateParams,
                        isRead);
        recorder.recordEvent(
                isRead ? TrafficRecorder.Event.READ_IN : TrafficRecorder.Event.WRITE_IN,
                profile.id(),
                rid,
                job.tag,
                job.tokens);
        Runnable onEnd = () -> finishAttempt(job);
        openResponses.put(
                response,
                () -> {
                    onEnd.run();
                    response.reset();
                });
        response.closeHandler(closed -> onEnd.run());
        response.endHandler(ended -> onEnd.run());
        response.exceptionHandler(e -> onEnd.run());
        if (faults.rejectAll
                || reading.size() + waiting.size()
                        >= profile.queueCapacity() + profile.maxConcurrentReads()) {
            sendError(response, faults.rejectAll && random.nextBoolean() ? 503 : 429, "queue_full");
            return;
        }
        if (faults.failAll) {
            sendError(response, 500, "internal");
            return;
        }
        if ((isRead && profile.role() == Role.WRITER)
                || (!isRead && profile.role() == Role.READER)
                || (!isRead && stateParams == null && profile.role() != Role.BOTH)) {
            sendError(
                    response,
                    400,
                    stateParams == null && !isRead ? "kv_state_unknown" : "wrong_role");
            return;
        }
        job.responseLost = random.nextDouble() < faults.lostResponseShare;
        if (random.nextDouble() < faults.brokenStreamShare) {
            job.breakAfterTokens = random.nextInt(12);
        }
        Matcher lengthMatcher = OUTPUT_LENGTH_PATTERN.matcher(prompt);
        int outputLength = 8 + Math.floorMod(prompt.hashCode(), 40);
        while (lengthMatcher.find()) {
            outputLength = Integer.parseInt(lengthMatcher.group(1));
        }
        job.outputTokens = Math.min(job.maxTokens, outputLength);
        if (isRead || stateParams == null) {
            job.cachedTokens =
                    cachePrompt(prompt)
                            * job.tokens
                            * CHARS_PER_TOKEN
                            / Math.max(CHARS_PER_TOKEN, prompt.length());
            job.unreadTokens = Math.max(1, job.tokens - job.cachedTokens);
            reading.add(job);
        } else {
            waiting.add(job);
        }
    }

    private void finishAttempt(Job job) {
        if (job.finished) {
            return;
        }
        job.finished = true;
        openResponses.remove(job.response);
        reading.remove(job);
        waiting.remove(job);
        running.remove(job);
        if (job.memoryReserved) {
            usedTokens -= job.tokens;
        }
        recorder.recordEvent(
                TrafficRecorder.Event.LEG_OUT, profile.id(), job.rid, job.tag, job.sentTokens);
    }

    private void handleAbort(HttpServerRequest request, Buffer body) {
        whenNotPaused(
                request.response(),
                () -> {
                    String rid = body.toJsonObject().getString("rid", "");
                    releaseState(rid);
                    request.response().putHeader("content-type", "application/json").end("{}");
                });
    }

    private void handleStatePull(HttpServerRequest request, Buffer body) {
        whenNotPaused(
                request.response(),
                () -> {
                    String rid = body.toJsonObject().getString("rid", "");
                    request.response().setStatusCode(releaseState(rid) ? 200 : 404).end();
                });
    }

    private boolean releaseState(String rid) {
        State state = states.remove(rid);
        if (state != null) {
            usedTokens -= state.tokens;
            recorder.recordEvent(
                    TrafficRecorder.Event.STATE_GONE, profile.id(), rid, state.tag, state.tokens);
        }
        return state != null;
    }

    /** Adds a prompt to the prefix cache; returns how many of its tokens were cached before. */
    private double cachePrompt(String prompt) {
        long hash = 1125899906842597L;
        int chunkChars = CHARS_PER_TOKEN * TOKENS_PER_CHUNK;
        int cachedPrefixTokens = 0;
        boolean prefixCached = true;
        for (int end = chunkChars; end <= prompt.length(); end += chunkChars) {
            for (int i = end - chunkChars; i < end; i++) {
                hash = 31 * hash + prompt.charAt(i);
            }
            prefixCached &= cachedChunks.get(hash) != null;
            cachedPrefixTokens += prefixCached ? TOKENS_PER_CHUNK : 0;
            cachedChunks.put(hash, Boolean.TRUE);
        }
        return cachedPrefixTokens;
    }

    private void sendError(HttpServerResponse response, int status, String code) {
        if (!response.ended() && !response.closed()) {
            ObjectNode json = MAPPER.createObjectNode();
            json.putObject("error").put("code", code).put("message", code);
            response.setStatusCode(status)
                    .putHeader("content-type", "application/json")
                    .putHeader("endpoint-load-metrics", loadReport())
                    .end(json.toString());
        }
    }

    private String loadReport() {
        return "TEXT named_metrics.num_requests_running="
                + (running.size() + reading.size() + states.size())
                + ",named_metrics.num_requests_waiting="
                + waiting.size()
                + ",named_metrics.kv_cache_usage_perc="
                + Math.min(1, usedTokens / profile.memoryTokens())
                + ",named_metrics.prompt_tokens_waiting="
                + unreadTokens();
    }

    private double unreadTokens() {
        double unreadTokens = 0;
        for (Job job : reading) {
            unreadTokens += job.unreadTokens;
        }
        for (Job job : waiting) {
            unreadTokens += job.tokens;
        }
        return unreadTokens;
    }

    private String metricsText() {
        return "vllm:num_requests_running "
                + (running.size() + reading.size() + states.size())
                + "\nvllm:num_requests_waiting "
                + waiting.size()
                + "\nvllm:kv_cache_usage_perc "
                + Math.min(1, usedTokens / profile.memoryTokens())
                + "\nvllm:prompt_tokens_waiting "
                + unreadTokens()
                + "\n";
    }

    private String delayedMetricsText() {
        int lagSteps = (int) (faults.metricsLagMs / STEP_MS);
        return metricsHistory.size() > lagSteps && lagSteps > 0
                ? metricsHistory.get(metricsHistory.size() - 1 - lagSteps)
                : metricsText();
    }

    // ------------------------------------------------------------------ work

    private void step() {
        double now = now();
        double elapsed = now - Math.max(lastMs, faults.pausedUntilMs);
        lastMs = now;
        if (faults.metricsLagMs > 0) {
            metricsHistory.add(metricsText());
            if (metricsHistory.size() > 2000) {
                metricsHistory.remove(0);
            }
        }
        if (elapsed <= 0) {
            return;
        }
        boolean stalled = running.size() + reading.size() > faults.stallThreshold;
        double capacityMs =
                elapsed * capacityShare() / faults.slowdownFactor / (stalled ? STALL_SLOWDOWN : 1);
        readPrompts(capacityMs);
        admitWaiting();
        for (Job job : List.copyOf(running)) {
            generateTokens(job, capacityMs);
        }
        expireStates(now);
    }

    private void readPrompts(double capacityMs) {
        double budget = capacityMs * profile.readTokensPerMs();
        Iterator<Job> jobs = List.copyOf(reading).iterator();
        for (int i = 0; i < profile.maxConcurrentReads() && jobs.hasNext() && budget > 0; i++) {
            Job job = jobs.next();
            if (!job.memoryReserved) {
                if (usedTokens + job.tokens > profile.memoryTokens()) {
                    return;
                }
                job.memoryReserved = true;
                usedTokens += job.tokens;
            }
            double readTokens = Math.min(budget, job.unreadTokens);
            job.unreadTokens -= readTokens;
            budget -= readTokens;
            if (job.unreadTokens <= 0) {
                reading.remove(job);
                if (job.isRead) {
                    finishRead(job);
                } else {
                    waiting.add(job);
                }
            }
        }
    }

    private void finishRead(Job job) {
        if (!faults.discardStates) {
            states.put(job.rid, new State(job.rid, job.tag, job.tokens, now()));
            job.memoryReserved = false;
            recorder.recordEvent(
                    TrafficRecorder.Event.STATE_HELD, profile.id(), job.rid, job.tag, job.tokens);
        }
        if (job.responseLost) {
            return;
        }
        ObjectNode json = MAPPER.createObjectNode();
        json.put("id", job.rid).put("object", "text_completion");
        json.putArray("choices")
                .addObject()
                .put("index", 0)
                .put("text", "")
                .put("finish_reason", "length");
        json.putObject("usage")
                .put("prompt_tokens", (int) job.tokens)
                .put("completion_tokens", 1)
                .putObject("prompt_tokens_details")
                .put("cached_tokens", (int) job.cachedTokens);
        json.putObject("kv_transfer_params")
                .put("do_remote_prefill", true)
                .put("remote_engine_id", profile.id())
                .put("remote_host", "127.0.0.1")
                .put("remote_port", port)
                .put("remote_request_id", job.rid)
                .put("remote_zone", profile.zone())
                .put("remote_rack", profile.rack())
                .putArray("remote_block_ids")
                .add(1);
        String text = json.toString();
        boolean garbled = random.nextDouble() < faults.malformedShare;
        job.response
                .putHeader("content-type", "application/json")
                .putHeader("endpoint-load-metrics", loadReport())
                .end(garbled ? text.substring(0, text.length() / 2) : text);
    }

    private void admitWaiting() {
        for (Job job : List.copyOf(waiting)) {
            if (running.size() >= profile.maxConcurrentStreams()
                    || (!job.memoryReserved && usedTokens + job.tokens > profile.memoryTokens())) {
                return;
            }
            waiting.remove(job);
            usedTokens += job.memoryReserved ? 0 : job.tokens;
            job.memoryReserved = true;
            running.add(job);
            if (job.stateParams == null) {
                job.fetchingState = false;
                recordRun(job);
            } else {
                fetchState(job);
            }
        }
    }

    private void recordRun(Job job) {
        recorder.recordEvent(TrafficRecorder.Event.RAN, profile.id(), job.rid, job.tag, job.tokens);
    }

    private void fetchState(Job job) {
        job.fetchingState = true;
        String zone = job.stateParams.path("remote_zone").asText();
        double slowdown =
                !zone.equals(profile.zone())
                        ? ZONE_SLOWDOWN
                        : job.stateParams.path("remote_rack").asLong() != profile.rack()
                                ? RACK_SLOWDOWN
                                : 1;
        long transferMs = 1 + (long) (job.tokens / profile.transferTokensPerMs() * slowdown);
        RequestOptions to =
                new RequestOptions()
                        .setMethod(HttpMethod.POST)
                        .setURI("/kv/pull")
                        .setTimeout(1000)
                        .setHost(job.stateParams.path("remote_host").asText())
                        .setPort(job.stateParams.path("remote_port").asInt());
        Buffer body =
                Buffer.buffer(
                        MAPPER.createObjectNode()
                                .put("rid", job.stateParams.path("remote_request_id").asText())
                                .toString());
        peerClient
                .request(to)
                .compose(request -> request.send(body))
                .map(answer -> answer.statusCode())
                .onComplete(
                        done ->
                                vertx.setTimer(
                                        transferMs,
                                        timer -> {
                                            if (job.finished || !started) {
                                                return;
                                            }
                                            if (done.succeeded() && done.result() == 200) {
                                                job.fetchingState = false;
                                                recordRun(job);
                                            } else if (!job.responseLost) {
                                                running.remove(job);
                                                sendError(job.response, 409, "kv_state_unknown");
                                            }
                                        }));
    }

    private void generateTokens(Job job, double capacityMs) {
        if (job.fetchingState || job.responseLost || job.finished) {
            return;
        }
        // Back-pressure: no tokens are generated while the receiver does not read them.
        if (job.streamStarted && job.response.writeQueueFull()) {
            return;
        }
        job.tokenCredit += capacityMs / profile.tokenMs();
        if (!job.streamStarted) {
            job.streamStarted = true;
            job.tokenCredit = Math.max(1, job.tokenCredit);
            job.response
                    .setChunked(true)
                    .putHeader("content-type", "text/event-stream")
                    .putHeader("endpoint-load-metrics", loadReport());
        }
        while (job.tokenCredit >= 1 && job.sentTokens < job.outputTokens) {
            job.tokenCredit -= 1;
            job.sentTokens++;
            if (job.sentTokens > job.breakAfterTokens) {
                job.response.reset();
                finishAttempt(job);
                return;
            }
            boolean last = job.sentTokens == job.outputTokens;
            write(
                    job,
                    completionChunk(
                            job,
                            "w" + job.sentTokens + " ",
                            last ? job.outputTokens < job.maxTokens ? "stop" : "length" : null));
        }
        if (job.sentTokens >= job.outputTokens) {
            ObjectNode usage = MAPPER.createObjectNode();
            usage.putArray("choices");
            usage.putObject("usage")
                    .put("prompt_tokens", (int) job.tokens)
                    .put("completion_tokens", job.sentTokens);
            write(job, "data: " + usage + "\n\ndata: [DONE]\n\n");
            running.remove(job);
            job.response.end();
        }
    }

    private String completionChunk(Job job, String text, String reason) {
        if (random.nextDouble() < faults.malformedShare / 8) {
            return "data: {\"choices\":[{\"text\":\n\n";
        }
        ObjectNode json =
                MAPPER.createObjectNode().put("id", job.rid).put("object", "text_completion");
        json.putArray("choices")
                .addObject()
                .put("index", 0)
                .put("text", text)
                .put("finish_reason", reason);
        return "data: " + json + "\n\n";
    }

    private void write(Job job, String text) {
        if (!faults.splitWrites || text.length() < 4) {
            job.response.write(text);
            return;
        }
        int cut = 1 + random.nextInt(text.length() - 2);
        job.response.write(text.substring(0, cut));
        job.response.write(text.substring(cut));
    }

    private void expireStates(double now) {
        for (State state : List.copyOf(states.values())) {
            if (now - state.sinceMs > profile.stateExpiryMs()) {
                releaseState(state.rid);
            }
        }
    }
}
