package review2;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * An engine of the service: the completions API of engines that read and write apart. A reader leaves its state and answers one
 * JSON object; a writer streams. Engines remember the keys of deduplicated products for a time, all of them together.
 */
class CompletionsEngine extends StandInServer {
    private static final Pattern ASKED = Pattern.compile("numero (\\d+)");

    /** When each key had its last effect; the engines drop repeats of it for a time. */
    private static final Map<String, Double> REMEMBERED = new HashMap<>();

    /** What took effect: the times, by the number in the prompt. */
    private static final Map<String, List<Double>> EFFECTS = new TreeMap<>();

    final String name;
    final boolean reader;

    /** How long the engines drop repeats of a key, counted from when it ran first. */
    double memoryMs;

    CompletionsEngine(String name, boolean reader) throws IOException {
        super(0);
        this.name = name;
        this.reader = reader;
    }

    @Override
    void answer(Message request, Link link) throws IOException {
        String body = new String(request.body, StandardCharsets.UTF_8);
        if (request.target().equals("/metrics")) {
            json(link, "vllm:num_requests_running 0\nvllm:num_requests_waiting 0\nvllm:kv_cache_usage_perc 0.01\n");
        } else if (!request.target().equals("/v1/completions")) {
            json(link, "{}");
        } else if (body.contains("\"do_remote_decode\":true")) {
            Kit.log(name + " reads " + request.header("x-request-id"));
            Kit.sleep(10);
            json(link, "{\"id\":\"c\",\"choices\":[{\"index\":0,\"text\":\"\",\"finish_reason\":\"length\"}],"
                    + "\"usage\":{\"prompt_tokens\":40,\"completion_tokens\":1,\"prompt_tokens_details\":"
                    + "{\"cached_tokens\":0}},\"kv_transfer_params\":{\"do_remote_prefill\":true,"
                    + "\"remote_engine_id\":\"" + name + "\",\"remote_block_ids\":[1]}}");
        } else {
            write(request, body, link);
        }
    }

    private void write(Message request, String body, Link link) throws IOException {
        String key = request.header("idempotency-key");
        Matcher asked = ASKED.matcher(body);
        String number = asked.find() ? asked.group(1) : "?";
        String what = name + " writes number " + number + " as " + request.header("x-request-id") + ", key " + key;
        synchronized (EFFECTS) {
            double now = Kit.nowMs();
            Double effectMs = key == null ? null : REMEMBERED.get(key);
            if (effectMs != null && now - effectMs <= memoryMs) {
                what += ": a repeat, dropped";
            } else {
                REMEMBERED.put(String.valueOf(key), now);
                List<Double> effects = EFFECTS.computeIfAbsent(number, n -> new ArrayList<>());
                effects.add(now);
                what += ": RUNS for the " + effects.size() + ". time";
            }
        }
        boolean lost = losesAnswer();
        Kit.log(what + (lost ? "; the answer gets lost" : ""));
        if (lost) {
            return;
        }
        Kit.sleep(20);
        link.send("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
        for (int i = 0; i < 4; i++) {
            link.sendChunk("data: {\"id\":\"c\",\"choices\":[{\"index\":0,\"text\":\"agua \",\"finish_reason\":null}]}\n\n");
            Kit.sleep(10);
        }
        link.sendChunk("data: {\"id\":\"c\",\"choices\":[{\"index\":0,\"text\":\"\",\"finish_reason\":\"stop\"}]}\n\n"
                + "data: {\"id\":\"c\",\"choices\":[],\"usage\":{\"prompt_tokens\":40,\"completion_tokens\":4}}\n\n"
                + "data: [DONE]\n\n");
        link.send("0\r\n\r\n");
    }

    /** How many numbers took effect at least so often; logs them. */
    static long tookEffect(int times) {
        synchronized (EFFECTS) {
            EFFECTS.forEach((number, all) -> Kit.log("number " + number + " took effect at " + all));
            return EFFECTS.values().stream().filter(all -> all.size() >= times).count();
        }
    }

    /** Whether what this engine has run is answered to nobody. */
    boolean losesAnswer() {
        return false;
    }

    private static void json(Link link, String body) throws IOException {
        link.send("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " + body.length()
                + "\r\n\r\n" + body);
    }
}
