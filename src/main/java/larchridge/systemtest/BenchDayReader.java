package larchridge.systemtest;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A day of the bench as a drill: its engines by role, zone and speed, its products and load, and
 * its troubles, scaled to this machine. What a drill can't show is told in {@link #leftOut}. Times
 * in a day file are microseconds.
 */
public final class BenchDayReader {
    /** Engines of these drills do this many of a bench engine's tokens; only ratios carry over. */
    private static final int MOST_FRONTS = 8;

    private static final double TOKS_OF_A_TURN = 400;

    private final TestScript script;
    private final List<String> leftOut;

    private BenchDayReader(TestScript script, List<String> leftOut) {
        this.script = script;
        this.leftOut = leftOut;
    }

    public TestScript script() {
        return script;
    }

    public List<String> leftOut() {
        return leftOut;
    }

    public static BenchDayReader read(Path file, double scale) throws TestScriptReader.BadScript {
        JsonNode day;
        try {
            day = new ObjectMapper().readTree(Files.readString(file));
        } catch (JsonProcessingException e) {
            throw new TestScriptReader.BadScript(
                    file
                            + ":"
                            + (e.getLocation() == null ? 1 : e.getLocation().getLineNr())
                            + ": "
                            + e.getOriginalMessage());
        } catch (IOException e) {
            throw new TestScriptReader.BadScript(file + ": can't be read (" + e.getMessage() + ")");
        }
        for (String field : new String[] {"servers", "classes", "fam", "troubles", "length"}) {
            if (day.path(field).isMissingNode()) {
                throw new TestScriptReader.BadScript(
                        file + ": " + field + ": missing; is this a bench day?");
            }
        }
        return of(day, scale);
    }

    private static BenchDayReader of(JsonNode day, double scale) {
        List<String> leftOut = new ArrayList<>();
        JsonNode roles = day.path("fam").path("roles");
        Map<String, List<Integer>> groups = new LinkedHashMap<>();
        for (int i = 0; i < day.path("servers").size(); i++) {
            JsonNode server = day.path("servers").get(i);
            JsonNode role = roles.get(server.path("kind").asInt());
            groups.computeIfAbsent(role(role), key -> new ArrayList<>()).add(i);
        }
        // Engines are numbered group by group; a trouble names them by their place in the day.
        Map<Integer, Long> ids = new LinkedHashMap<>();
        List<TestScript.Group> engines = new ArrayList<>();
        long id = 1;
        for (Map.Entry<String, List<Integer>> group : groups.entrySet()) {
            for (int place : group.getValue()) {
                JsonNode server = day.path("servers").get(place);
                ids.put(place, id++);
                engines.add(
                        new TestScript.Group(
                                group.getKey(),
                                1,
                                List.of(
                                        day.path("zones")
                                                .path(server.path("zone").asInt())
                                                .asText("z")),
                                1,
                                scale * server.path("speed").asDouble(1)));
            }
        }
        leftOut.add(
                "racks: each engine stands alone in its zone; links between racks have no load of their own");
        List<TestScript.Mix> mixes = mixes(day, leftOut);
        List<TestScript.Trouble> troubles = new ArrayList<>();
        for (JsonNode trouble : day.path("troubles")) {
            trouble(trouble, ids, troubles, leftOut);
        }
        int fronts = Math.min(MOST_FRONTS, Math.max(1, day.path("balancers").size()));
        if (fronts < day.path("balancers").size()) {
            leftOut.add("fronts: " + fronts + " of " + day.path("balancers").size());
        }
        leftOut.add("the shape of the load over the day; its mean is played");
        double readers =
                groups.getOrDefault("reader", List.of()).size()
                        + groups.getOrDefault("both", List.of()).size();
        double readTokens =
                mixes.stream().mapToDouble(m -> m.share() * m.promptTokens()).sum()
                        / mixes.stream().mapToDouble(TestScript.Mix::share).sum();
        // Load is the day's share of what its readers can do; a stand-in reader does 60 tokens a
        // millisecond.
        double rate =
                Math.min(
                        400 * scale,
                        day.path("traffic").path("load").asDouble(0.5)
                                * readers
                                * 60_000
                                * scale
                                / Math.max(1, readTokens)
                                / 20);
        leftOut.add(
                "absolute speeds: stand-ins are faster than the day's engines; a twentieth of their reading "
                        + "speed is asked for");
        JsonNode clients = day.path("clients");
        TestScript script =
                new TestScript(
                        Math.floorMod(day.path("noise").asLong(1), 1_000_000L),
                        fronts,
                        day.path("length").asDouble() / 1000,
                        rate,
                        day.path("discovery").path("notice").asDouble(300_000) / 1000,
                        day.path("allow").path("probes").asBoolean(false),
                        false,
                        null,
                        false,
                        List.of(new TestScript.Tenant("drill", 1, 0, 0)),
                        engines,
                        mixes,
                        List.of(),
                        new TestScript.Clients(
                                clients.path("retries").asInt(0),
                                clients.path("backoff_us").asDouble(100_000) / 1000,
                                0.01,
                                0.01,
                                0.1),
                        troubles);
        return new BenchDayReader(script, leftOut);
    }

    private static String role(JsonNode role) {
        String word =
                role == null
                        ? "both"
                        : role.isTextual()
                                ? role.asText()
                                : switch (role.asInt()) {
                                    case 0 -> "read";
                                    case 1 -> "write";
                                    default -> "both";
                                };
        return word.startsWith("read") ? "reader" : word.startsWith("writ") ? "writer" : "both";
    }

    private static List<TestScript.Mix> mixes(JsonNode day, List<String> leftOut) {
        List<TestScript.Mix> mixes = new ArrayList<>();
        for (int i = 0; i < day.path("classes").size(); i++) {
            JsonNode product = day.path("classes").get(i);
            JsonNode talk = day.path("fam").path("talks").path(i);
            String effect =
                    switch (product.path("effect").asText("safe")) {
                        case "keyed" -> "DEDUPLICATED";
                        case "unsafe" -> "SIDE_EFFECTING";
                        default -> "IDEMPOTENT";
                    };
            String span =
                    switch (product.path("group").asText("all")) {
                        case "zone" -> "ZONE";
                        case "cell" -> "RACK";
                        default -> "ALL";
                    };
            mixes.add(
                    new TestScript.Mix(
                            product.path("name").asText("p" + i),
                            product.path("share").asDouble(1),
                            effect,
                            span,
                            product.path("window").asDouble(60_000_000) / 1000,
                            product.path("worth").asDouble(1),
                            product.path("aim").asDouble(1_000_000) / 1000,
                            product.path("deadline").asDouble(5_000_000) / 1000,
                            (int) Math.max(20, talk.path("new_tokens").asDouble(TOKS_OF_A_TURN)),
                            (int) talk.path("prefix_tokens").asDouble(0),
                            Math.max(1, talk.path("prefixes").asInt(1)),
                            (int)
                                    Math.max(
                                            2,
                                            Math.min(60, talk.path("out_tokens").asDouble(24) / 4)),
                            Math.max(1, talk.path("turns").asDouble(1)),
                            "prose"));
        }
        leftOut.add("answers are a quarter as long");
        return mixes;
    }

    private static void trouble(
            JsonNode trouble,
            Map<Integer, Long> ids,
            List<TestScript.Trouble> troubles,
            List<String> leftOut) {
        String kind = trouble.path("kind").asText();
        double at = trouble.path("at").asDouble() / 1000;
        double len = trouble.path("len").asDouble() / 1000;
        double size = trouble.path("size").asDouble(1);
        List<Long> on = new ArrayList<>();
        trouble.path("on")
                .forEach(
                        place -> {
                            Long id = ids.get(place.asInt());
                            if (id != null) {
                                on.add(id);
                            }
                        });
        switch (kind) {
            case "crash", "zone_loss" ->
                    troubles.add(new TestScript.Trouble(at, len, "crash", on, 1));
            case "slow" -> troubles.add(new TestScript.Trouble(at, len, "slow", on, size));
            case "answer_lost" -> troubles.add(new TestScript.Trouble(at, len, "lost", on, size));
            case "burst" -> troubles.add(new TestScript.Trouble(at, len, "burst", List.of(), size));
            case "flush" -> troubles.add(new TestScript.Trouble(at, len, "flush", on, 1));
            case "throttle" -> troubles.add(new TestScript.Trouble(at, len, "full", on, 1));
            case "report_late" ->
                    troubles.add(
                            new TestScript.Trouble(
                                    at,
                                    len,
                                    "lag",
                                    on.isEmpty() ? new ArrayList<>(ids.values()) : on,
                                    Math.max(100, trouble.path("extra").asDouble(1000))));
            case "pauses" -> {
                double every = Math.max(0.5, trouble.path("extra").asDouble(1)) * 1000;
                for (double t = at; t < at + len; t += every) {
                    troubles.add(
                            new TestScript.Trouble(t, Math.min(every / 2, size), "pause", on, 1));
                }
            }
            case "ageing" -> {
                // Slower and slower in five steps, then one crash.
                for (int step = 1; step <= 5; step++) {
                    troubles.add(
                            new TestScript.Trouble(
                                    at + len * (step - 1) / 5,
                                    len / 5,
                                    "slow",
                                    on,
                                    1 + (size - 1) * step / 5));
                }
                troubles.add(
                        new TestScript.Trouble(
                                at + len,
                                trouble.path("extra").asDouble(4) * 1000,
                                "crash",
                                on,
                                1));
            }
            case "deploy" -> {
                int step = 0;
                for (Long id : on) {
                    double begins = at + len * step++ / Math.max(1, on.size());
                    troubles.add(new TestScript.Trouble(begins, 400, "drain", List.of(id), 1));
                    troubles.add(
                            new TestScript.Trouble(begins + 400, 1500, "crash", List.of(id), 1));
                }
            }
            default -> leftOut.add("trouble " + kind + " at " + Math.round(at / 1000) + " s");
        }
        if (on.isEmpty() && !kind.equals("burst") && !kind.equals("report_late")) {
            leftOut.add("trouble " + kind + " names no engines of this day");
        }
    }
}
