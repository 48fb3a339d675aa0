package larchridge.site;

import com.google.protobuf.Descriptors.FieldDescriptor;
import com.google.protobuf.Message;
import com.google.protobuf.TextFormat;
import com.google.protobuf.TextFormatParseInfoTree;
import com.google.protobuf.TextFormatParseLocation;
import java.io.IOException;
import java.math.BigDecimal;
import java.nio.charset.MalformedInputException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import larchridge.budget.BudgetLimits;
import larchridge.ledger.Price;
import larchridge.site.proto.DeduplicationSpan;
import larchridge.site.proto.ProductConfig;
import larchridge.site.proto.ProductEffect;
import larchridge.site.proto.SiteConfig;
import larchridge.site.proto.TenantConfig;
import larchridge.site.proto.VocabularyConfig;
import larchridge.state.DeduplicationScope;
import larchridge.state.Effect;
import larchridge.state.RoutingSettings;
import larchridge.state.TrafficClass;
import larchridge.tokens.InvalidVocabularyException;
import larchridge.tokens.PretokenizerPattern;
import larchridge.tokens.PromptLengthSettings;
import larchridge.tokens.Vocabulary;
import larchridge.tokens.VocabularyReader;

/**
 * Reads a site file (protobuf text format, schema in {@code site.proto}), validates it and converts
 * it to a {@link Site}. All errors are reported at once, each with file, line and field.
 */
public final class SiteReader {
    private final String fileName;
    private final Path folder;
    private final List<String> errors = new ArrayList<>();
    private final TextFormatParseInfoTree.Builder parseInfo = TextFormatParseInfoTree.builder();
    private TextFormatParseInfoTree locations;

    private SiteReader(String fileName, Path folder) {
        this.fileName = fileName;
        this.folder = folder;
    }

    /** Reads a file; paths in it are relative to its folder. */
    public static Site read(Path path) throws InvalidSiteException {
        try {
            return read(path.toString(), Files.readString(path), path.toAbsolutePath().getParent());
        } catch (MalformedInputException e) {
            throw new InvalidSiteException(List.of(path + ": not UTF-8 text"));
        } catch (IOException e) {
            throw new InvalidSiteException(
                    List.of(path + ": can't be read (" + e.getMessage() + ")"));
        }
    }

    /** Reads the text of a site file; errors name the file as given. */
    public static Site read(String fileName, String text, Path folder) throws InvalidSiteException {
        return new SiteReader(fileName, folder).parse(text);
    }

    private Site parse(String text) throws InvalidSiteException {
        SiteConfig.Builder siteConfig = SiteConfig.newBuilder();
        try {
            TextFormat.Parser.newBuilder()
                    .setParseInfoTreeBuilder(parseInfo)
                    .build()
                    .merge(text, siteConfig);
        } catch (TextFormat.ParseException e) {
            throw new InvalidSiteException(
                    List.of(
                            fileName
                                    + ":"
                                    + e.getLine()
                                    + ":"
                                    + e.getColumn()
                                    + ": "
                                    + e.getMessage().replaceFirst("^\\d+:\\d+: ", "")));
        }
        locations = parseInfo.build();
        Site site = toSite(siteConfig.build());
        if (!errors.isEmpty()) {
            throw new InvalidSiteException(errors);
        }
        return site;
    }

    private Site toSite(SiteConfig siteConfig) {
        Site site = new Site();
        Section root = new Section(locations, "", siteConfig);
        Section listen = root.section("listen", true);
        site.host = listen.string("host", "127.0.0.1");
        site.port = (int) listen.number("port", 8080, 0, 65535);
        if (siteConfig.hasAdmin()) {
            Section admin = root.section("admin", true);
            site.adminHost = admin.string("host", "127.0.0.1");
            site.adminPort = (int) admin.number("port", 9090, 0, 65535);
        }
        site.routers = (int) root.number("fronts", 1, 1, 256);
        site.portPerRouter = siteConfig.getOwnPorts();
        site.seed = siteConfig.getSeed();
        Section inventory = root.section("inventory", true);
        String engineList = inventory.string("file", null);
        site.engineListFile =
                engineList == null || folder == null ? null : folder.resolve(engineList);
        site.engineListPollMs = inventory.number("poll_ms", 50, 5, 60_000);
        readProducts(root, siteConfig, site);
        readTenants(root, siteConfig, site);
        readBudgets(root, siteConfig, site);
        readLimits(root.section("limits", false), site.limits);
        readEngineSettings(root, siteConfig, site);
        if (siteConfig.hasBatch()) {
            site.batchSettings = readBatchSettings(root.section("batch", true), site.limits);
        }
        return site;
    }

    private void readProducts(Section root, SiteConfig siteConfig, Site site) {
        if (siteConfig.getProductCount() == 0) {
            errors.add(fileName + ":1: product: missing; at least one is needed");
        }
        Map<String, Integer> lineOfModel = new HashMap<>();
        Map<String, Vocabulary> vocabularies = readVocabularies(root, siteConfig);
        for (int i = 0; i < siteConfig.getProductCount(); i++) {
            ProductConfig productConfig = siteConfig.getProduct(i);
            Section section = root.repeatedSection("product", i, productConfig);
            String name = section.string("name", null);
            Effect effect =
                    switch (productConfig.getEffect()) {
                        case IDEMPOTENT -> Effect.IDEMPOTENT;
                        case DEDUPLICATED -> Effect.DEDUPLICATED;
                        case SIDE_EFFECTING -> Effect.SIDE_EFFECTING;
                        default -> {
                            section.addError(
                                    "effect",
                                    "missing; IDEMPOTENT, DEDUPLICATED or SIDE_EFFECTING is expected");
                            yield Effect.SIDE_EFFECTING;
                        }
                    };
            boolean deduplicated = productConfig.getEffect() == ProductEffect.DEDUPLICATED;
            if (deduplicated && productConfig.getDedupSpan() == DeduplicationSpan.SPAN_UNSET) {
                section.addError(
                        "dedup_span", "missing; a deduplicated product needs ALL, ZONE or RACK");
            }
            DeduplicationScope scope =
                    switch (productConfig.getDedupSpan()) {
                        case ALL -> DeduplicationScope.ALL;
                        case ZONE -> DeduplicationScope.ZONE;
                        default -> DeduplicationScope.RACK;
                    };
            double deduplicationWindowMs =
                    deduplicated ? section.number("dedup_memory_ms", Double.NaN, 1, 1e9) : 0;
            TrafficClass trafficClass =
                    new TrafficClass(
                            name,
                            effect,
                            scope,
                            deduplicationWindowMs,
                            section.number("revenue", 1, 0, 1e9),
                            section.number("late_revenue", 0.1, 0, 1),
                            section.number("slo_ms", Double.NaN, 1, 1e7),
                            section.number("slo_ms_per_1000_tokens", 0, 0, 1e6) / 1000,
                            section.number("token_ms", 60, 0.1, 1e5));
            double borrowedRevenueFactor = root.number("borrowed_revenue", 0.1, 0, 1);
            TrafficClass borrowedTrafficClass =
                    new TrafficClass(
                            name,
                            effect,
                            scope,
                            deduplicationWindowMs,
                            trafficClass.revenue * borrowedRevenueFactor,
                            trafficClass.lateRevenue,
                            trafficClass.sloMs,
                            trafficClass.sloMsPerToken,
                            trafficClass.targetTokenIntervalMs);
            site.prices.put(
                    name,
                    new Price(
                            section.price("price_prompt"),
                            section.price("price_kept"),
                            section.price("price_answer")));
            ProductOffering offering =
                    new ProductOffering(
                            trafficClass,
                            borrowedTrafficClass,
                            section.string("engine_model", ""),
                            section.number("time_limit_ms", Double.NaN, 1, 1e7),
                            section.number("time_limit_ms_per_1000_tokens", 0, 0, 1e6) / 1000,
                            (int) section.number("most_tokens", 4096, 1, 1e7),
                            readPromptLengthSettings(section, productConfig, vocabularies));
            if (offering.fixedTimeLimitMs < trafficClass.sloMs) {
                section.addError(
                        "time_limit_ms",
                        "is " + offering.fixedTimeLimitMs + ", under slo_ms " + trafficClass.sloMs);
            }
            if (productConfig.getModelCount() == 0) {
                section.addError("model", "missing; at least one is needed");
            }
            for (String model : productConfig.getModelList()) {
                Integer otherLine = lineOfModel.put(model, section.lineOf("model"));
                if (otherLine != null) {
                    section.addError(
                            "model",
                            "'" + model + "' is also a model of the product on line " + otherLine);
                }
                site.offeringsByModel.put(model, offering);
            }
        }
    }

    private PromptLengthSettings readPromptLengthSettings(
            Section section, ProductConfig productConfig, Map<String, Vocabulary> vocabularies) {
        Vocabulary vocabulary = vocabularies.get(productConfig.getVocabulary());
        if (vocabulary == null
                && !productConfig.getVocabulary().isEmpty()
                && !vocabularies.containsKey(productConfig.getVocabulary())) {
            section.addError(
                    "vocabulary",
                    "'" + productConfig.getVocabulary() + "' is not a vocabulary of this file");
        }
        return new PromptLengthSettings(
                vocabulary,
                (int) section.number("window_tokens", Integer.MAX_VALUE, 1, Integer.MAX_VALUE),
                (int)
                        section.number(
                                "image_tokens",
                                PromptLengthSettings.ESTIMATED.imageTokens(),
                                0,
                                1e6),
                (int) section.number("message_tokens", 0, 0, 1000));
    }

    /** Reads the vocabularies by name; null for an invalid one, whose error is reported. */
    private Map<String, Vocabulary> readVocabularies(Section root, SiteConfig siteConfig) {
        Map<String, Vocabulary> vocabularies = new HashMap<>();
        for (int i = 0; i < siteConfig.getVocabularyCount(); i++) {
            VocabularyConfig vocabularyConfig = siteConfig.getVocabulary(i);
            Section section = root.repeatedSection("vocabulary", i, vocabularyConfig);
            String name = section.string("name", null);
            if (vocabularies.containsKey(name)) {
                section.addError("name", "'" + name + "' is the name of two vocabularies");
            }
            if (vocabularyConfig.getEncoding().isEmpty() == vocabularyConfig.getFile().isEmpty()) {
                section.addError("encoding", "expected either encoding or file");
                continue;
            }
            PretokenizerPattern pattern =
                    switch (vocabularyConfig.getSplit()) {
                        case GPT2 -> PretokenizerPattern.GPT2;
                        case CL100K -> PretokenizerPattern.CL100K;
                        case O200K -> PretokenizerPattern.O200K;
                        default -> null;
                    };
            try {
                vocabularies.put(
                        name,
                        !vocabularyConfig.getEncoding().isEmpty()
                                ? VocabularyReader.forEncoding(name, vocabularyConfig.getEncoding())
                                : VocabularyReader.readFile(
                                        name,
                                        folder == null
                                                ? Path.of(vocabularyConfig.getFile())
                                                : folder.resolve(vocabularyConfig.getFile()),
                                        pattern));
            } catch (InvalidVocabularyException e) {
                section.addError(
                        vocabularyConfig.getEncoding().isEmpty() ? "file" : "encoding",
                        e.getMessage());
                vocabularies.put(name, null);
            }
        }
        return vocabularies;
    }

    private void readTenants(Section root, SiteConfig siteConfig, Site site) {
        Map<String, String> owners = new HashMap<>();
        for (int i = 0; i < siteConfig.getTenantCount(); i++) {
            TenantConfig tenantConfig = siteConfig.getTenant(i);
            Section section = root.repeatedSection("tenant", i, tenantConfig);
            Site.Tenant tenant =
                    new Site.Tenant(
                            section.string("name", null),
                            section.number("quota_per_second", 1e9, 0, 1e9),
                            section.number("batch_share", 1, 0.001, 1e6));
            if (tenantConfig.getKeySha256Count() == 0) {
                section.addError("key_sha256", "missing; at least one is needed");
            }
            for (String key : tenantConfig.getKeySha256List()) {
                if (!key.matches("[0-9a-f]{64}")) {
                    section.addError("key_sha256", "is not 64 lower-case hex digits");
                }
                String otherOwner = owners.put(key, tenant.name());
                if (otherOwner != null) {
                    section.addError("key_sha256", "is also a key of tenant '" + otherOwner + "'");
                }
                site.tenantsByKey.put(key, tenant);
            }
        }
        if (!siteConfig.getGuest().isEmpty()) {
            site.guest = new Site.Tenant(siteConfig.getGuest(), 1e9, 1);
        } else if (siteConfig.getTenantCount() == 0) {
            errors.add(
                    fileName
                            + ":1: tenant: missing; without tenant and guest all clients are rejected");
        }
    }

    private void readBudgets(Section root, SiteConfig siteConfig, Site site) {
        site.serviceBudget = root.budget("budget");
        site.giveBackMs = root.number("give_back_ms", 500, 0, 1e7);
        site.currency = root.string("currency", "EUR");
        Map<String, Double> rateSumsByParent = new HashMap<>();
        for (int i = 0; i < siteConfig.getGroupCount(); i++) {
            Section section = root.repeatedSection("group", i, siteConfig.getGroup(i));
            String name = section.string("name", null);
            BudgetLimits limits = section.budget("budget");
            if (site.groupBudgets.put(name, limits) != null) {
                section.addError("name", "'" + name + "' is the name of two groups");
            }
            checkRateSum(section, rateSumsByParent, "", limits, site.serviceBudget, "the service");
        }
        Set<String> names = new HashSet<>();
        for (int i = 0; i < siteConfig.getTenantCount(); i++) {
            TenantConfig tenantConfig = siteConfig.getTenant(i);
            Section section = root.repeatedSection("tenant", i, tenantConfig);
            if (!names.add(tenantConfig.getName())) {
                section.addError(
                        "name", "'" + tenantConfig.getName() + "' is the name of two tenants");
            }
            BudgetLimits limits = section.budget("budget");
            String group = tenantConfig.getGroup().isEmpty() ? null : tenantConfig.getGroup();
            if (group != null && !site.groupBudgets.containsKey(group)) {
                section.addError("group", "'" + group + "' is not a group of this file");
                group = null;
            }
            checkRateSum(
                    section,
                    rateSumsByParent,
                    group == null ? "" : "g" + group,
                    limits,
                    group == null ? site.serviceBudget : site.groupBudgets.get(group),
                    group == null ? "the service" : "group " + group);
            Map<String, BudgetLimits> productLimits = new LinkedHashMap<>();
            for (int j = 0; j < tenantConfig.getProductCount(); j++) {
                Section productSection =
                        section.repeatedSection("product", j, tenantConfig.getProduct(j));
                String product = productSection.string("name", null);
                if (site.offeringsByModel.values().stream()
                        .noneMatch(o -> o.trafficClass.name.equals(product))) {
                    productSection.addError(
                            "name", "'" + product + "' is not a product of this file");
                }
                BudgetLimits partLimits = productSection.budget("budget");
                productLimits.put(product, partLimits);
                checkRateSum(
                        productSection,
                        rateSumsByParent,
                        "t" + i,
                        partLimits,
                        limits,
                        "tenant " + tenantConfig.getName());
            }
            site.tenantBudgets.add(
                    new Site.TenantBudget(tenantConfig.getName(), group, limits, productLimits));
        }
        if (siteConfig.hasLeases()) {
            Section section = root.section("leases", true);
            site.isLender = siteConfig.getLeases().getLends();
            site.lenderHost =
                    section.string(
                            "host",
                            site.isLender && site.adminHost != null ? site.adminHost : null);
            site.lenderPort = (int) section.number("port", site.adminPort, 0, 65535);
            site.fixedShare = section.number("fixed_share", 0.2, 0.01, 1);
            site.leaseDurationMs = section.number("lapse_ms", 1000, 50, 1e6);
            site.leaseCallTimeoutMs = section.number("answer_ms", 200, 5, 1e4);
            if (site.isLender && site.adminHost == null) {
                section.addError(
                        "lends", "needs an admin address, at which routers request leases");
            }
        }
        if (siteConfig.hasLedger()) {
            Section section = root.section("ledger", true);
            String folderName = section.string("folder", null);
            site.ledgerFolder = folder == null ? null : folder.resolve(folderName);
            site.maxLedgerWaitMs = section.number("answer_waits_ms", 0, 0, 60_000);
            site.maxWaitingLedgerRecords =
                    (int) section.number("waiting_records", 65_536, 16, 1 << 24);
        }
    }

    /** Reports an error if the rates of the parts add up to more than the rate of the whole. */
    private void checkRateSum(
            Section section,
            Map<String, Double> rateSumsByParent,
            String parentKey,
            BudgetLimits partLimits,
            BudgetLimits wholeLimits,
            String wholeName) {
        if (partLimits.hasRateLimit() && wholeLimits.hasRateLimit()) {
            double sum = rateSumsByParent.merge(parentKey, partLimits.tokensPerMs(), Double::sum);
            if (sum > wholeLimits.tokensPerMs() * (1 + 1e-9)) {
                section.addError(
                        "budget",
                        "tokens_per_second of the parts of "
                                + wholeName
                                + " add up to "
                                + formatNumber(sum * 1000)
                                + ", more than its own "
                                + formatNumber(wholeLimits.tokensPerMs() * 1000));
            }
        }
    }

    private BatchSettings readBatchSettings(Section section, SiteLimits limits) {
        BatchSettings settings = new BatchSettings();
        Section listen = section.section("listen", true);
        settings.host = listen.string("host", "127.0.0.1");
        settings.port = (int) listen.number("port", 8081, 0, 65535);
        String folderName = section.string("folder", null);
        settings.folder = folder == null ? null : folder.resolve(folderName);
        settings.maxFileBytes = (long) section.number("file_bytes", 200 << 20, 1, 1e12);
        settings.maxLineBytes =
                (int)
                        section.number(
                                "line_bytes",
                                (double) Math.min(limits.maxBodyBytes, 4 << 20),
                                100,
                                1 << 28);
        settings.maxLines = (long) section.number("lines", 1_000_000, 1, 1e9);
        settings.maxTenantBytes = (long) section.number("tenant_bytes", 10L << 30, 1, 1e15);
        settings.maxTenantFiles = (long) section.number("tenant_files", 20_000, 1, 1e9);
        settings.maxOpenLines = (int) section.number("open_lines", 256, 1, 100_000);
        settings.maxAttempts = (int) section.number("attempts", 3, 1, 100);
        settings.attemptTimeoutMs = section.number("line_ms", 30_000, 10, 1e7);
        settings.revenueFactor = section.number("revenue", 0.02, 0, 1);
        settings.requestThreads = (int) section.number("threads", 16, 4, 1000);
        if (settings.maxOpenLines > limits.maxOpenExchanges) {
            section.addError(
                    "open_lines",
                    "is "
                            + settings.maxOpenLines
                            + ", over limits.open_generations "
                            + limits.maxOpenExchanges);
        }
        return settings;
    }

    private void readLimits(Section section, SiteLimits limits) {
        limits.maxOpenExchanges = (int) section.number("open_generations", 10_000, 1, 1e7);
        limits.tokenCountCacheBytes =
                (long) section.number("count_cache_bytes", 64 << 20, 1 << 16, 1e11);
        limits.tokenCountThreads = (int) section.number("count_threads", 2, 1, 64);
        limits.maxQueuedTokenCounts = (int) section.number("count_waits", 2048, 1, 1e6);
        limits.maxConnections = (int) section.number("connections", 20_000, 1, 1e7);
        limits.maxBodyBytes = (long) section.number("body_bytes", 32 << 20, 1000, 1 << 30);
        limits.maxHeaderBytes = (int) section.number("header_bytes", 16_384, 1000, 1 << 20);
        limits.maxNesting = (int) section.number("nesting", 64, 8, 1000);
        limits.maxMessages = (int) section.number("messages", 100_000, 1, 1e6);
        limits.bodyTimeoutMs = section.number("body_ms", 10_000, 10, 1e7);
        limits.idleConnectionTimeoutMs = section.number("idle_connection_ms", 120_000, 1000, 1e8);
        limits.pausedStreamTimeoutMs = section.number("slow_client_ms", 10_000, 10, 1e7);
        limits.pingIntervalMs = section.number("ping_ms", 5_000, 10, 1e7);
        limits.streamIdleTimeoutMs = section.number("quiet_stream_ms", 15_000, 10, 1e7);
        limits.shutdownTimeoutMs = section.number("stop_ms", 20_000, 0, 1e7);
        limits.maxResponseBytes = (int) section.number("answer_bytes", 4 << 20, 1000, 1 << 30);
        limits.bytesPerToken = section.number("bytes_per_token", 4, 0.5, 20);
    }

    private void readEngineSettings(Section root, SiteConfig siteConfig, Site site) {
        Section section = root.section("engines", false);
        site.routingSettings =
                RoutingSettings.builder()
                        .routers(
                                (int)
                                        root.number(
                                                "fronts_of_service",
                                                site.routers,
                                                site.routers,
                                                1e6))
                        .zone(root.string("zone", ""))
                        .maxAttempts((int) section.number("attempts", 5, 2, 100))
                        .cancellationAllowed(true)
                        .probesAllowed(siteConfig.getEngines().getMayProbe())
                        .hedgingAllowed(siteConfig.getEngines().getSecondCopies())
                        .writersCanRead(siteConfig.getEngines().getWritersRead())
                        .reportsWithAnswers(siteConfig.getEngines().getReportsWithAnswers())
                        .reportsWithProbes(siteConfig.getEngines().getReportsWithProbes())
                        .slowStartShare(section.number("cold_share", 0.3, 0.001, 1))
                        .slowStartMs(section.number("cold_ms", 15_000, 0, 1e7))
                        .overloadMultiple(section.number("tip_multiple", 2.5, 0.1, 100))
                        .overloadMs(section.number("tip_ms", 1_000, 1, 1e6))
                        .overQuotaRevenue(1)
                        .retryAfterMaxMs(
                                root.section("limits", false)
                                        .number("longest_retry_after_ms", 0, 0, 1e7))
                        .build();
        site.drainGraceMs = section.number("drain_grace_ms", 250, 1, 1e6);
        site.maxStateHoldMs = section.number("release_ms", 1000, 10, 1e6);
        site.limits.connectTimeoutMs = section.number("connect_ms", 500, 1, 1e6);
        site.limits.keepAliveTimeoutMs = section.number("keep_alive_ms", 30_000, 1000, 1e7);
        site.limits.maxConnectionsPerEngine =
                (int) section.number("connections_per_engine", 4096, 1, 1e5);
        site.limits.maxWaitingForConnection = (int) section.number("connection_waits", 256, 0, 1e5);
        site.limits.probeTimeoutMs = section.number("probe_ms", 500, 1, 1e6);
        if (site.engineListPollMs > site.drainGraceMs / 2) {
            root.section("inventory", false)
                    .addError(
                            "poll_ms",
                            "is "
                                    + site.engineListPollMs
                                    + ", over half of engines.drain_grace_ms "
                                    + site.drainGraceMs);
        }
    }

    /** One message of the file, with the locations of its fields and its path in error messages. */
    private final class Section {
        private final TextFormatParseInfoTree tree;
        private final String path;
        private final Message message;

        Section(TextFormatParseInfoTree tree, String path, Message message) {
            this.tree = tree;
            this.path = path;
            this.message = message;
        }

        Section section(String field, boolean required) {
            FieldDescriptor descriptor = descriptorOf(field);
            if (required && !message.hasField(descriptor)) {
                addError(field, "missing");
            }
            Message child = (Message) message.getField(descriptor);
            return new Section(
                    message.hasField(descriptor) && tree != null
                            ? tree.getNestedTree(descriptor, 0)
                            : null,
                    path + field + ".",
                    child);
        }

        Section repeatedSection(String field, int index, Message child) {
            return new Section(
                    tree.getNestedTree(descriptorOf(field), index),
                    path + field + "[" + index + "].",
                    child);
        }

        String string(String field, String defaultValue) {
            String value = (String) message.getField(descriptorOf(field));
            if (!value.isEmpty()) {
                return value;
            }
            if (defaultValue == null) {
                addError(field, "missing");
            }
            return defaultValue == null ? "" : defaultValue;
        }

        /** A number within bounds, or the default if it is not set; NaN makes it required. */
        double number(String field, double defaultValue, double min, double max) {
            FieldDescriptor descriptor = descriptorOf(field);
            double value = ((Number) message.getField(descriptor)).doubleValue();
            boolean isSet = tree != null && !tree.getLocations(descriptor).isEmpty();
            if (!isSet && value == 0) {
                if (Double.isNaN(defaultValue)) {
                    addError(field, "missing");
                    return min;
                }
                return defaultValue;
            }
            if (!(value >= min && value <= max)) {
                addError(
                        field,
                        "is "
                                + value
                                + "; expected "
                                + formatNumber(min)
                                + " to "
                                + formatNumber(max));
                return min;
            }
            return value;
        }

        /** The limits of a budget; one that is not set does not apply. */
        BudgetLimits budget(String field) {
            if (!message.hasField(descriptorOf(field))) {
                return BudgetLimits.UNLIMITED;
            }
            Section section = section(field, true);
            double tokensPerSecond =
                    section.number(
                            "tokens_per_second",
                            Double.POSITIVE_INFINITY,
                            0,
                            Double.POSITIVE_INFINITY);
            return new BudgetLimits(
                    tokensPerSecond / 1000,
                    section.number(
                            "burst_tokens", tokensPerSecond * 10, 0, Double.POSITIVE_INFINITY),
                    section.number(
                            "tokens_at_once",
                            Double.POSITIVE_INFINITY,
                            1,
                            Double.POSITIVE_INFINITY),
                    section.number(
                            "tokens_per_month",
                            Double.POSITIVE_INFINITY,
                            0,
                            Double.POSITIVE_INFINITY));
        }

        /** A price; 0 if it is not set. */
        BigDecimal price(String field) {
            String value = string(field, "0");
            if (!value.matches("\\d{1,9}(\\.\\d{1,9})?")) {
                addError(field, "is '" + value + "'; expected a decimal like 2.50");
                return BigDecimal.ZERO;
            }
            return new BigDecimal(value);
        }

        /** The line of a field, or of the message's first field if it is not set. */
        int lineOf(String field) {
            if (tree == null) {
                return 1;
            }
            for (TextFormatParseLocation location : tree.getLocations(descriptorOf(field))) {
                return location.getLine() + 1;
            }
            int first = Integer.MAX_VALUE;
            for (FieldDescriptor other : message.getDescriptorForType().getFields()) {
                for (TextFormatParseLocation location : tree.getLocations(other)) {
                    first = Math.min(first, location.getLine() + 1);
                }
            }
            return first == Integer.MAX_VALUE ? 1 : first;
        }

        void addError(String field, String problem) {
            errors.add(fileName + ":" + lineOf(field) + ": " + path + field + ": " + problem);
        }

        private FieldDescriptor descriptorOf(String field) {
            return message.getDescriptorForType().findFieldByName(field);
        }
    }

    private static String formatNumber(double value) {
        return value == Math.rint(value) && value < 1e15
                ? Long.toString((long) value)
                : Double.toString(value);
    }
}
