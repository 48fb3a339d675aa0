package larchridge.systemtest;

import io.vertx.core.Vertx;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import larchridge.inventory.InvalidEngineListException;
import larchridge.ledger.Ledger;
import larchridge.ledger.LedgerException;
import larchridge.ledger.Usage;
import larchridge.serve.Service;
import larchridge.simulatedengine.EngineProfile;
import larchridge.site.InvalidSiteException;
import larchridge.site.Site;
import larchridge.site.SiteReader;
import larchridge.state.DeduplicationScope;
import larchridge.state.Effect;
import larchridge.state.Role;
import larchridge.state.TrafficClass;
import larchridge.tokens.InvalidVocabularyException;
import larchridge.tokens.Vocabulary;
import larchridge.tokens.VocabularyReader;

/**
 * Runs a test script with real routers, simulated engines and clients over loopback, then checks
 * the rules from the traffic.
 */
public final class SystemTest {
    private static final double DRAIN_GRACE_MS = 250;
    private static final double RELEASE_MS = 1000;
    private static final double COLD_START_MULTIPLE = 2.5;
    private static final double COLD_START_WINDOW_MS = 1000;
    private static final double COLD_SHARE = 0.3;
    private static final double COLD_MS = 3000;
    private static final double SLACK_MS = 150;

    /** Time after the last answer in which the last read states are released. */
    private static final long RELEASE_WAIT_MS = 1500;

    private static final long ANSWER_WAIT_MS = 12_000;

    /** The routers under test: the real service, or in tests a router that breaks a rule. */
    public interface Routers {
        List<Integer> ports();

        String metrics();

        /** Returns the port of the batch API, or -1 if it is not served. */
        default int batchPort() {
            return -1;
        }

        void stop() throws InterruptedException;

        /** Starts routers for a site. */
        interface Factory {
            Routers start(Site site)
                    throws InvalidEngineListException, LedgerException, InterruptedException;
        }
    }

    /** The result of a run. */
    public record Result(
            List<TrafficEvent> events,
            List<RuleChecker.Violation> violations,
            List<ResultCounts.Row> rows,
            List<BillingChecker.Row> billingRows,
            String metrics) {
        public ResultCounts.Row all() {
            return rows.get(0);
        }
    }

    private final TestScript script;
    private final Routers.Factory routerFactory;
    private final TrafficLog log = new TrafficLog();
    private final Map<Long, EngineProfile> profiles = new HashMap<>();
    private SimulatedFleet fleet;
    private RouterProcesses processes;
    private Path engineListFile;
    private ClientLoad clientLoad;

    /** Null if the script has no batches. */
    private BatchLoad batchLoad;

    private Vertx vertx;

    private SystemTest(TestScript script, Routers.Factory routerFactory) {
        this.script = script;
        this.routerFactory = routerFactory;
    }

    /** Runs a script with the real routers and checks the rules. */
    public static Result runScript(TestScript script) throws InterruptedException, IOException {
        return runScript(script, SystemTest::startService);
    }

    /** Runs a script with routers from a factory and checks the rules. */
    public static Result runScript(TestScript script, Routers.Factory routerFactory)
            throws InterruptedException, IOException {
        return new SystemTest(script, routerFactory).run();
    }

    private static Routers startService(Site site)
            throws InvalidEngineListException, LedgerException, InterruptedException {
        Service service = Service.start(site);
        return new Routers() {
            @Override
            public List<Integer> ports() {
                return service.ports();
            }

            @Override
            public String metrics() {
                return service.metricsRegistry().scrape();
            }

            @Override
            public int batchPort() {
                return service.batchPort();
            }

            @Override
            public void stop() throws InterruptedException {
                service.stop();
            }
        };
    }

    private Result run() throws InterruptedException, IOException {
        Path folder = Files.createTempDirectory("larchridge-drill");
        engineListFile = folder.resolve("engines.yaml");
        profiles(script).forEach(profile -> profiles.put(profile.id(), profile));
        fleet = SimulatedFleet.start(profiles(script), log, script.seed());
        fleet.writeEngineList(engineListFile);
        vertx = Vertx.vertx();
        Routers routers = null;
        try {
            if (script.encoding() != null) {
                Vocabulary vocabulary = VocabularyReader.forEncoding("v", script.encoding());
                profiles.keySet()
                        .forEach(
                                id ->
                                        fleet.runOn(
                                                id,
                                                engine -> engine.tokenCounter = vocabulary::count));
            }
            if (script.processes()) {
                processes = new RouterProcesses(folder, siteText(script), script.routers());
                routers = processes;
            } else {
                routers =
                        routerFactory.start(
                                SiteReader.read(
                                        "drill",
                                        "listen { host: \"127.0.0.1\" port: 0 }\n"
                                                + "own_ports: true\nseed: "
                                                + Math.max(1, script.seed())
                                                + "\nfronts: "
                                                + script.routers()
                                                + "\n"
                                                + siteText(script),
                                        folder));
            }
            clientLoad = new ClientLoad(vertx, script, routers.ports(), log);
            CountDownLatch done = new CountDownLatch(1);
            vertx.runOnContext(
                    v -> {
                        log.restartClock();
                        for (TestScript.Trouble fault : script.faults()) {
                            vertx.setTimer(
                                    Math.max(1, (long) fault.atMs()), timer -> startFault(fault));
                        }
                        clientLoad.start(done::countDown);
                    });
            if (!script.batches().isEmpty()) {
                batchLoad = new BatchLoad(script, routers.batchPort(), log);
                batchLoad.start();
            }
            if (!done.await((long) script.durationMs() + ANSWER_WAIT_MS, TimeUnit.MILLISECONDS)) {
                log.add(
                        TrafficEvent.Kind.TROUBLE,
                        0,
                        null,
                        null,
                        0,
                        "clients still open after the run");
            }
            if (batchLoad != null) {
                batchLoad.join(ANSWER_WAIT_MS);
            }
            Thread.sleep(RELEASE_WAIT_MS);
            String metrics = routers.metrics();
            List<TrafficEvent> events = log.events();
            List<BillingChecker.Row> billingRows = List.of();
            if (processes != null) {
                routers.stop();
                billingRows = BillingChecker.compare(events, records());
            }
            return new Result(
                    events,
                    RuleChecker.check(events, ruleLimits(script)),
                    ResultCounts.summarize(events, script),
                    billingRows,
                    metrics);
        } catch (InvalidSiteException
                | InvalidEngineListException
                | LedgerException
                | InvalidVocabularyException e) {
            throw new IllegalStateException(
                    "the generated site configuration is invalid: " + e.getMessage(), e);
        } finally {
            if (routers != null) {
                routers.stop();
            }
            vertx.close();
            fleet.close();
            try (Stream<Path> files = Files.walk(folder)) {
                for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                    Files.delete(file);
                }
            }
        }
    }

    private List<Usage> records() {
        List<Usage> records = new ArrayList<>();
        for (Path folder : processes.ledgerFolders()) {
            try (Ledger ledger = Ledger.openReadOnly(folder)) {
                ledger.forEachRecord(records::add);
                List<String> faults = ledger.verify();
                if (!faults.isEmpty()) {
                    throw new IllegalStateException(folder + ": " + faults);
                }
            } catch (LedgerException e) {
                throw new IllegalStateException(e);
            }
        }
        return records;
    }

    /** Returns the profiles of the engines of a script. */
    public static List<EngineProfile> profiles(TestScript script) {
        List<EngineProfile> all = new ArrayList<>();
        long id = 1;
        for (TestScript.EngineGroup group : script.engines()) {
            for (int i = 0; i < group.count(); i++) {
                String zone = group.zones().get(i % group.zones().size());
                long rack =
                        10L * (i % group.zones().size()) + i / group.zones().size() % group.racks();
                all.add(
                        EngineProfile.of(
                                        id++,
                                        Role.valueOf(group.role().toUpperCase(Locale.ROOT)),
                                        zone,
                                        rack)
                                .scaled(group.speed()));
            }
        }
        return all;
    }

    /** Returns the site configuration of the routers of a script. */
    public static String siteText(TestScript script) {
        StringBuilder text = new StringBuilder();
        text.append("zone: \"")
                .append(script.engines().get(0).zones().get(0))
                .append("\"\n")
                .append("inventory { file: \"engines.yaml\" poll_ms: 40 }\n")
                .append(
                        "limits { longest_retry_after_ms: 400 stop_ms: 1000 ping_ms: 500 quiet_stream_ms: 3000 }\n")
                .append("engines { second_copies: true reports_with_answers: ")
                .append(!script.probes())
                .append(" reports_with_probes: ")
                .append(script.probes())
                .append(" may_probe: ")
                .append(script.probes());
        text.append(
                String.format(
                        Locale.ROOT,
                        " drain_grace_ms: %f release_ms: %f cold_share: %f cold_ms: %f"
                                + " tip_multiple: %f tip_ms: %f }%n",
                        DRAIN_GRACE_MS,
                        RELEASE_MS,
                        COLD_SHARE,
                        COLD_MS,
                        COLD_START_MULTIPLE,
                        COLD_START_WINDOW_MS));
        if (!script.batches().isEmpty()) {
            text.append(
                    "batch { listen { host: \"127.0.0.1\" port: 0 } folder: \"store\" line_ms: 8000 }\n");
        }
        for (TestScript.Tenant tenant : script.tenants()) {
            text.append(
                    String.format(
                            Locale.ROOT,
                            "tenant { name: \"%s\" key_sha256: \"%s\"",
                            tenant.name(),
                            Site.sha256(tenant.name())));
            if (tenant.tokensPerSecond() > 0) {
                text.append(
                        String.format(
                                Locale.ROOT,
                                " budget { tokens_per_second: %f burst_tokens: %f }",
                                tenant.tokensPerSecond(),
                                tenant.burstTokens()));
            }
            text.append(" }\n");
        }
        boolean counted = script.counted() && script.encoding() != null;
        if (counted) {
            text.append("vocabulary { name: \"v\" encoding: \"")
                    .append(script.encoding())
                    .append("\" }\n");
        }
        for (TestScript.ProductLoad product : script.products()) {
            text.append(
                    String.format(
                            Locale.ROOT,
                            "product { name: \"%s\" model: \"%s\" effect: %s revenue: %f"
                                    + " slo_ms: %f time_limit_ms: %f token_ms: 60",
                            product.name(),
                            product.name(),
                            product.effect(),
                            product.revenue(),
                            product.sloMs(),
                            product.timeLimitMs()));
            if (product.effect().equals("DEDUPLICATED")) {
                text.append(
                        String.format(
                                Locale.ROOT,
                                " dedup_span: %s dedup_memory_ms: %f",
                                product.deduplicationScope(),
                                product.deduplicationWindowMs()));
            }
            text.append(counted ? " vocabulary: \"v\" }\n" : " }\n");
        }
        return text.toString();
    }

    /** Returns the limits that the rules check for a script. */
    public static RuleChecker.Limits ruleLimits(TestScript script) {
        Map<Long, EngineProfile> profiles = new HashMap<>();
        profiles(script).forEach(profile -> profiles.put(profile.id(), profile));
        Map<String, TrafficClass> products = new HashMap<>();
        for (TestScript.ProductLoad product : script.products()) {
            products.put(
                    product.name(),
                    new TrafficClass(
                            product.name(),
                            Effect.valueOf(product.effect()),
                            DeduplicationScope.valueOf(product.deduplicationScope()),
                            product.deduplicationWindowMs(),
                            product.revenue(),
                            0.1,
                            product.sloMs(),
                            0,
                            60));
        }
        return new RuleChecker.Limits(
                DRAIN_GRACE_MS,
                RELEASE_MS,
                COLD_START_MULTIPLE,
                COLD_START_WINDOW_MS,
                SLACK_MS,
                products,
                profiles);
    }

    // ------------------------------------------------------------------ faults

    private void startFault(TestScript.Trouble fault) {
        log.add(TrafficEvent.Kind.TROUBLE, 0, null, null, fault.size(), fault.kind());
        if (!fault.kind().equals("kill_front")) {
            fault.engines().forEach(id -> startEngineFault(fault, id));
        }
        switch (fault.kind()) {
            case "burst" -> {
                clientLoad.setRateFactor(fault.size());
                vertx.setTimer((long) fault.forMs(), timer -> clientLoad.setRateFactor(1));
            }
            case "bad_list" -> {
                writeEngineList("engines:\n  - id: 1\n    host: 127.0.0.1\n    por");
                vertx.setTimer((long) fault.forMs(), timer -> writeEngineList(null));
            }
            case "kill_front" -> {
                for (long routerNumber : fault.engines()) {
                    log.add(TrafficEvent.Kind.FRONT_KILLED, routerNumber - 1, null, null, 0, null);
                    processes.kill((int) routerNumber - 1);
                    vertx.setTimer(
                            (long) Math.max(1, fault.forMs()),
                            timer ->
                                    vertx.executeBlocking(
                                            () -> {
                                                processes.restart((int) routerNumber - 1);
                                                return null;
                                            }));
                }
            }
            case "drain", "remove" -> {
                writeEngineList(null);
                recordListed(fault.engines(), fault.kind().equals("drain") ? "draining" : "gone");
                vertx.setTimer(
                        (long) fault.forMs(),
                        timer -> {
                            for (long id : fault.engines()) {
                                fleet.setListEntry(
                                        id, "ready", true, fleet.listEntry(id).startMs());
                            }
                            recordListed(fault.engines(), "ready");
                            writeEngineList(null);
                        });
            }
            default -> {}
        }
    }

    private void startEngineFault(TestScript.Trouble fault, long id) {
        switch (fault.kind()) {
            case "crash" -> crash(fault, id);
            case "drain" -> fleet.setListEntry(id, "draining", true, fleet.listEntry(id).startMs());
            case "remove" -> fleet.setListEntry(id, "ready", false, fleet.listEntry(id).startMs());
            case "flush" -> fleet.runOn(id, engine -> engine.flush());
            case "bad_list", "burst" -> {}
            default -> {
                fleet.runOn(
                        id,
                        engine -> {
                            switch (fault.kind()) {
                                case "pause" ->
                                        engine.faults.pausedUntilMs =
                                                System.currentTimeMillis() + fault.forMs();
                                case "slow" -> engine.faults.slowdownFactor = fault.size();
                                case "stall" -> engine.faults.stallThreshold = (int) fault.size();
                                case "lost" ->
                                        engine.faults.lostResponseShare = Math.min(1, fault.size());
                                case "full" -> engine.faults.rejectAll = true;
                                case "faulty" -> engine.faults.failAll = true;
                                case "broken" ->
                                        engine.faults.brokenStreamShare = Math.min(1, fault.size());
                                case "torn" -> engine.faults.splitWrites = true;
                                case "garbled" ->
                                        engine.faults.malformedShare = Math.min(1, fault.size());
                                case "forgetful" -> engine.faults.discardStates = true;
                                case "lag" -> engine.faults.metricsLagMs = fault.size();
                                default -> throw new IllegalStateException(fault.kind());
                            }
                        });
                vertx.setTimer(
                        Math.max(1, (long) fault.forMs()),
                        timer -> fleet.runOn(id, e -> e.faults.clear()));
            }
        }
    }

    /**
     * Crashes an engine and restarts it cold after the fault's duration; the engine list shows both
     * with a delay.
     */
    private void crash(TestScript.Trouble fault, long id) {
        fleet.runOn(id, engine -> engine.crash());
        vertx.setTimer(
                (long) script.listLagMs(),
                timer -> {
                    fleet.setListEntry(id, "ready", false, 0);
                    writeEngineList(null);
                    recordListed(List.of(id), "gone");
                });
        vertx.setTimer(
                (long) Math.max(script.listLagMs() + 200, fault.forMs()),
                timer ->
                        fleet.runOn(
                                id,
                                engine ->
                                        engine.start(0, true)
                                                .onSuccess(
                                                        port -> {
                                                            double startedMs = engine.startedMs();
                                                            vertx.setTimer(
                                                                    50,
                                                                    told -> {
                                                                        fleet.setListEntry(
                                                                                id, "ready", true,
                                                                                startedMs);
                                                                        recordListed(
                                                                                List.of(id),
                                                                                "ready");
                                                                        writeEngineList(null);
                                                                    });
                                                        })));
    }

    private void recordListed(List<Long> ids, String mode) {
        ids.forEach(id -> log.add(TrafficEvent.Kind.LISTED, id, null, null, 0, mode));
    }

    private void writeEngineList(String invalidText) {
        try {
            if (invalidText == null) {
                fleet.writeEngineList(engineListFile);
            } else {
                Files.writeString(engineListFile, invalidText);
            }
        } catch (IOException e) {
            throw new IllegalStateException("cannot write the engine list", e);
        }
    }
}
