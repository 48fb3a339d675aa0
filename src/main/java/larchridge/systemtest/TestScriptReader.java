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

/** Reads a drill script in YAML; a fault names file, line and field. */
public final class TestScriptReader {
    static final Set<String> KINDS =
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

    /** A script that can't be played. */
    public static final class BadScript extends Exception {
        private static final long serialVersionUID = 1;

        BadScript(String text) {
            super(text);
        }
    }

    private TestScriptReader() {}

    public static TestScript read(Path file) throws BadScript {
        try {
            return read(file.toString(), Files.readString(file));
        } catch (IOException e) {
            throw new BadScript(file + ": can't be read (" + e.getMessage() + ")");
        }
    }

    public static TestScript read(String file, String text) throws BadScript {
        TestScript script;
        try {
            script = MAPPER.readValue(text, TestScript.class);
        } catch (JsonProcessingException e) {
            int line = e.getLocation() == null ? 1 : e.getLocation().getLineNr();
            throw new BadScript(file + ":" + line + ": " + e.getOriginalMessage().split("\n")[0]);
        }
        return filled(file, script);
    }

    private static TestScript filled(String file, TestScript raw) throws BadScript {
        if (raw.engines() == null || raw.engines().isEmpty()) {
            throw new BadScript(file + ": engines: missing");
        }
        if (raw.products() == null || raw.products().isEmpty()) {
            throw new BadScript(file + ": products: missing");
        }
        List<TestScript.Group> groups = new ArrayList<>();
        for (TestScript.Group group : raw.engines()) {
            groups.add(
                    new TestScript.Group(
                            group.role(),
                            Math.max(1, group.count()),
                            group.zones() == null ? List.of("z") : group.zones(),
                            Math.max(1, group.racks()),
                            or(group.speed(), 1)));
        }
        int engines = groups.stream().mapToInt(TestScript.Group::count).sum();
        List<TestScript.Mix> mixes = new ArrayList<>();
        for (TestScript.Mix mix : raw.products()) {
            mixes.add(
                    new TestScript.Mix(
                            mix.name(),
                            or(mix.share(), 1),
                            mix.effect() == null ? "IDEMPOTENT" : mix.effect(),
                            mix.span() == null ? "ALL" : mix.span(),
                            or(mix.memoryMs(), 60_000),
                            or(mix.revenue(), 1),
                            or(mix.sloMs(), 600),
                            or(mix.limitMs(), 2500),
                            (int) or(mix.promptTokens(), 400),
                            mix.sharedTokens(),
                            Math.max(1, mix.prefixes()),
                            (int) or(mix.outTokens(), 24),
                            or(mix.turns(), 1),
                            mix.text() == null ? "prose" : mix.text()));
        }
        List<TestScript.Trouble> troubles = new ArrayList<>();
        for (TestScript.Trouble trouble :
                raw.troubles() == null ? List.<TestScript.Trouble>of() : raw.troubles()) {
            if (trouble.kind() == null || !KINDS.contains(trouble.kind())) {
                throw new BadScript(
                        file
                                + ": troubles["
                                + troubles.size()
                                + "].kind: '"
                                + trouble.kind()
                                + "' is not one of "
                                + new java.util.TreeSet<>(KINDS));
            }
            List<Long> on = trouble.engines() == null ? List.of() : trouble.engines();
            boolean onFronts = "kill_front".equals(trouble.kind());
            if (onFronts && !raw.processes()) {
                throw new BadScript(
                        file
                                + ": troubles["
                                + troubles.size()
                                + "].kind: kill_front needs processes: true");
            }
            for (Long id : on) {
                if (id < 1 || id > (onFronts ? Math.max(1, raw.fronts()) : engines)) {
                    throw new BadScript(
                            file
                                    + ": troubles["
                                    + troubles.size()
                                    + "].engines: none of number "
                                    + id);
                }
            }
            troubles.add(
                    new TestScript.Trouble(
                            trouble.atMs(),
                            trouble.forMs(),
                            trouble.kind(),
                            on,
                            or(trouble.size(), 1)));
        }
        List<TestScript.Tenant> tenants = new ArrayList<>();
        for (TestScript.Tenant tenant :
                raw.tenants() == null || raw.tenants().isEmpty()
                        ? List.of(new TestScript.Tenant("drill", 1, 0, 0))
                        : raw.tenants()) {
            tenants.add(
                    new TestScript.Tenant(
                            tenant.name(),
                            or(tenant.share(), 1),
                            tenant.tokensPerS(),
                            or(tenant.burstTokens(), tenant.tokensPerS() * 5)));
        }
        List<TestScript.Batch> batches = new ArrayList<>();
        for (TestScript.Batch batch :
                raw.batches() == null ? List.<TestScript.Batch>of() : raw.batches()) {
            if (mixes.stream().noneMatch(mix -> mix.name().equals(batch.product()))) {
                throw new BadScript(
                        file
                                + ": batches["
                                + batches.size()
                                + "].product: '"
                                + batch.product()
                                + "' is no product of this script");
            }
            batches.add(
                    new TestScript.Batch(
                            batch.atMs(),
                            Math.max(1, batch.lines()),
                            batch.product(),
                            (int) or(batch.promptTokens(), 200),
                            (int) or(batch.outTokens(), 12)));
        }
        TestScript.Clients clients =
                raw.clients() == null ? new TestScript.Clients(0, 100, 0, 0, 0) : raw.clients();
        return new TestScript(
                raw.seed(),
                Math.max(1, raw.fronts()),
                or(raw.durationMs(), 10_000),
                or(raw.ratePerS(), 20),
                or(raw.listLagMs(), 300),
                raw.probes(),
                raw.processes(),
                raw.encoding(),
                raw.counted(),
                tenants,
                groups,
                mixes,
                batches,
                clients,
                troubles);
    }

    private static double or(double value, double otherwise) {
        return value == 0 ? otherwise : value;
    }
}
