package larchridge.systemtest;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import larchridge.simulatedengine.EngineProfile;
import larchridge.state.Role;
import larchridge.store.CrashPoints;
import larchridge.store.Store;

/**
 * Runs batches on a service that is killed repeatedly, either at one of its store's writes or at a
 * random time. The store is verified after each kill. At the end every line must have exactly one
 * record, and according to the engines no side-effecting line may have run twice.
 */
public final class CrashTest {
    private static final long START_TIMEOUT_MS = 30_000;
    private static final long BATCH_TIMEOUT_MS = 120_000;
    private static final int LINES_PER_BATCH = 80;

    /** The result of a run; faults is empty if the run passed. */
    public record Result(int batches, int kills, int atWrites, int ranTwice, List<String> faults) {}

    private final Random random;
    private final int killsPerBatch;
    private final Map<String, Integer> runCounts = new ConcurrentHashMap<>();
    private final List<String> faults = new ArrayList<>();
    private Path folder;
    private int port;
    private Process process;
    private int kills;
    private int atWrites;

    private CrashTest(long seed, int killsPerBatch) {
        random = new Random(seed);
        this.killsPerBatch = killsPerBatch;
    }

    /** Runs a number of batches with a number of kills each. */
    public static Result play(long seed, int batches, int killsPerBatch)
            throws IOException, InterruptedException {
        return new CrashTest(seed, killsPerBatch).run(batches);
    }

    private Result run(int batches) throws IOException, InterruptedException {
        folder = Files.createTempDirectory("larchridge-kills");
        List<EngineProfile> profiles =
                List.of(
                        EngineProfile.of(1, Role.READER, "", 0),
                        EngineProfile.of(2, Role.WRITER, "", 0));
        try (SimulatedFleet fleet =
                SimulatedFleet.start(
                        profiles,
                        (event, engine, rid, tag, amount) -> {
                            if (event.name().equals("RAN") && tag != null) {
                                runCounts.merge(tag, 1, Integer::sum);
                            }
                        },
                        1)) {
            fleet.writeEngineList(folder.resolve("engines.yaml"));
            for (int i = 0; i < batches; i++) {
                runBatch(i);
            }
        } finally {
            killService();
            try (Stream<Path> files = Files.walk(folder)) {
                for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                    Files.delete(file);
                }
            }
        }
        int repeatedLines = 0;
        for (Map.Entry<String, Integer> entry : runCounts.entrySet()) {
            if (entry.getKey().contains("once") && entry.getValue() > 1) {
                faults.add(entry.getKey() + " ran " + entry.getValue() + " times");
            }
            repeatedLines += entry.getValue() > 1 ? 1 : 0;
        }
        return new Result(batches, kills, atWrites, repeatedLines, faults);
    }

    private String site() {
        return "listen { host: \"127.0.0.1\" port: 0 }\nguest: \"g\"\nseed: 1\n"
                + "inventory { file: \"engines.yaml\" poll_ms: 50 }\nlimits { stop_ms: 100 }\n"
                + "product { name: \"free\" model: \"free\" effect: IDEMPOTENT slo_ms: 2000 time_limit_ms: 5000 }\n"
                + "product { name: \"once\" model: \"once\" effect: SIDE_EFFECTING slo_ms: 2000 time_limit_ms: 5000 }\n"
                + "engines { reports_with_answers: true }\n"
                + "batch { listen { host: \"127.0.0.1\" port: "
                + port
                + " } folder: \"store\" attempts: 50 line_ms: 20000 }\n";
    }

    private void runBatch(int number) throws IOException, InterruptedException {
        String lines = lines(number);
        String name = "in" + number + ".jsonl";
        long deadlineNanos = System.nanoTime() + BATCH_TIMEOUT_MS * 1_000_000;
        for (int start = 0; System.nanoTime() < deadlineNanos; start++) {
            boolean lastStart = start >= killsPerBatch;
            boolean atWrite = random.nextBoolean();
            startService(lastStart || !atWrite ? 0 : 1 + random.nextInt(60));
            long killAtNanos =
                    lastStart || atWrite
                            ? Long.MAX_VALUE
                            : System.nanoTime() + (50L + random.nextInt(1500)) * 1_000_000;
            BatchApiClient client = new BatchApiClient(port, "k");
            JsonNode batch = null;
            while (process.isAlive()
                    && System.nanoTime() < deadlineNanos
                    && (batch == null || !BatchApiClient.isFinished(batch))) {
                String file = client.upload(name, lines);
                String id = file == null ? null : client.createBatch(file, "/v1/messages", "1h");
                batch = id == null ? null : client.batch(id);
                if (System.nanoTime() > killAtNanos) {
                    process.destroyForcibly();
                }
                process.waitFor(10, TimeUnit.MILLISECONDS);
            }
            boolean finished = batch != null && BatchApiClient.isFinished(batch);
            Map<String, Integer> records =
                    finished && process.isAlive() ? client.records(batch) : null;
            boolean died = !process.isAlive();
            killService();
            if (died) {
                kills++;
                atWrites += atWrite ? 1 : 0;
            }
            verifyStore("batch " + number + ", start " + start);
            if (records != null) {
                checkRecords(number, batch, records);
                return;
            }
        }
        faults.add("batch " + number + " did not finish");
    }

    private static String lines(int number) {
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < LINES_PER_BATCH; i++) {
            String model = i % 5 == 0 ? "once" : "free";
            String id = model + "-" + number + "-" + i;
            text.append("{\"custom_id\":\"")
                    .append(id)
                    .append("\",\"method\":\"POST\",\"url\":\"/v1/messages\",\"body\":{")
                    .append("\"model\":\"")
                    .append(model)
                    .append("\",\"max_tokens\":12,\"messages\":[{\"role\":\"user\",")
                    .append("\"content\":\"Parte [out:6] [tag:")
                    .append(id)
                    .append("#0]\"}]}}\n");
        }
        return text.toString();
    }

    private void startService(int haltAtWrite) throws IOException, InterruptedException {
        port = RouterProcesses.findFreePort();
        Path site = folder.resolve("site.textproto");
        Files.writeString(site, site());
        process =
                RouterProcesses.launch(
                        site,
                        new File(folder.toFile(), "log"),
                        "--rehearse",
                        "0",
                        "--halt-at-write",
                        Integer.toString(haltAtWrite));
        long deadlineNanos = System.nanoTime() + START_TIMEOUT_MS * 1_000_000;
        while (process.isAlive() && System.nanoTime() < deadlineNanos) {
            try (Socket socket = new Socket()) {
                socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 200);
                return;
            } catch (IOException e) {
                process.waitFor(20, TimeUnit.MILLISECONDS);
            }
        }
    }

    private void killService() throws InterruptedException {
        if (process != null) {
            process.destroyForcibly().waitFor();
        }
    }

    private void verifyStore(String context) {
        try (Store store = Store.open(folder.resolve("store"), CrashPoints.NONE)) {
            store.verify().forEach(fault -> faults.add(context + ": " + fault));
        } catch (IOException e) {
            faults.add(context + ": " + e.getMessage());
        }
    }

    private void checkRecords(int number, JsonNode batch, Map<String, Integer> records) {
        if (!batch.path("status").asText().equals("completed")) {
            faults.add("batch " + number + " is " + batch.path("status").asText());
        }
        for (int i = 0; i < LINES_PER_BATCH; i++) {
            String id = (i % 5 == 0 ? "once" : "free") + "-" + number + "-" + i;
            Integer count = records.remove(id);
            if (count == null || count != 1) {
                faults.add(id + " has " + count + " records");
            }
        }
        records.keySet().forEach(id -> faults.add("record of an unknown line: " + id));
    }
}
