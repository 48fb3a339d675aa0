package larchridge.systemtest;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.dataformat.yaml.YAMLFactory;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/** Reads a test script in YAML; an error names the file, and the line or the field. */
public final class TestScriptReader {
    static final Set<String> FAULT_KINDS =
            Set.of(
                    "crash",
                    "pause",
                    "slow",
                    "lost",
                    "full",
                    "faulty",
                    "broken",
                    "torn",
                    "garbled",
                    "stall",
                    "flush",
                    "forgetful",
                    "lag",
                    "drain",
                    "remove",
                    "bad_list",
                    "burst",
                    "kill_front");
    private static final ObjectMapper MAPPER =
            new ObjectMapper(new YAMLFactory())
                    .disable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES);

    /** A test script is invalid. */
    public static final class InvalidTestScriptException extends Exception {
        private static final long serialVersionUID = 1;

        InvalidTestScriptException(String text) {
            super(text);
        }
    }

    private TestScriptReader() {}

    public static TestScript read(Path file) throws InvalidTestScriptException {
        try {
            return read(file.toString(), Files.readString(file));
        } catch (IOException e) {
            throw new InvalidTestScriptException(file + ": can't be read (" + e.getMessage() + ")");
        }
    }

    public static TestScript read(String file, String text) throws InvalidTestScriptException {
        TestScript script;
        try {
            script = MAPPER.readValue(text, TestScript.class);
        } catch (JsonProcessingException e) {
            int line = e.getLocation() == null ? 1 : e.getLocation().getLineNr();
            throw new InvalidTestScriptException(
                    file + ":" + line + ": " + e.getOriginalMessage().split("\n")[0]);
        }
        return withDefaults(file, script);
    }

    private static TestScript withDefaults(String file, TestScript raw)
            throws InvalidTestScriptException {
        if (raw.engines() == null || raw.engines().isEmpty()) {
            throw new InvalidTestScriptException(file + ": engines: missing");
        }
        if (raw.products() == null || raw.products().isEmpty()) {
            throw new InvalidTestScriptException(file + ": products: missing");
        }
        List<TestScript.EngineGroup> groups = new ArrayList<>();
        for (TestScript.EngineGroup group : raw.engines()) {
            groups.add(
                    new TestScript.EngineGroup(
                            group.role(),
                            Math.max(1, group.count()),
                            group.zones() == null ? List.of("z") : group.zones(),
                            Math.max(1, group.racks()),
                            orDefault(group.speed(), 1)));
        }
        int engines = groups.stream().mapToInt(TestScript.EngineGroup::count).sum();
        List<TestScript.ProductLoad> products = new ArrayList<>();
        for (TestScript.ProductLoad product : raw.products()) {
            products.add(
                    new TestScript.ProductLoad(
                            product.name(),
                            orDefault(product.share(), 1),
                            product.effect() == null ? "IDEMPOTENT" : product.effect(),
                            product.deduplicationScope() == null
                                    ? "ALL"
                                    : product.deduplicationScope(),
                            orDefault(product.deduplicationWindowMs(), 60_000),
                            orDefault(product.revenue(), 1),
                            orDefault(product.sloMs(), 600),
                            orDefault(product.timeLimitMs(), 2500),
                            (int) orDefault(product.promptTokens(), 400),
                            product.sharedTokens(),
                            Math.max(1, product.prefixes()),
                            (int) orDefault(product.outputTokens(), 24),
                            orDefault(product.turns(), 1),
                            product.text() == null ? "prose" : product.text()));
        }
        List<TestScript.Trouble> faults = new ArrayList<>();
        for (TestScript.Trouble fault :
                raw.faults() == null ? List.<TestScript.Trouble>of() : raw.faults()) {
            if (fault.kind() == null || !FAULT_KINDS.contains(fault.kind())) {
                throw new InvalidTestScriptException(
                        file
                                + ": troubles["
                                + faults.size()
                                + "].kind: '"
                                + fault.kind()
                                + "' is not one of "
                                + new java.util.TreeSet<>(FAULT_KINDS));
            }
            List<Long> targets = fault.engines() == null ? List.of() : fault.engines();
            boolean targetsRouters = "kill_front".equals(fault.kind());
            if (targetsRouters && !raw.processes()) {
                throw new InvalidTestScriptException(
                        file
                                + ": troubles["
                                + faults.size()
                                + "].kind: kill_front needs processes: true");
            }
            for (Long id : targets) {
                if (id < 1 || id > (targetsRouters ? Math.max(1, raw.routers()) : engines)) {
                    throw new InvalidTestScriptException(
                            file
                                    + ": troubles["
                                    + faults.size()
                                    + "].engines: no engine or router has the number "
                                    + id);
                }
            }
            faults.add(
                    new TestScript.Trouble(
                            fault.atMs(),
                            fault.forMs(),
                            fault.kind(),
                            targets,
                            orDefault(fault.size(), 1)));
        }
        List<TestScript.Tenant> tenants = new ArrayList<>();
        for (TestScript.Tenant tenant :
                raw.tenants() == null || raw.tenants().isEmpty()
                        ? List.of(new TestScript.Tenant("drill", 1, 0, 0))
                        : raw.tenants()) {
            tenants.add(
                    new TestScript.Tenant(
                            tenant.name(),
                            orDefault(tenant.share(), 1),
                            tenant.tokensPerSecond(),
                            orDefault(tenant.burstTokens(), tenant.tokensPerSecond() * 5)));
        }
        List<TestScript.Batch> batches = new ArrayList<>();
        for (TestScript.Batch batch :
                raw.batches() == null ? List.<TestScript.Batch>of() : raw.batches()) {
            if (products.stream().noneMatch(product -> product.name().equals(batch.product()))) {
                throw new InvalidTestScriptException(
                        file
                                + ": batches["
                                + batches.size()
                                + "].product: '"
                                + batch.product()
                                + "' is not a product of this script");
            }
            batches.add(
                    new TestScript.Batch(
                            batch.atMs(),
                            Math.max(1, batch.lines()),
                            batch.product(),
                            (int) orDefault(batch.promptTokens(), 200),
                            (int) orDefault(batch.outputTokens(), 12)));
        }
        TestScript.ClientBehavior clients =
                raw.clients() == null
                        ? new TestScript.ClientBehavior(0, 100, 0, 0, 0)
                        : raw.clients();
        return new TestScript(
                raw.seed(),
                Math.max(1, raw.routers()),
                orDefault(raw.durationMs(), 10_000),
                orDefault(raw.requestsPerSecond(), 20),
                orDefault(raw.listLagMs(), 300),
                raw.probes(),
                raw.processes(),
                raw.encoding(),
                raw.counted(),
                tenants,
                groups,
                products,
                batches,
                clients,
                faults);
    }

    private static double orDefault(double value, double defaultValue) {
        return value == 0 ? defaultValue : value;
    }
}
