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
 * A stand-in for an engine, written from the published completions API with reading and writing
 * apart. It queues, holds memory, keeps texts, starts cold, hands states over, and ails as its
 * {@link InjectedFaults} says. It works in steps of a few milliseconds. All methods run on the loop
 * on which it was made.
 */
public final class SimulatedEngine {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final Pattern TAG = Pattern.compile("\\[tag:([^\\]]{1,80})]");
    private static final Pattern OUT = Pattern.compile("\\[out:(\\d{1,6})]");
    private static final int STEP_MS = 4;
    private static final int CHARS_A_TOK = 4;
    private static final int TOKS_A_CHUNK = 64;
    private static final int MOST_CHUNKS = 40_000;
    private static final double RACK_SLOWDOWN = 2;
    private static final double ZONE_SLOWDOWN = 4;

    public final EngineProfile make;
    public final InjectedFaults mood = new InjectedFaults();

    /** Tokens of a prompt; four characters each unless it is told otherwise. */
    public ToIntFunction<String> counts = prompt -> prompt.length() / CHARS_A_TOK;

    private final Vertx vertx;
    private final TrafficRecorder witness;
    private final Random random;
    private final HttpClient peers;
    private final double clockBaseMs = System.currentTimeMillis() - System.nanoTime() / 1e6;

    private HttpServer server;
    private int port;
    private boolean up;

    /** So many times as slow is one that stalls. */
    private static final double STALL = 20;

    private double startedMs;
    private double lastMs;
    private long stepTimer = -1;
    private final List<Job> reading = new ArrayList<>();
    private final List<Job> waiting = new ArrayList<>();
    private final List<Job> running = new ArrayList<>();
    private final Map<String, State> states = new LinkedHashMap<>();
    private double usedTokens;

    /**
     * Chunks of prompts that are kept, by the hash of all up to their end; the one unused for
     * longest goes.
     */
    private final Map<Long, Boolean> kept =
            new LinkedHashMap<>(16, 0.75f, true) {
                private static final long serialVersionUID = 1;

                @Override
                protected boolean removeEldestEntry(Map.Entry<Long, Boolean> eldest) {
                    return size() > MOST_CHUNKS;
                }
            };

    private final List<String> pages = new ArrayList<>();
    private final Map<HttpServerResponse, Runnable> open = new HashMap<>();

    private record State(String rid, String tag, double tokens, double sinceMs) {}

    /** An attempt that is here. */
    private static final class Job {
        final String rid;
        final String tag;
        final HttpServerResponse response;
        final double tokens;
        final int most;
        final JsonNode handle;
        final boolean reads;
        double unread;
        double keptTokens;
        double credit;
        int sent;
        int length;
        boolean counted;
        boolean fetching;
        boolean begun;
        boolean lost;
        boolean gone;
        double breakAfter = Double.POSITIVE_INFINITY;

        Job(
                String rid,
                String tag,
                HttpServerResponse response,
                double tokens,
                int most,
                JsonNode handle,
                boolean reads) {
            this.rid = rid;
            this.tag = tag;
            this.response = response;
            this.tokens = tokens;
            this.most = most;
            this.handle = handle;
            this.reads = reads;
        }
    }

    /** To be made on the loop that is to own it. */
    public SimulatedEngine(Vertx vertx, EngineProfile make, TrafficRecorder witness, long seed) {
        this.vertx = vertx;
        this.make = make;
        this.witness = witness;
        random = new Random(seed);
        peers =
                vertx.createHttpClient(
                        new HttpClientOptions().setConnectTimeout(500),
                        new PoolOptions().setHttp1MaxSize(64).setMaxWaitQueueSize(1000));
    }

    // ------------------------------------------------------------------ life

    /** Starts to listen, on the port of before if there was one; 0 takes any. */
    public Future<Integer> start(int wanted, boolean cold) {
        port = port == 0 ? wanted : port;
        startedMs = cold ? now() : now() - make.coldMs();
        lastMs = now();
        server =
                vertx.createHttpServer(
                        new HttpServerOptions()
                                .setAcceptBacklog(1024)
                                .setTcpNoDelay(true)
                                .setReuseAddress(true));
        server.requestHandler(this::handle);
        return server.listen(port, "127.0.0.1")
                .map(
                        listening -> {
                            port = listening.actualPort();
                            up = true;
                            witness.saw(
                                    TrafficRecorder.Sight.STARTED,
                                    make.id(),
                                    null,
                                    null,
                                    cold ? 1 : 0);
                            stepTimer = vertx.setPeriodic(STEP_MS, timer -> step());
                            return port;
                        });
    }

    /** Dies at once: every connection breaks, every state and text is gone. */
    public Future<Void> crash() {
        if (!up) {
            return Future.succeededFuture();
        }
        up = false;
        vertx.cancelTimer(stepTimer);
        for (Runnable drop : List.copyOf(open.values())) {
            drop.run();
        }
        for (State state : states.values()) {
            witness.saw(
                    TrafficRecorder.Sight.STATE_GONE,
                    make.id(),
                    state.rid,
                    state.tag,
                    state.tokens);
        }
        states.clear();
        reading.clear();
        waiting.clear();
        running.clear();
        kept.clear();
        pages.clear();
        open.clear();
        usedTokens = 0;
        witness.saw(TrafficRecorder.Sight.STOPPED, make.id(), null, null, 0);
        return server.close();
    }

    public int port() {
        return port;
    }

    /** When this process started, milliseconds of Unix time; 0 for one that started warm. */
    public double startedMs() {
        return startedMs;
    }

    /** Forgets every text that it has kept. */
    public void flush() {
        kept.clear();
    }

    private double now() {
        return clockBaseMs + System.nanoTime() / 1e6;
    }

    /** Its share of full capacity: grows evenly from the cold share to 1. */
    private double capacity() {
        double age = now() - startedMs;
        return age >= make.coldMs()
                ? 1
                : make.coldShare() + (1 - make.coldShare()) * age / make.coldMs();
    }

    // ------------------------------------------------------------------ the wire

    private void handle(HttpServerRequest request) {
        switch (request.path()) {
            case "/v1/completions" -> request.body().onSuccess(body -> attempt(request, body));
            case "/abort_request" -> request.body().onSuccess(body -> abort(request, body));
            case "/kv/pull" -> request.body().onSuccess(body -> pull(request, body));
            case "/metrics" ->
                    whenAwake(request.response(), () -> request.response().end(laggingPage()));
            default -> request.response().setStatusCode(404).end();
        }
    }

    private void whenAwake(HttpServerResponse response, Runnable then) {
        double left = mood.pausedUntilMs - now();
        if (left > 0) {
            vertx.setTimer((long) Math.ceil(left), timer -> whenAwake(response, then));
        } else if (up && !response.closed()) {
            then.run();
        }
    }

    private void attempt(HttpServerRequest request, Buffer body) {
        HttpServerResponse response = request.response();
        JsonNode json;
        try {
            json = MAPPER.readTree(body.getBytes());
        } catch (JsonProcessingException e) {
            error(response, 400, "invalid_json");
            return;
        } catch (java.io.IOException e) {
            error(response, 400, "unreadable");
            return;
        }
        String prompt = json.path("prompt").asText();
        String rid = request.getHeader("x-request-id");
        Matcher tag = TAG.matcher(prompt);
        JsonNode params = json.path("kv_transfer_params");
        boolean reads = params.path("do_remote_decode").asBoolean(false);
        JsonNode handle = params.path("do_remote_prefill").asBoolean(false) ? params : null;
        String found = null;
        while (tag.find()) {
            found = tag.group(1);
        }
        Job job =
                new Job(
                        rid,
                        found,
                        response,
                        Math.max(1, counts.applyAsInt(prompt)),
                        json.path("max_tokens").asInt(16),
                        handle,
                        reads);
        witness.saw(
                reads ? TrafficRecorder.Sight.READ_IN : TrafficRecorder.Sight.WRITE_IN,
                make.id(),
                rid,
                job.tag,
                job.tokens);
        Runnable out = () -> leave(job);
        open.put(
                response,
                () -> {
                    out.run();
                    response.reset();
                });
        response.closeHandler(closed -> out.run());
        response.endHandler(ended -> out.run());
        response.exceptionHandler(e -> out.run());
        if (mood.full || reading.size() + waiting.size() >= make.queue() + make.readsAtOnce()) {
            error(response, mood.full && random.nextBoolean() ? 503 : 429, "queue_full");
            return;
        }
        if (mood.faulty) {
            error(response, 500, "internal");
            return;
        }
        if ((reads && make.role() == Role.WRITER)
                || (!reads && make.role() == Role.READER)
                || (!reads && handle == null && make.role() != Role.BOTH)) {
            error(response, 400, handle == null && !reads ? "kv_state_unknown" : "wrong_role");
            return;
        }
        job.lost = random.nextDouble() < mood.lostShare;
        if (random.nextDouble() < mood.brokenShare) {
            job.breakAfter = random.nextInt(12);
        }
        Matcher length = OUT.matcher(prompt);
        int wanted = 8 + Math.floorMod(prompt.hashCode(), 40);
        while (length.find()) {
            wanted = Integer.parseInt(length.group(1));
        }
        job.length = Math.min(job.most, wanted);
        if (reads || handle == null) {
            job.keptTokens =
                    keep(prompt)
                            * job.tokens
                            * CHARS_A_TOK
                            / Math.max(CHARS_A_TOK, prompt.length());
            job.unread = Math.max(1, job.tokens - job.keptTokens);
            reading.add(job);
        } else {
            waiting.add(job);
        }
    }

    private void leave(Job job) {
        if (job.gone) {
            return;
        }
        job.gone = true;
        open.remove(job.response);
        reading.remove(job);
        waiting.remove(job);
        running.remove(job);
        if (job.counted) {
            usedTokens -= job.tokens;
        }
        witness.saw(TrafficRecorder.Sight.LEG_OUT, make.id(), job.rid, job.tag, job.sent);
    }

    private void abort(HttpServerRequest request, Buffer body) {
        whenAwake(
                request.response(),
                () -> {
                    String rid = body.toJsonObject().getString("rid", "");
                    drop(rid);
                    request.response().putHeader("content-type", "application/json").end("{}");
                });
    }

    private void pull(HttpServerRequest request, Buffer body) {
        whenAwake(
                request.response(),
                () -> {
                    String rid = body.toJsonObject().getString("rid", "");
                    request.response().setStatusCode(drop(rid) ? 200 : 404).end();
                });
    }

    private boolean drop(String rid) {
        State state = states.remove(rid);
        if (state != null) {
            usedTokens -= state.tokens;
            witness.saw(TrafficRecorder.Sight.STATE_GONE, make.id(), rid, state.tag, state.tokens);
        }
        return state != null;
    }

    /** How many tokens of this prompt are kept, which are all kept from now on. */
    private double keep(String prompt) {
        long hash = 1125899906842597L;
        int chunk = CHARS_A_TOK * TOKS_A_CHUNK;
        int known = 0;
        boolean going = true;
        for (int end = chunk; end <= prompt.length(); end += chunk) {
            for (int i = end - chunk; i < end; i++) {
                hash = 31 * hash + prompt.charAt(i);
            }
            going &= kept.get(hash) != null;
            known += going ? TOKS_A_CHUNK : 0;
            kept.put(hash, Boolean.TRUE);
        }
        return known;
    }

    private void error(HttpServerResponse response, int status, String code) {
        if (!response.ended() && !response.closed()) {
            ObjectNode json = MAPPER.createObjectNode();
            json.putObject("error").put("code", code).put("message", code);
            response.setStatusCode(status)
                    .putHeader("content-type", "application/json")
                    .putHeader("endpoint-load-metrics", report())
                    .end(json.toString());
        }
    }

    private String report() {
        return "TEXT named_metrics.num_requests_running="
                + (running.size() + reading.size() + states.size())
                + ",named_metrics.num_requests_waiting="
                + waiting.size()
                + ",named_metrics.kv_cache_usage_perc="
                + Math.min(1, usedTokens / make.memoryTokens())
                + ",named_metrics.prompt_tokens_waiting="
                + unread();
    }

    private double unread() {
        double unread = 0;
        for (Job job : reading) {
            unread += job.unread;
        }
        for (Job job : waiting) {
            unread += job.tokens;
        }
        return unread;
    }

    private String page() {
        return "vllm:num_requests_running "
                + (running.size() + reading.size() + states.size())
                + "\nvllm:num_requests_waiting "
                + waiting.size()
                + "\nvllm:kv_cache_usage_perc "
                + Math.min(1, usedTokens / make.memoryTokens())
                + "\nvllm:prompt_tokens_waiting "
                + unread()
                + "\n";
    }

    private String laggingPage() {
        int lag = (int) (mood.reportLagMs / STEP_MS);
        return pages.size() > lag && lag > 0 ? pages.get(pages.size() - 1 - lag) : page();
    }

    // ------------------------------------------------------------------ work

    private void step() {
        double now = now();
        double elapsed = now - Math.max(lastMs, mood.pausedUntilMs);
        lastMs = now;
        if (mood.reportLagMs > 0) {
            pages.add(page());
            if (pages.size() > 2000) {
                pages.remove(0);
            }
        }
        if (elapsed <= 0) {
            return;
        }
        boolean stalls = running.size() + reading.size() > mood.stallsAbove;
        double worth = elapsed * capacity() / mood.slowness / (stalls ? STALL : 1);
        read(worth);
        admit();
        for (Job job : List.copyOf(running)) {
            stream(job, worth);
        }
        lapse(now);
    }

    private void read(double worth) {
        double budget = worth * make.readTokensPerMs();
        Iterator<Job> next = List.copyOf(reading).iterator();
        for (int i = 0; i < make.readsAtOnce() && next.hasNext() && budget > 0; i++) {
            Job job = next.next();
            if (!job.counted) {
                if (usedTokens + job.tokens > make.memoryTokens()) {
                    return;
                }
                job.counted = true;
                usedTokens += job.tokens;
            }
            double part = Math.min(budget, job.unread);
            job.unread -= part;
            budget -= part;
            if (job.unread <= 0) {
                reading.remove(job);
                if (job.reads) {
                    finishRead(job);
                } else {
                    waiting.add(job);
                }
            }
        }
    }

    private void finishRead(Job job) {
        if (!mood.forgetful) {
            states.put(job.rid, new State(job.rid, job.tag, job.tokens, now()));
            job.counted = false;
            witness.saw(TrafficRecorder.Sight.STATE_HELD, make.id(), job.rid, job.tag, job.tokens);
        }
        if (job.lost) {
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
                .put("cached_tokens", (int) job.keptTokens);
        json.putObject("kv_transfer_params")
                .put("do_remote_prefill", true)
                .put("remote_engine_id", make.id())
                .put("remote_host", "127.0.0.1")
                .put("remote_port", port)
                .put("remote_request_id", job.rid)
                .put("remote_zone", make.zone())
                .put("remote_rack", make.rack())
                .putArray("remote_block_ids")
                .add(1);
        String text = json.toString();
        boolean garbled = random.nextDouble() < mood.garbledShare;
        job.response
                .putHeader("content-type", "application/json")
                .putHeader("endpoint-load-metrics", report())
                .end(garbled ? text.substring(0, text.length() / 2) : text);
    }

    private void admit() {
        for (Job job : List.copyOf(waiting)) {
            if (running.size() >= make.streams()
                    || (!job.counted && usedTokens + job.tokens > make.memoryTokens())) {
                return;
            }
            waiting.remove(job);
            usedTokens += job.counted ? 0 : job.tokens;
            job.counted = true;
            running.add(job);
            if (job.handle == null) {
                job.fetching = false;
                ran(job);
            } else {
                fetch(job);
            }
        }
    }

    private void ran(Job job) {
        witness.saw(TrafficRecorder.Sight.RAN, make.id(), job.rid, job.tag, job.tokens);
    }

    private void fetch(Job job) {
        job.fetching = true;
        String zone = job.handle.path("remote_zone").asText();
        double slowdown =
                !zone.equals(make.zone())
                        ? ZONE_SLOWDOWN
                        : job.handle.path("remote_rack").asLong() != make.rack()
                                ? RACK_SLOWDOWN
                                : 1;
        long moveMs = 1 + (long) (job.tokens / make.moveTokensPerMs() * slowdown);
        RequestOptions to =
                new RequestOptions()
                        .setMethod(HttpMethod.POST)
                        .setURI("/kv/pull")
                        .setTimeout(1000)
                        .setHost(job.handle.path("remote_host").asText())
                        .setPort(job.handle.path("remote_port").asInt());
        Buffer body =
                Buffer.buffer(
                        MAPPER.createObjectNode()
                                .put("rid", job.handle.path("remote_request_id").asText())
                                .toString());
        peers.request(to)
                .compose(request -> request.send(body))
                .map(answer -> answer.statusCode())
                .onComplete(
                        done ->
                                vertx.setTimer(
                                        moveMs,
                                        timer -> {
                                            if (job.gone || !up) {
                                                return;
                                            }
                                            if (done.succeeded() && done.result() == 200) {
                                                job.fetching = false;
                                                ran(job);
                                            } else if (!job.lost) {
                                                running.remove(job);
                                                error(job.response, 409, "kv_state_unknown");
                                            }
                                        }));
    }

    private void stream(Job job, double worth) {
        if (job.fetching || job.lost || job.gone) {
            return;
        }
        // Back-pressure: what the reader of this stream does not take is not made.
        if (job.begun && job.response.writeQueueFull()) {
            return;
        }
        job.credit += worth / make.tokenMs();
        if (!job.begun) {
            job.begun = true;
            job.credit = Math.max(1, job.credit);
            job.response
                    .setChunked(true)
                    .putHeader("content-type", "text/event-stream")
                    .putHeader("endpoint-load-metrics", report());
        }
        while (job.credit >= 1 && job.sent < job.length) {
            job.credit -= 1;
            job.sent++;
            if (job.sent > job.breakAfter) {
                job.response.reset();
                leave(job);
                return;
            }
            boolean last = job.sent == job.length;
            write(
                    job,
                    chunk(
                            job,
                            "w" + job.sent + " ",
                            last ? job.length < job.most ? "stop" : "length" : null));
        }
        if (job.sent >= job.length) {
            ObjectNode usage = MAPPER.createObjectNode();
            usage.putArray("choices");
            usage.putObject("usage")
                    .put("prompt_tokens", (int) job.tokens)
                    .put("completion_tokens", job.sent);
            write(job, "data: " + usage + "\n\ndata: [DONE]\n\n");
            running.remove(job);
            job.response.end();
        }
    }

    private String chunk(Job job, String text, String reason) {
        if (random.nextDouble() < mood.garbledShare / 8) {
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
        if (!mood.torn || text.length() < 4) {
            job.response.write(text);
            return;
        }
        int cut = 1 + random.nextInt(text.length() - 2);
        job.response.write(text.substring(0, cut));
        job.response.write(text.substring(cut));
    }

    private void lapse(double now) {
        for (State state : List.copyOf(states.values())) {
            if (now - state.sinceMs > make.lapseMs()) {
                drop(state.rid);
            }
        }
    }
}
