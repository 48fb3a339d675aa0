package larchridge.batch;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.channels.Channels;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import java.util.function.BiConsumer;
import java.util.stream.Stream;
import larchridge.messages.MessagesCodec;
import larchridge.planner.BatchPlanner;
import larchridge.planner.BatchRetryPolicy;
import larchridge.router.GenerationRequest;
import larchridge.site.Site;
import larchridge.site.SiteReader;
import larchridge.store.CrashPoints;
import larchridge.store.IncomingFile;
import larchridge.store.Store;
import larchridge.store.form.BatchForm;
import larchridge.store.form.FileForm;
import larchridge.tokens.TokenCounters;
import larchridge.upstream.Completion;

/**
 * A store with its batches in virtual time, over engines that do what the prompt says; it can be
 * killed and come back.
 */
final class BatchFixture implements AutoCloseable {
    static final ObjectMapper MAPPER = new ObjectMapper();
    final Path folder = Files.createTempDirectory("larchridge-batch");
    final Site site;
    final TokenCounters counters = new TokenCounters(1 << 20, 1, 10, 4);

    /** What the engines ran, by the line's custom id; it outlives the process. */
    final Map<String, Integer> ran = new TreeMap<>();

    VirtualLoop loop;
    Store store;
    Batches batches;
    CrashPoints points = CrashPoints.NONE;
    int out;
    int mostOut;

    /** The process ends here. */
    static final class Halt extends Error {
        private static final long serialVersionUID = 1;
    }

    BatchFixture() throws Exception {
        site =
                SiteReader.read(
                        "site",
                        """
                listen { host: "127.0.0.1" port: 0 }
                guest: "g"
                inventory { file: "engines.yaml" }
                product { name: "free" model: "free" effect: IDEMPOTENT slo_ms: 800 time_limit_ms: 900 }
                product { name: "once" model: "once" effect: SIDE_EFFECTING slo_ms: 800 time_limit_ms: 900 }
                product { name: "dedup" model: "dedup" effect: DEDUPLICATED dedup_span: ALL dedup_memory_ms: 9000
                  slo_ms: 800 time_limit_ms: 900 }
                batch { listen { host: "127.0.0.1" port: 0 } folder: "store" line_bytes: 2000 open_lines: 8 }
                """,
                        folder);
        begin();
    }

    /** A process that takes up the store as it is. */
    void begin() throws IOException {
        loop = new VirtualLoop();
        out = 0;
        store = Store.open(folder.resolve("store"), name -> points.at(name));
        batches =
                new Batches(
                        store,
                        site,
                        new Engines(),
                        loop,
                        new BatchPlanner(site.batchSettings.maxOpenLines),
                        new BatchRetryPolicy(site.batchSettings.maxAttempts, new Random(1)),
                        new MessagesCodec(site, counters, loop));
        batches.start();
    }

    /** The process is no more; what was not on disk is lost. */
    void killed() throws IOException {
        store.close();
        begin();
    }

    FileForm upload(String text) throws IOException {
        IncomingFile incoming = store.receive();
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        incoming.write(bytes, 0, bytes.length);
        return store.keep(incoming.synced(), "g", "in.jsonl", "batch", 1);
    }

    BatchForm make(FileForm input, double windowMs) throws IOException {
        return batches.make(
                BatchForm.newBuilder()
                        .setTenant("g")
                        .setInput(input.getId())
                        .setEndpoint("/v1/messages")
                        .setWindow("1h")
                        .setCreatedMs((long) loop.nowMs())
                        .setExpiresMs((long) (loop.nowMs() + windowMs)));
    }

    /** A line whose engines do as its words say. */
    static String line(String id, String model, String words) {
        return "{\"custom_id\":\""
                + id
                + "\",\"method\":\"POST\",\"url\":\"/v1/messages\",\"body\":{\"model\":\""
                + model
                + "\",\"max_tokens\":10,\"messages\":[{\"role\":\"user\",\"content\":\"id="
                + id
                + " "
                + words
                + "\"}]}}";
    }

    static String file(int lines) {
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < lines; i++) {
            text.append(line("c" + i, "free", "ok")).append('\n');
        }
        return text.toString();
    }

    /** Records of a file by custom id; a custom id that comes twice fails. */
    Map<String, JsonNode> records(String fileId) throws IOException {
        Map<String, JsonNode> records = new TreeMap<>();
        if (fileId.isEmpty()) {
            return records;
        }
        try (FileChannel from = store.content(store.file(fileId))) {
            for (String text :
                    new String(Channels.newInputStream(from).readAllBytes(), StandardCharsets.UTF_8)
                            .split("\n")) {
                JsonNode record = MAPPER.readTree(text);
                if (records.put(record.path("custom_id").asText(), record) != null) {
                    throw new AssertionError("twice: " + text);
                }
            }
        }
        return records;
    }

    /** Both files' records; a line in both fails. */
    Map<String, JsonNode> records(BatchForm batch) throws IOException {
        Map<String, JsonNode> all = records(batch.getOutput());
        records(batch.getErrors())
                .forEach(
                        (id, record) -> {
                            if (all.put(id, record) != null) {
                                throw new AssertionError("in both files: " + id);
                            }
                        });
        return all;
    }

    @Override
    public void close() throws IOException {
        store.close();
        counters.close();
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        }
    }

    /**
     * Does what prompts say: ok, fail N (terminated N times), busy N (throttled N times), slow MS,
     * never.
     */
    private final class Engines implements GenerationSubmitter {
        private final Map<String, Integer> times = new HashMap<>();

        @Override
        public Out take(GenerationRequest ask, Told told) {
            String prompt = ask.prompt();
            String id = prompt.substring(prompt.indexOf("id=") + 3).split("\\s")[0];
            int time = times.merge(id, 1, Integer::sum);
            boolean[] off = new boolean[1];
            mostOut = Math.max(mostOut, ++out);
            boolean busy = time <= number(prompt, "busy");
            if (!busy) {
                ran.merge(id, 1, Integer::sum);
            }
            if (!prompt.contains(" never")) {
                loop.in(
                        Math.max(20, number(prompt, "slow")),
                        () -> {
                            if (off[0]) {
                                return;
                            }
                            out--;
                            if (busy) {
                                told.throttled(0);
                            } else if (time <= number(prompt, "fail")) {
                                told.terminated();
                            } else {
                                told.streamed(
                                        "w1 w2 ",
                                        0,
                                        new Completion(
                                                Completion.FinishReason.END_OF_TURN, null, 10, 2));
                            }
                        });
            }
            return () -> {
                off[0] = true;
                out--;
            };
        }

        private static int number(String prompt, String word) {
            int at = prompt.indexOf(" " + word + " ");
            return at < 0
                    ? 0
                    : Integer.parseInt(prompt.substring(at + word.length() + 2).split("\\s")[0]);
        }
    }

    /**
     * Virtual time: steps run in the order of their times, and in one moment in the order in which
     * they came.
     */
    static final class VirtualLoop implements EventLoop {
        private record Step(double ms, long number, Runnable run) {}

        private final PriorityQueue<Step> steps =
                new PriorityQueue<>(
                        Comparator.comparingDouble(Step::ms).thenComparingLong(Step::number));
        private double nowMs = 1_800_000_000_000.0;
        private long number;

        @Override
        public double nowMs() {
            return nowMs;
        }

        @Override
        public void execute(Runnable step) {
            steps.add(new Step(nowMs, number++, step));
        }

        @Override
        public void in(double ms, Runnable step) {
            steps.add(new Step(nowMs + Math.max(1, Math.ceil(ms)), number++, step));
        }

        @Override
        public <T> void aside(Callable<T> work, BiConsumer<T, Exception> done) {
            execute(
                    () -> {
                        T got = null;
                        Exception failed = null;
                        try {
                            got = work.call();
                        } catch (Exception e) {
                            failed = e;
                        }
                        T given = got;
                        Exception fault = failed;
                        execute(() -> done.accept(given, fault));
                    });
        }

        /** Runs for so long, virtually. */
        void run(double ms) {
            double end = nowMs + ms;
            while (!steps.isEmpty() && steps.peek().ms <= end) {
                Step step = steps.poll();
                nowMs = Math.max(nowMs, step.ms);
                step.run.run();
            }
            nowMs = end;
        }
    }

    /** Counts the places at which the store writes, and ends the process at one of them. */
    static final class HaltAt implements CrashPoints {
        final List<String> passed = new ArrayList<>();
        private final int at;

        HaltAt(int at) {
            this.at = at;
        }

        @Override
        public void at(String name) {
            passed.add(name);
            if (passed.size() == at) {
                throw new Halt();
            }
        }
    }
}
