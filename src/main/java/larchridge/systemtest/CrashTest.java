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
 * Batches over a service that is killed outright again and again: at one of its store's writes, or
 * at any time. After each death the store is verified; in the end every line must have exactly one
 * record, and no side-effecting one may have run twice, by what the engines saw.
 */
public final class CrashTest {
    private static final long START_MS = 30_000;
    private static final long BATCH_MS = 120_000;
    private static final int LINES = 80;

    /** What came of it; faults is empty if all went well. */
    public record Result(int batches, int kills, int atWrites, int ranTwice, List<String> faults) {}

    private final Random random;
    private final int killsPerBatch;
    private final Map<String, Integer> ran = new ConcurrentHashMap<>();
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

    /** Plays so many batches, each with so many kills. */
    public static Result play(long seed, int batches, int killsPerBatch)
            throws IOException, InterruptedException {
        return new CrashTest(seed, killsPerBatch).run(batches);
    }

    private Result run(int batches) throws IOException, InterruptedException {
        folder = Files.createTempDirectory("larchridge-kills");
        List<EngineProfile> makes =
                List.of(
                        EngineProfile.of(1, Role.READER, "", 0),
                        EngineProfile.of(2, Role.WRITER, "", 0));
        try (SimulatedFleet fleet =
                SimulatedFleet.start(
                        makes,
                        (sight, engine, rid, tag, amount) -> {
                            if (sight.name().equals("RAN") && tag != null) {
                                ran.merge(tag, 1, Integer::sum);
                            }
                        },
                        1)) {
            fleet.writeEngineList(folder.resolve("engines.yaml"));
            for (int i = 0; i < batches; i++) {
                batch(i);
            }
        } finally {
            end();
            try (Stream<Path> files = Files.walk(folder)) {
                for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                    Files.delete(file);
                }
            }
        }
        int twice = 0;
        for (Map.Entry<String, Integer> entry : ran.entrySet()) {
            if (entry.getKey().contains("once") && entry.getValue() > 1) {
                faults.add(entry.getKey() + " ran " + entry.getValue() + " times");
            }
            twice += entry.getValue() > 1 ? 1 : 0;
        }
        return new Result(batches, kills, atWrites, twice, faults);
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

    private void batch(int number) throws IOException, InterruptedException {
        String lines = lines(number);
        String name = "in" + number + ".jsonl";
        long end = System.nanoTime() + BATCH_MS * 1_000_000;
        for (int life = 0; System.nanoTime() < end; life++) {
            boolean lasts = life >= killsPerBatch;
            boolean atWrite = random.nextBoolean();
            begin(lasts || !atWrite ? 0 : 1 + random.nextInt(60));
            long diesAt =
                    lasts || atWrite
                            ? Long.MAX_VALUE
                            : System.nanoTime() + (50L + random.nextInt(1500)) * 1_000_000;
            BatchApiClient calls = new BatchApiClient(port, "k");
            JsonNode last = null;
            while (process.isAlive()
                    && System.nanoTime() < end
                    && (last == null || !BatchApiClient.isOver(last))) {
                String file = calls.upload(name, lines);
                String id = file == null ? null : calls.make(file, "/v1/messages", "1h");
                last = id == null ? null : calls.batch(id);
                if (System.nanoTime() > diesAt) {
                    process.destroyForcibly();
                }
                process.waitFor(10, TimeUnit.MILLISECONDS);
            }
            boolean over = last != null && BatchApiClient.isOver(last);
            Map<String, Integer> records = over && process.isAlive() ? calls.records(last) : null;
            boolean died = !process.isAlive();
            end();
            if (died) {
                kills++;
                atWrites += atWrite ? 1 : 0;
            }
            verify("batch " + number + ", life " + life);
            if (records != null) {
                judge(number, last, records);
                return;
            }
        }
        faults.add("batch " + number + " did not come to its end");
    }

    private static String lines(int number) {
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < LINES; i++) {
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

    private void begin(int haltAtWrite) throws IOException, InterruptedException {
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
        long end = System.nanoTime() + START_MS * 1_000_000;
        while (process.isAlive() && System.nanoTime() < end) {
            try (Socket socket = new Socket()) {
                socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 200);
                return;
            } catch (IOException e) {
                process.waitFor(20, TimeUnit.MILLISECONDS);
            }
        }
    }

    private void end() throws InterruptedException {
        if (process != null) {
            process.destroyForcibly().waitFor();
        }
    }

    private void verify(String when) {
        try (Store store = Store.open(folder.resolve("store"), CrashPoints.NONE)) {
            store.verify().forEach(fault -> faults.add(when + ": " + fault));
        } catch (IOException e) {
            faults.add(when + ": " + e.getMessage());
        }
    }

    private void judge(int number, JsonNode batch, Map<String, Integer> records) {
        if (!batch.path("status").asText().equals("completed")) {
            faults.add("batch " + number + " is " + batch.path("status").asText());
        }
        for (int i = 0; i < LINES; i++) {
            String id = (i % 5 == 0 ? "once" : "free") + "-" + number + "-" + i;
            Integer times = records.remove(id);
            if (times == null || times != 1) {
                faults.add(id + " has " + times + " records");
            }
        }
        records.keySet().forEach(id -> faults.add("a record of nothing: " + id));
    }
}
