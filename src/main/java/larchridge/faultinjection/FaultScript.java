package larchridge.faultinjection;

import java.io.IOException;
import java.io.Reader;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.yaml.snakeyaml.DumperOptions;
import org.yaml.snakeyaml.LoaderOptions;
import org.yaml.snakeyaml.Yaml;
import org.yaml.snakeyaml.constructor.SafeConstructor;

/**
 * The sizes, load and faults of one run. Generated from a seed, written as YAML, and read back to
 * repeat a run.
 *
 * @param seconds length of the run; the last {@value #QUIET_SECONDS} s have no faults
 * @param perSecond requests per second over all nodes
 */
public record FaultScript(
        long seed,
        int nodes,
        int readers,
        int writers,
        double seconds,
        double perSecond,
        List<Fault> faults) {
    /** Length of the interval at the end of a run in which no fault is active. */
    static final double QUIET_SECONDS = 10;

    /** No fault starts earlier. */
    private static final double FIRST_FAULT_MS = 2500;

    /** Mean number of faults that are active at the same time. */
    private static final double MEAN_CONCURRENT_FAULTS = 2.5;

    private static final double MIN_DURATION_MS = 1000;
    private static final double MAX_DURATION_MS = 6000;

    /** Generates the script of a seed from the given kinds of faults. */
    public static FaultScript generate(
            long seed,
            int nodes,
            int readers,
            int writers,
            double seconds,
            double perSecond,
            List<FaultKind> kinds) {
        Random random = new Random(seed);
        double faultSpanMs = Math.max(0, (seconds - QUIET_SECONDS) * 1000 - FIRST_FAULT_MS);
        List<Fault> faults = new ArrayList<>();
        double meanDurationMs = (MIN_DURATION_MS + MAX_DURATION_MS) / 2;
        int count = (int) Math.round(MEAN_CONCURRENT_FAULTS * faultSpanMs / meanDurationMs);
        for (int i = 0; i < count; i++) {
            FaultKind kind = kinds.get(random.nextInt(kinds.size()));
            double durationMs =
                    MIN_DURATION_MS + random.nextDouble() * (MAX_DURATION_MS - MIN_DURATION_MS);
            double startMs =
                    FIRST_FAULT_MS + random.nextDouble() * Math.max(0, faultSpanMs - durationMs);
            faults.add(
                    new Fault(
                            kind,
                            Math.round(startMs),
                            Math.round(Math.min(durationMs, faultSpanMs)),
                            sample(
                                    random,
                                    readers + writers,
                                    1 + random.nextInt(Math.max(1, (readers + writers) / 3))),
                            sample(random, nodes, 1 + random.nextInt(Math.max(1, nodes / 3))),
                            Math.round(random.nextDouble() * 1000) / 1000.0));
        }
        faults.sort(Comparator.comparingDouble(Fault::atMs));
        return new FaultScript(
                seed, nodes, readers, writers, seconds, perSecond, List.copyOf(faults));
    }

    private static List<Integer> sample(Random random, int total, int count) {
        List<Integer> all = new ArrayList<>();
        for (int i = 0; i < total; i++) {
            all.add(i);
        }
        java.util.Collections.shuffle(all, random);
        return all.subList(0, Math.min(count, total)).stream().sorted().toList();
    }

    void write(Path file) throws IOException {
        List<Map<String, Object>> list = new ArrayList<>();
        for (Fault fault : faults) {
            Map<String, Object> entry = new LinkedHashMap<>();
            entry.put("kind", fault.kind().name());
            entry.put("at_ms", fault.atMs());
            entry.put("length_ms", fault.lengthMs());
            entry.put("engines", new ArrayList<>(fault.engines()));
            entry.put("nodes", new ArrayList<>(fault.nodes()));
            entry.put("size", fault.size());
            list.add(entry);
        }
        Map<String, Object> root = new LinkedHashMap<>();
        root.put("seed", seed);
        root.put("nodes", nodes);
        root.put("readers", readers);
        root.put("writers", writers);
        root.put("seconds", seconds);
        root.put("per_second", perSecond);
        root.put("troubles", list);
        DumperOptions options = new DumperOptions();
        options.setDefaultFlowStyle(DumperOptions.FlowStyle.AUTO);
        Files.writeString(file, new Yaml(options).dump(root));
    }

    /** Reads a script. The message of the exception names the file and the field. */
    public static FaultScript read(Path file) throws IOException {
        try (Reader in = Files.newBufferedReader(file)) {
            Object root = new Yaml(new SafeConstructor(new LoaderOptions())).load(in);
            if (!(root instanceof Map<?, ?> map)) {
                throw new IOException(file + ": expected a map");
            }
            List<Fault> faults = new ArrayList<>();
            if (!(map.get("troubles") instanceof List<?> list)) {
                throw new IOException(file + ": troubles is missing; expected a list");
            }
            for (Object entry : list) {
                faults.add(readFault(file, faults.size(), entry));
            }
            return new FaultScript(
                    (long) readNumber(file, map, "seed"),
                    (int) readNumber(file, map, "nodes"),
                    (int) readNumber(file, map, "readers"),
                    (int) readNumber(file, map, "writers"),
                    readNumber(file, map, "seconds"),
                    readNumber(file, map, "per_second"),
                    List.copyOf(faults));
        }
    }

    private static Fault readFault(Path file, int index, Object entry) throws IOException {
        String where = file + ": troubles[" + index + "]";
        if (!(entry instanceof Map<?, ?> map)) {
            throw new IOException(where + ": expected a map");
        }
        FaultKind kind;
        try {
            kind = FaultKind.valueOf(String.valueOf(map.get("kind")));
        } catch (IllegalArgumentException e) {
            throw new IOException(
                    where
                            + ".kind is '"
                            + map.get("kind")
                            + "'; expected one of "
                            + List.of(FaultKind.values()),
                    e);
        }
        return new Fault(
                kind,
                readNumber(file, map, "at_ms"),
                readNumber(file, map, "length_ms"),
                readIntegers(where, map, "engines"),
                readIntegers(where, map, "nodes"),
                readNumber(file, map, "size"));
    }

    private static double readNumber(Path file, Map<?, ?> map, String field) throws IOException {
        if (map.get(field) instanceof Number value) {
            return value.doubleValue();
        }
        throw new IOException(
                file + ": " + field + " is " + map.get(field) + "; expected a number");
    }

    private static List<Integer> readIntegers(String where, Map<?, ?> map, String field)
            throws IOException {
        List<Integer> numbers = new ArrayList<>();
        if (map.get(field) instanceof List<?> list) {
            for (Object entry : list) {
                if (!(entry instanceof Integer value)) {
                    throw new IOException(
                            where + "." + field + " holds " + entry + "; expected integers");
                }
                numbers.add(value);
            }
        }
        return List.copyOf(numbers);
    }
}
