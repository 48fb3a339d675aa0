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
import larchridge.store.proto.BatchRecord;
import larchridge.store.proto.FileRecord;
import larchridge.tokens.CountingResources;
import larchridge.upstream.AnswerSummary;

/**
 * A store with its batches in virtual time, whose prompts specify the outcomes of their
 * generations; its process can be killed and restarted.
 */
final class BatchFixture implements AutoCloseable {
    static final ObjectMapper MAPPER = new ObjectMapper();
    final Path folder = Files.createTempDirectory("larchridge-batch");
    final Site site;
    final CountingResources tokenCounters = new CountingResources(1 << 20, 1, 10, 4);

    /** How often engines ran each line, by custom id; kept when the process restarts. */
    final Map<String, Integer> runsByCustomId = new TreeMap<>();

    VirtualEventLoop loop;
    Store store;
    Batches batches;
    CrashPoints crashPoints = CrashPoints.NONE;
    int openSubmissions;
    int maxOpenSubmissions;

    /** Ends the process at the point where it is thrown. */
    static final class SimulatedCrash extends Error {
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
        start();
    }

    /** Starts a process on the store as it is. */
    void start() throws IOException {
        loop = new VirtualEventLoop();
        openSubmissions = 0;
        store = Store.open(folder.resolve("store"), name -> crashPoints.reached(name));
        batches =
                new Batches(
                        store,
                        site,
                        new ScriptedSubmitter(),
                        loop,
                        new BatchPlanner(site.batchSettings.maxOpenLines),
                        new BatchRetryPolicy(site.batchSettings.maxAttempts, new Random(1)),
                        new MessagesCodec(site, tokenCounters, loop));
        batches.start();
    }

    /** Kills the process, which loses what is not on disk, and starts another one. */
    void killAndRestart() throws IOException {
        store.close();
        start();
    }

    FileRecord upload(String text) throws IOException {
        IncomingFile incoming = store.createIncomingFile();
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        incoming.write(bytes, 0, bytes.length);
        return store.addFile(incoming.sync(), "g", "in.jsonl", "batch", 1);
    }

    /** Damages the store: removes the content of a file and keeps its record. */
    void deleteContent(FileRecord file) throws IOException {
        String digest = file.getDigest();
        Files.delete(
                store.folder().resolve("blobs").resolve(digest.substring(0, 2)).resolve(digest));
    }

    BatchRecord createBatch(FileRecord input, double windowMs) throws IOException {
        return batches.create(
                BatchRecord.newBuilder()
                        .setTenant("g")
                        .setInput(input.getId())
                        .setEndpoint("/v1/messages")
                        .setWindow("1h")
                        .setCreatedMs((long) loop.nowMs())
                        .setExpiresMs((long) (loop.nowMs() + windowMs)));
    }

    /** A line whose prompt contains a script for {@link ScriptedSubmitter}. */
    static String line(String id, String model, String script) {
        return "{\"custom_id\":\""
                + id
                + "\",\"method\":\"POST\",\"url\":\"/v1/messages\",\"body\":{\"model\":\""
                + model
                + "\",\"max_tokens\":10,\"messages\":[{\"role\":\"user\",\"content\":\"id="
                + id
                + " "
                + script
                + "\"}]}}";
    }

    static String inputOf(int lines) {
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < lines; i++) {
            text.append(line("c" + i, "free", "ok")).append('\n');
        }
        return text.toString();
    }

    /** The records of a file by custom id; fails if a custom id occurs twice. */
    Map<String, JsonNode> records(String fileId) throws IOException {
        Map<String, JsonNode> records = new TreeMap<>();
        if (fileId.isEmpty()) {
            return records;
        }
        try (FileChannel channel = store.openContent(store.file(fileId))) {
            for (String text :
                    new String(
                                    Channels.newInputStream(channel).readAllBytes(),
                                    StandardCharsets.UTF_8)
                            .split("\n")) {
                JsonNode record = MAPPER.readTree(text);
                if (records.put(record.path("custom_id").asText(), record) != null) {
                    throw new AssertionError("duplicate custom id: " + text);
                }
            }
        }
        return records;
    }

    /** The records of both files by custom id; fails if a line is in both files. */
    Map<String, JsonNode> records(BatchRecord batch) throws IOException {
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
        tokenCounters.close();
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        }
    }

    /**
     * Follows the scripts in prompts: ok, fail N (terminates N times), busy N (throttles N times),
     * slow MS (takes that long), never (does not end).
     */
    private final class ScriptedSubmitter implements GenerationSubmitter {
        private final Map<String, Integer> attemptsById = new HashMap<>();

        @Override
        public Submission submit(GenerationRequest request, Listener listener) {
            String prompt = request.prompt();
            String id = prompt.substring(prompt.indexOf("id=") + 3).split("\\s")[0];
            int attempt = attemptsById.merge(id, 1, Integer::sum);
            boolean[] cancelled = new boolean[1];
            maxOpenSubmissions = Math.max(maxOpenSubmissions, ++openSubmissions);
            boolean busy = attempt <= argument(prompt, "busy");
            if (!busy) {
                runsByCustomId.merge(id, 1, Integer::sum);
            }
            if (!prompt.contains(" never")) {
                loop.schedule(
                        Math.max(20, argument(prompt, "slow")),
                        () -> {
                            if (cancelled[0]) {
                                return;
                            }
                            openSubmissions--;
                            if (busy) {
                                listener.throttled(0);
                            } else if (attempt <= argument(prompt, "fail")) {
                                listener.terminated();
                            } else {
                                listener.completed(
                                        "w1 w2 ",
                                        0,
                                        new AnswerSummary(
                                                AnswerSummary.FinishReason.END_OF_TURN,
                                                null,
                                                10,
                                                2));
                            }
                        });
            }
            return () -> {
                cancelled[0] = true;
                openSubmissions--;
            };
        }

        private static int argument(String prompt, String keyword) {
            int index = prompt.indexOf(" " + keyword + " ");
            return index < 0
                    ? 0
                    : Integer.parseInt(
                            prompt.substring(index + keyword.length() + 2).split("\\s")[0]);
        }
    }

    /**
     * Virtual time: tasks run in the order of their due times, and those due at the same time in
     * the order in which they were added.
     */
    static final class VirtualEventLoop implements EventLoop {
        private record ScheduledTask(double dueMs, long sequenceNumber, Runnable task) {}

        private final PriorityQueue<ScheduledTask> tasks =
                new PriorityQueue<>(
                        Comparator.comparingDouble(ScheduledTask::dueMs)
                                .thenComparingLong(ScheduledTask::sequenceNumber));
        private double nowMs = 1_800_000_000_000.0;
        private long nextSequenceNumber;

        @Override
        public double nowMs() {
            return nowMs;
        }

        @Override
        public void execute(Runnable task) {
            tasks.add(new ScheduledTask(nowMs, nextSequenceNumber++, task));
        }

        @Override
        public void schedule(double delayMs, Runnable task) {
            tasks.add(
                    new ScheduledTask(
                            nowMs + Math.max(1, Math.ceil(delayMs)), nextSequenceNumber++, task));
        }

        @Override
        public <T> void runBlocking(Callable<T> work, BiConsumer<T, Exception> onDone) {
            execute(
                    () -> {
                        T value = null;
                        Exception thrown = null;
                        try {
                            value = work.call();
                        } catch (Exception e) {
                            thrown = e;
                        }
                        T result = value;
                        Exception failure = thrown;
                        execute(() -> onDone.accept(result, failure));
                    });
        }

        /** Runs the tasks that are due within this virtual time. */
        void run(double durationMs) {
            double end = nowMs + durationMs;
            while (!tasks.isEmpty() && tasks.peek().dueMs <= end) {
                ScheduledTask scheduled = tasks.poll();
                nowMs = Math.max(nowMs, scheduled.dueMs);
                scheduled.task.run();
            }
            nowMs = end;
        }
    }

    /** Records the crash points that the store passes, and simulates a crash at one of them. */
    static final class CrashAtWrite implements CrashPoints {
        final List<String> passedWrites = new ArrayList<>();
        private final int crashAt;

        CrashAtWrite(int crashAt) {
            this.crashAt = crashAt;
        }

        @Override
        public void reached(String name) {
            passedWrites.add(name);
            if (passedWrites.size() == crashAt) {
                throw new SimulatedCrash();
            }
        }
    }
}
