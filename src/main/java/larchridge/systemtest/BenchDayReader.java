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
 * Converts a bench day to a test script: its engines by role, zone and speed, its products and
 * load, and its faults, scaled to this machine. {@link #omissions} lists what a test script cannot
 * express. Times in a day file are in microseconds.
 */
public final class BenchDayReader {
    /** Engines of these drills do this many of a bench engine's tokens; only ratios carry over. */
    private static final int MAX_ROUTERS = 8;

    private static final double TOKENS_PER_TURN = 400;

    private final TestScript script;
    private final List<String> omissions;

    private BenchDayReader(TestScript script, List<String> omissions) {
        this.script = script;
        this.omissions = omissions;
    }

    public TestScript script() {
        return script;
    }

    public List<String> omissions() {
        return omissions;
    }

    public static BenchDayReader read(Path file, double scale)
            throws TestScriptReader.InvalidTestScriptException {
        JsonNode day;
        try {
            day = new ObjectMapper().readTree(Files.readString(file));
        } catch (JsonProcessingException e) {
            throw new TestScriptReader.InvalidTestScriptException(
                    file
                            + ":"
                            + (e.getLocation() == null ? 1 : e.getLocation().getLineNr())
                            + ": "
                            + e.getOriginalMessage());
        } catch (IOException e) {
            throw new TestScriptReader.InvalidTestScriptException(
                    file + ": can't be read (" + e.getMessage() + ")");
        }
        for (String field : new String[] {"servers", "classes", "fam", "troubles", "length"}) {
            if (day.path(field).isMissingNode()) {
                throw new TestScriptReader.InvalidTestScriptException(
                        file + ": " + field + ": missing; is this a bench day?");
            }
        }
        return convert(day, scale);
    }

    private static BenchDayReader convert(JsonNode day, double scale) {
        List<String> omissions = new ArrayList<>();
        JsonNode roles = day.path("fam").path("roles");
        Map<String, List<Integer>> groups = new LinkedHashMap<>();
        for (int i = 0; i < day.path("servers").size(); i++) {
            JsonNode server = day.path("servers").get(i);
            JsonNode role = roles.get(server.path("kind").asInt());
            groups.computeIfAbsent(roleName(role), key -> new ArrayList<>()).add(i);
        }
        // Engines are numbered group by group; a fault refers to them by their index in the day.
        Map<Integer, Long> ids = new LinkedHashMap<>();
        List<TestScript.EngineGroup> engines = new ArrayList<>();
        long id = 1;
        for (Map.Entry<String, List<Integer>> group : groups.entrySet()) {
            for (int index : group.getValue()) {
                JsonNode server = day.path("servers").get(index);
                ids.put(index, id++);
                engines.add(
                        new TestScript.EngineGroup(
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
        omissions.add(
                "racks: each engine is a group of its own in its zone; links between racks have no load of their own");
        List<TestScript.ProductLoad> products = products(day, omissions);
        List<TestScript.Trouble> faults = new ArrayList<>();
        for (JsonNode fault : day.path("troubles")) {
            convertFault(fault, ids, faults, omissions);
        }
        int routers = Math.min(MAX_ROUTERS, Math.max(1, day.path("balancers").size()));
        if (routers < day.path("balancers").size()) {
            omissions.add("fronts: " + routers + " of " + day.path("balancers").size());
        }
        omissions.add("the shape of the load over the day; the load is constant at its mean");
        double readers =
                groups.getOrDefault("reader", List.of()).size()
                        + groups.getOrDefault("both", List.of()).size();
        double meanPromptTokens =
                products.stream().mapToDouble(m -> m.share() * m.promptTokens()).sum()
                        / products.stream().mapToDouble(TestScript.ProductLoad::share).sum();
        // The load is a share of the capacity of the day's readers; a simulated reader reads 60
        // tokens per millisecond.
        double rate =
                Math.min(
                        400 * scale,
                        day.path("traffic").path("load").asDouble(0.5)
                                * readers
                                * 60_000
                                * scale
                                / Math.max(1, meanPromptTokens)
                                / 20);
        omissions.add(
                "absolute speeds: simulated engines are faster than the day's engines; the load is a twentieth "
                        + "of their reading speed");
        JsonNode clients = day.path("clients");
        TestScript script =
                new TestScript(
                        Math.floorMod(day.path("noise").asLong(1), 1_000_000L),
                        routers,
                        day.path("length").asDouble() / 1000,
                        rate,
                        day.path("discovery").path("notice").asDouble(300_000) / 1000,
                        day.path("allow").path("probes").asBoolean(false),
                        false,
                        null,
                        false,
                        List.of(new TestScript.Tenant("drill", 1, 0, 0)),
                        engines,
                        products,
                        List.of(),
                        new TestScript.ClientBehavior(
                                clients.path("retries").asInt(0),
                                clients.path("backoff_us").asDouble(100_000) / 1000,
                                0.01,
                                0.01,
                                0.1),
                        faults);
        return new BenchDayReader(script, omissions);
    }

    private static String roleName(JsonNode role) {
        String name =
                role == null
                        ? "both"
                        : role.isTextual()
                                ? role.asText()
                                : switch (role.asInt()) {
                                    case 0 -> "read";
                                    case 1 -> "write";
                                    default -> "both";
                                };
        return name.startsWith("read") ? "reader" : name.startsWith("writ") ? "writer" : "both";
    }

    private static List<TestScript.ProductLoad> products(JsonNode day, List<String> omissions) {
        List<TestScript.ProductLoad> products = new ArrayList<>();
        for (int i = 0; i < day.path("classes").size(); i++) {
            JsonNode product = day.path("classes").get(i);
            JsonNode conversation = day.path("fam").path("talks").path(i);
            String effect =
                    switch (product.path("effect").asText("safe")) {
                        case "keyed" -> "DEDUPLICATED";
                        case "unsafe" -> "SIDE_EFFECTING";
                        default -> "IDEMPOTENT";
                    };
            String deduplicationScope =
                    switch (product.path("group").asText("all")) {
                        case "zone" -> "ZONE";
                        case "cell" -> "RACK";
                        default -> "ALL";
                    };
            products.add(
                    new TestScript.ProductLoad(
                            product.path("name").asText("p" + i),
                            product.path("share").asDouble(1),
                            effect,
                            deduplicationScope,
                            product.path("window").asDouble(60_000_000) / 1000,
                            product.path("worth").asDouble(1),
                            product.path("aim").asDouble(1_000_000) / 1000,
                            product.path("deadline").asDouble(5_000_000) / 1000,
                            (int)
                                    Math.max(
                                            20,
                                            conversation
                                                    .path("new_tokens")
                                                    .asDouble(TOKENS_PER_TURN)),
                            (int) conversation.path("prefix_tokens").asDouble(0),
                            Math.max(1, conversation.path("prefixes").asInt(1)),
                            (int)
                                    Math.max(
                                            2,
                                            Math.min(
                                                    60,
                                                    conversation.path("out_tokens").asDouble(24)
                                                            / 4)),
                            Math.max(1, conversation.path("turns").asDouble(1)),
                            "prose"));
        }
        omissions.add("answers are a quarter as long");
        return products;
    }

    private static void convertFault(
            JsonNode fault,
            Map<Integer, Long> ids,
            List<TestScript.Trouble> faults,
            List<String> omissions) {
        String kind = fault.path("kind").asText();
        double atMs = fault.path("at").asDouble() / 1000;
        double durationMs = fault.path("len").asDouble() / 1000;
        double size = fault.path("size").asDouble(1);
        List<Long> engineIds = new ArrayList<>();
        fault.path("on")
                .forEach(
                        index -> {
                            Long id = ids.get(index.asInt());
                            if (id != null) {
                                engineIds.add(id);
                            }
                        });
        switch (kind) {
            case "crash", "zone_loss" ->
                    faults.add(new TestScript.Trouble(atMs, durationMs, "crash", engineIds, 1));
            case "slow" ->
                    faults.add(new TestScript.Trouble(atMs, durationMs, "slow", engineIds, size));
            case "answer_lost" ->
                    faults.add(new TestScript.Trouble(atMs, durationMs, "lost", engineIds, size));
            case "burst" ->
                    faults.add(new TestScript.Trouble(atMs, durationMs, "burst", List.of(), size));
            case "flush" ->
                    faults.add(new TestScript.Trouble(atMs, durationMs, "flush", engineIds, 1));
            case "throttle" ->
                    faults.add(new TestScript.Trouble(atMs, durationMs, "full", engineIds, 1));
            case "report_late" ->
                    faults.add(
                            new TestScript.Trouble(
                                    atMs,
                                    durationMs,
                                    "lag",
                                    engineIds.isEmpty() ? new ArrayList<>(ids.values()) : engineIds,
                                    Math.max(100, fault.path("extra").asDouble(1000))));
            case "pauses" -> {
                double intervalMs = Math.max(0.5, fault.path("extra").asDouble(1)) * 1000;
                for (double t = atMs; t < atMs + durationMs; t += intervalMs) {
                    faults.add(
                            new TestScript.Trouble(
                                    t, Math.min(intervalMs / 2, size), "pause", engineIds, 1));
                }
            }
            case "ageing" -> {
                // Slows the engine down in five steps, then crashes it.
                for (int step = 1; step <= 5; step++) {
                    faults.add(
                            new TestScript.Trouble(
                                    atMs + durationMs * (step - 1) / 5,
                                    durationMs / 5,
                                    "slow",
                                    engineIds,
                                    1 + (size - 1) * step / 5));
                }
                faults.add(
                        new TestScript.Trouble(
                                atMs + durationMs,
                                fault.path("extra").asDouble(4) * 1000,
                                "crash",
                                engineIds,
                                1));
            }
            case "deploy" -> {
                int step = 0;
                for (Long id : engineIds) {
                    double drainAtMs = atMs + durationMs * step++ / Math.max(1, engineIds.size());
                    faults.add(new TestScript.Trouble(drainAtMs, 400, "drain", List.of(id), 1));
                    faults.add(
                            new TestScript.Trouble(drainAtMs + 400, 1500, "crash", List.of(id), 1));
                }
            }
            default -> omissions.add("trouble " + kind + " at " + Math.round(atMs / 1000) + " s");
        }
        if (engineIds.isEmpty() && !kind.equals("burst") && !kind.equals("report_late")) {
            omissions.add("trouble " + kind + " names no engines of this day");
        }
    }
}
