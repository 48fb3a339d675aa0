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
 * What one run plays: sizes, traffic and troubles. Drawn from a seed, written as YAML, and read
 * again to be played again.
 *
 * @param seconds the run's length; the last {@value #CALM_S} s have no trouble
 * @param perSecond requests a second over all nodes
 */
public record FaultScript(
        long seed,
        int nodes,
        int readers,
        int writers,
        double seconds,
        double perSecond,
        List<Fault> troubles) {
    /** Nothing begins before, and everything is over for so long at the end. */
    static final double CALM_S = 10;

    private static final double FIRST_MS = 2500;

    /** On average so many troubles run at a time. */
    private static final double AT_ONCE = 2.5;

    private static final double SHORTEST_MS = 1000;
    private static final double LONGEST_MS = 6000;

    /** A script of a seed, with kinds out of those given. */
    public static FaultScript draw(
            long seed,
            int nodes,
            int readers,
            int writers,
            double seconds,
            double perSecond,
            List<FaultKind> kinds) {
        Random random = new Random(seed);
        double spanMs = Math.max(0, (seconds - CALM_S) * 1000 - FIRST_MS);
        List<Fault> troubles = new ArrayList<>();
        double mean = (SHORTEST_MS + LONGEST_MS) / 2;
        int count = (int) Math.round(AT_ONCE * spanMs / mean);
        for (int i = 0; i < count; i++) {
            FaultKind kind = kinds.get(random.nextInt(kinds.size()));
            double length = SHORTEST_MS + random.nextDouble() * (LONGEST_MS - SHORTEST_MS);
            double at = FIRST_MS + random.nextDouble() * Math.max(0, spanMs - length);
            troubles.add(
                    new Fault(
                            kind,
                            Math.round(at),
                            Math.round(Math.min(length, spanMs)),
                            some(
                                    random,
                                    readers + writers,
                                    1 + random.nextInt(Math.max(1, (readers + writers) / 3))),
                            some(random, nodes, 1 + random.nextInt(Math.max(1, nodes / 3))),
                            Math.round(random.nextDouble() * 1000) / 1000.0));
        }
        troubles.sort(Comparator.comparingDouble(Fault::atMs));
        return new FaultScript(
                seed, nodes, readers, writers, seconds, perSecond, List.copyOf(troubles));
    }

    private static List<Integer> some(Random random, int of, int count) {
        List<Integer> all = new ArrayList<>();
        for (int i = 0; i < of; i++) {
            all.add(i);
        }
        java.util.Collections.shuffle(all, random);
        return all.subList(0, Math.min(count, of)).stream().sorted().toList();
    }

    void write(Path file) throws IOException {
        List<Map<String, Object>> list = new ArrayList<>();
        for (Fault trouble : troubles) {
            Map<String, Object> one = new LinkedHashMap<>();
            one.put("kind", trouble.kind().name());
            one.put("at_ms", trouble.atMs());
            one.put("length_ms", trouble.lengthMs());
            one.put("engines", new ArrayList<>(trouble.engines()));
            one.put("nodes", new ArrayList<>(trouble.nodes()));
            one.put("size", trouble.size());
            list.add(one);
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

    /** Reads a script; a fault is told with its file and member. */
    public static FaultScript read(Path file) throws IOException {
        try (Reader in = Files.newBufferedReader(file)) {
            Object root = new Yaml(new SafeConstructor(new LoaderOptions())).load(in);
            if (!(root instanceof Map<?, ?> map)) {
                throw new IOException(file + ": expected a map");
            }
            List<Fault> troubles = new ArrayList<>();
            if (!(map.get("troubles") instanceof List<?> list)) {
                throw new IOException(file + ": troubles is missing; expected a list");
            }
            for (Object one : list) {
                troubles.add(trouble(file, troubles.size(), one));
            }
            return new FaultScript(
                    (long) number(file, map, "seed"),
                    (int) number(file, map, "nodes"),
                    (int) number(file, map, "readers"),
                    (int) number(file, map, "writers"),
                    number(file, map, "seconds"),
                    number(file, map, "per_second"),
                    List.copyOf(troubles));
        }
    }

    private static Fault trouble(Path file, int index, Object one) throws IOException {
        String where = file + ": troubles[" + index + "]";
        if (!(one instanceof Map<?, ?> map)) {
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
                number(file, map, "at_ms"),
                number(file, map, "length_ms"),
                numbers(where, map, "engines"),
                numbers(where, map, "nodes"),
                number(file, map, "size"));
    }

    private static double number(Path file, Map<?, ?> map, String member) throws IOException {
        if (map.get(member) instanceof Number value) {
            return value.doubleValue();
        }
        throw new IOException(
                file + ": " + member + " is " + map.get(member) + "; expected a number");
    }

    private static List<Integer> numbers(String where, Map<?, ?> map, String member)
            throws IOException {
        List<Integer> numbers = new ArrayList<>();
        if (map.get(member) instanceof List<?> list) {
            for (Object one : list) {
                if (!(one instanceof Integer value)) {
                    throw new IOException(
                            where + "." + member + " holds " + one + "; expected whole numbers");
                }
                numbers.add(value);
            }
        }
        return List.copyOf(numbers);
    }
}
