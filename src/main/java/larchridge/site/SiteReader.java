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
import larchridge.site.form.EffectText;
import larchridge.site.form.ProductText;
import larchridge.site.form.SiteText;
import larchridge.site.form.SpanText;
import larchridge.site.form.TenantText;
import larchridge.site.form.VocabularyText;
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
 * Reads a site file (protobuf text format, form in {@code site.proto}), checks it and derives a
 * {@link Site}. All faults are told at once, each with file, line and field.
 */
public final class SiteReader {
    private final String file;
    private final Path folder;
    private final List<String> faults = new ArrayList<>();
    private final TextFormatParseInfoTree.Builder info = TextFormatParseInfoTree.builder();
    private TextFormatParseInfoTree places;

    private SiteReader(String file, Path folder) {
        this.file = file;
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

    /** Reads the text of a file under the name that faults are to give. */
    public static Site read(String file, String text, Path folder) throws InvalidSiteException {
        return new SiteReader(file, folder).take(text);
    }

    private Site take(String text) throws InvalidSiteException {
        SiteText.Builder form = SiteText.newBuilder();
        try {
            TextFormat.Parser.newBuilder().setParseInfoTreeBuilder(info).build().merge(text, form);
        } catch (TextFormat.ParseException e) {
            throw new InvalidSiteException(
                    List.of(
                            file
                                    + ":"
                                    + e.getLine()
                                    + ":"
                                    + e.getColumn()
                                    + ": "
                                    + e.getMessage().replaceFirst("^\\d+:\\d+: ", "")));
        }
        places = info.build();
        Site site = derive(form.build());
        if (!faults.isEmpty()) {
            throw new InvalidSiteException(faults);
        }
        return site;
    }

    private Site derive(SiteText form) {
        Site site = new Site();
        At root = new At(places, "", form);
        At listen = root.one("listen", true);
        site.host = listen.text("host", "127.0.0.1");
        site.port = (int) listen.number("port", 8080, 0, 65535);
        if (form.hasAdmin()) {
            At admin = root.one("admin", true);
            site.adminHost = admin.text("host", "127.0.0.1");
            site.adminPort = (int) admin.number("port", 9090, 0, 65535);
        }
        site.fronts = (int) root.number("fronts", 1, 1, 256);
        site.ownPorts = form.getOwnPorts();
        site.seed = form.getSeed();
        At inventory = root.one("inventory", true);
        String list = inventory.text("file", null);
        site.inventory = list == null || folder == null ? null : folder.resolve(list);
        site.pollMs = inventory.number("poll_ms", 50, 5, 60_000);
        products(root, form, site);
        tenants(root, form, site);
        budgets(root, form, site);
        limits(root.one("limits", false), site.limit);
        engines(root, form, site);
        if (form.hasBatch()) {
            site.batch = batch(root.one("batch", true), site.limit);
        }
        return site;
    }

    private void products(At root, SiteText form, Site site) {
        if (form.getProductCount() == 0) {
            faults.add(file + ":1: product: missing; at least one is needed");
        }
        Map<String, Integer> lineOfModel = new HashMap<>();
        Map<String, Vocabulary> vocabularies = vocabularies(root, form);
        for (int i = 0; i < form.getProductCount(); i++) {
            ProductText text = form.getProduct(i);
            At at = root.item("product", i, text);
            String name = at.text("name", null);
            Effect effect =
                    switch (text.getEffect()) {
                        case IDEMPOTENT -> Effect.IDEMPOTENT;
                        case DEDUPLICATED -> Effect.DEDUPLICATED;
                        case SIDE_EFFECTING -> Effect.SIDE_EFFECTING;
                        default -> {
                            at.fault(
                                    "effect",
                                    "missing; IDEMPOTENT, DEDUPLICATED or SIDE_EFFECTING is expected");
                            yield Effect.SIDE_EFFECTING;
                        }
                    };
            boolean dedup = text.getEffect() == EffectText.DEDUPLICATED;
            if (dedup && text.getDedupSpan() == SpanText.SPAN_UNSET) {
                at.fault("dedup_span", "missing; a deduplicated product needs ALL, ZONE or RACK");
            }
            DeduplicationScope span =
                    switch (text.getDedupSpan()) {
                        case ALL -> DeduplicationScope.ALL;
                        case ZONE -> DeduplicationScope.ZONE;
                        default -> DeduplicationScope.RACK;
                    };
            double memory = dedup ? at.number("dedup_memory_ms", Double.NaN, 1, 1e9) : 0;
            TrafficClass product =
                    new TrafficClass(
                            name,
                            effect,
                            span,
                            memory,
                            at.number("revenue", 1, 0, 1e9),
                            at.number("late_revenue", 0.1, 0, 1),
                            at.number("slo_ms", Double.NaN, 1, 1e7),
                            at.number("slo_ms_per_1000_tokens", 0, 0, 1e6) / 1000,
                            at.number("token_ms", 60, 0.1, 1e5));
            double worth = root.number("borrowed_revenue", 0.1, 0, 1);
            TrafficClass borrowed =
                    new TrafficClass(
                            name,
                            effect,
                            span,
                            memory,
                            product.revenue * worth,
                            product.lateRevenue,
                            product.sloMs,
                            product.sloMsPerToken,
                            product.targetTokenIntervalMs);
            site.prices.put(
                    name,
                    new Price(
                            at.money("price_prompt"),
                            at.money("price_kept"),
                            at.money("price_answer")));
            ProductOffering offer =
                    new ProductOffering(
                            product,
                            borrowed,
                            at.text("engine_model", ""),
                            at.number("time_limit_ms", Double.NaN, 1, 1e7),
                            at.number("time_limit_ms_per_1000_tokens", 0, 0, 1e6) / 1000,
                            (int) at.number("most_tokens", 4096, 1, 1e7),
                            measure(at, text, vocabularies));
            if (offer.limitMs < product.sloMs) {
                at.fault(
                        "time_limit_ms", "is " + offer.limitMs + ", under slo_ms " + product.sloMs);
            }
            if (text.getModelCount() == 0) {
                at.fault("model", "missing; at least one is needed");
            }
            for (String model : text.getModelList()) {
                Integer before = lineOfModel.put(model, at.line("model"));
                if (before != null) {
                    at.fault(
                            "model",
                            "'" + model + "' is also a model of the product on line " + before);
                }
                site.offersByModel.put(model, offer);
            }
        }
    }

    private PromptLengthSettings measure(
            At at, ProductText text, Map<String, Vocabulary> vocabularies) {
        Vocabulary vocabulary = vocabularies.get(text.getVocabulary());
        if (vocabulary == null
                && !text.getVocabulary().isEmpty()
                && !vocabularies.containsKey(text.getVocabulary())) {
            at.fault("vocabulary", "'" + text.getVocabulary() + "' is no vocabulary of this file");
        }
        return new PromptLengthSettings(
                vocabulary,
                (int) at.number("window_tokens", Integer.MAX_VALUE, 1, Integer.MAX_VALUE),
                (int)
                        at.number(
                                "image_tokens",
                                PromptLengthSettings.ESTIMATED.imageTokens(),
                                0,
                                1e6),
                (int) at.number("message_tokens", 0, 0, 1000));
    }

    /** By name; null for one that can't be used, which has been told. */
    private Map<String, Vocabulary> vocabularies(At root, SiteText form) {
        Map<String, Vocabulary> read = new HashMap<>();
        for (int i = 0; i < form.getVocabularyCount(); i++) {
            VocabularyText text = form.getVocabulary(i);
            At at = root.item("vocabulary", i, text);
            String name = at.text("name", null);
            if (read.containsKey(name)) {
                at.fault("name", "'" + name + "' is the name of two vocabularies");
            }
            if (text.getEncoding().isEmpty() == text.getFile().isEmpty()) {
                at.fault("encoding", "either encoding or file is expected");
                continue;
            }
            PretokenizerPattern split =
                    switch (text.getSplit()) {
                        case GPT2 -> PretokenizerPattern.GPT2;
                        case CL100K -> PretokenizerPattern.CL100K;
                        case O200K -> PretokenizerPattern.O200K;
                        default -> null;
                    };
            try {
                read.put(
                        name,
                        !text.getEncoding().isEmpty()
                                ? VocabularyReader.forEncoding(name, text.getEncoding())
                                : VocabularyReader.readFile(
                                        name,
                                        folder == null
                                                ? Path.of(text.getFile())
                                                : folder.resolve(text.getFile()),
                                        split));
            } catch (InvalidVocabularyException e) {
                at.fault(text.getEncoding().isEmpty() ? "file" : "encoding", e.getMessage());
                read.put(name, null);
            }
        }
        return read;
    }

    private void tenants(At root, SiteText form, Site site) {
        Map<String, String> owners = new HashMap<>();
        for (int i = 0; i < form.getTenantCount(); i++) {
            TenantText text = form.getTenant(i);
            At at = root.item("tenant", i, text);
            Site.Tenant tenant =
                    new Site.Tenant(
                            at.text("name", null),
                            at.number("quota_per_second", 1e9, 0, 1e9),
                            at.number("batch_share", 1, 0.001, 1e6));
            if (text.getKeySha256Count() == 0) {
                at.fault("key_sha256", "missing; at least one is needed");
            }
            for (String key : text.getKeySha256List()) {
                if (!key.matches("[0-9a-f]{64}")) {
                    at.fault("key_sha256", "is not 64 lower-case hex digits");
                }
                String before = owners.put(key, tenant.name());
                if (before != null) {
                    at.fault("key_sha256", "is also a key of tenant '" + before + "'");
                }
                site.tenantsByKey.put(key, tenant);
            }
        }
        if (!form.getGuest().isEmpty()) {
            site.guest = new Site.Tenant(form.getGuest(), 1e9, 1);
        } else if (form.getTenantCount() == 0) {
            faults.add(
                    file
                            + ":1: tenant: missing; without tenants and without guest nobody is served");
        }
    }

    private void budgets(At root, SiteText form, Site site) {
        site.budget = root.grant("budget");
        site.giveBackMs = root.number("give_back_ms", 500, 0, 1e7);
        site.currency = root.text("currency", "EUR");
        Map<String, Double> rates = new HashMap<>();
        for (int i = 0; i < form.getGroupCount(); i++) {
            At at = root.item("group", i, form.getGroup(i));
            String name = at.text("name", null);
            BudgetLimits grant = at.grant("budget");
            if (site.groups.put(name, grant) != null) {
                at.fault("name", "'" + name + "' is the name of two groups");
            }
            adds(at, rates, "", grant, site.budget, "the service");
        }
        Set<String> names = new HashSet<>();
        for (int i = 0; i < form.getTenantCount(); i++) {
            TenantText text = form.getTenant(i);
            At at = root.item("tenant", i, text);
            if (!names.add(text.getName())) {
                at.fault("name", "'" + text.getName() + "' is the name of two tenants");
            }
            BudgetLimits grant = at.grant("budget");
            String group = text.getGroup().isEmpty() ? null : text.getGroup();
            if (group != null && !site.groups.containsKey(group)) {
                at.fault("group", "'" + group + "' is no group of this file");
                group = null;
            }
            adds(
                    at,
                    rates,
                    group == null ? "" : "g" + group,
                    grant,
                    group == null ? site.budget : site.groups.get(group),
                    group == null ? "the service" : "group " + group);
            Map<String, BudgetLimits> products = new LinkedHashMap<>();
            for (int j = 0; j < text.getProductCount(); j++) {
                At inner = at.item("product", j, text.getProduct(j));
                String product = inner.text("name", null);
                if (site.offersByModel.values().stream()
                        .noneMatch(o -> o.product.name.equals(product))) {
                    inner.fault("name", "'" + product + "' is no product of this file");
                }
                BudgetLimits part = inner.grant("budget");
                products.put(product, part);
                adds(inner, rates, "t" + i, part, grant, "tenant " + text.getName());
            }
            site.tenantGrants.add(new Site.TenantGrant(text.getName(), group, grant, products));
        }
        if (form.hasLeases()) {
            At at = root.one("leases", true);
            site.lends = form.getLeases().getLends();
            site.lenderHost =
                    at.text("host", site.lends && site.adminHost != null ? site.adminHost : null);
            site.lenderPort = (int) at.number("port", site.adminPort, 0, 65535);
            site.fixedShare = at.number("fixed_share", 0.2, 0.01, 1);
            site.lapseMs = at.number("lapse_ms", 1000, 50, 1e6);
            site.loanMs = at.number("answer_ms", 200, 5, 1e4);
            if (site.lends && site.adminHost == null) {
                at.fault("lends", "needs an admin address, where it is asked");
            }
        }
        if (form.hasLedger()) {
            At at = root.one("ledger", true);
            String into = at.text("folder", null);
            site.ledger = folder == null ? null : folder.resolve(into);
            site.answerWaitsMs = at.number("answer_waits_ms", 0, 0, 60_000);
            site.ledgerWaits = (int) at.number("waiting_records", 65_536, 16, 1 << 24);
        }
    }

    /** Shares that add up to more than what they are shares of can't be kept. */
    private void adds(
            At at,
            Map<String, Double> rates,
            String under,
            BudgetLimits part,
            BudgetLimits whole,
            String of) {
        if (part.hasRateLimit() && whole.hasRateLimit()) {
            double sum = rates.merge(under, part.tokensPerMs(), Double::sum);
            if (sum > whole.tokensPerMs() * (1 + 1e-9)) {
                at.fault(
                        "budget",
                        "tokens_per_second under "
                                + of
                                + " add up to "
                                + plain(sum * 1000)
                                + ", over its "
                                + plain(whole.tokensPerMs() * 1000));
            }
        }
    }

    private BatchSettings batch(At at, SiteLimits limit) {
        BatchSettings terms = new BatchSettings();
        At listen = at.one("listen", true);
        terms.host = listen.text("host", "127.0.0.1");
        terms.port = (int) listen.number("port", 8081, 0, 65535);
        String into = at.text("folder", null);
        terms.folder = folder == null ? null : folder.resolve(into);
        terms.fileBytes = (long) at.number("file_bytes", 200 << 20, 1, 1e12);
        terms.lineBytes =
                (int)
                        at.number(
                                "line_bytes",
                                (double) Math.min(limit.bodyBytes, 4 << 20),
                                100,
                                1 << 28);
        terms.lines = (long) at.number("lines", 1_000_000, 1, 1e9);
        terms.tenantBytes = (long) at.number("tenant_bytes", 10L << 30, 1, 1e15);
        terms.tenantFiles = (long) at.number("tenant_files", 20_000, 1, 1e9);
        terms.openLines = (int) at.number("open_lines", 256, 1, 100_000);
        terms.attempts = (int) at.number("attempts", 3, 1, 100);
        terms.lineMs = at.number("line_ms", 30_000, 10, 1e7);
        terms.revenue = at.number("revenue", 0.02, 0, 1);
        terms.threads = (int) at.number("threads", 16, 4, 1000);
        if (terms.openLines > limit.openGenerations) {
            at.fault(
                    "open_lines",
                    "is "
                            + terms.openLines
                            + ", over limits.open_generations "
                            + limit.openGenerations);
        }
        return terms;
    }

    private void limits(At at, SiteLimits limit) {
        limit.openGenerations = (int) at.number("open_generations", 10_000, 1, 1e7);
        limit.countCacheBytes = (long) at.number("count_cache_bytes", 64 << 20, 1 << 16, 1e11);
        limit.countThreads = (int) at.number("count_threads", 2, 1, 64);
        limit.countWaits = (int) at.number("count_waits", 2048, 1, 1e6);
        limit.connections = (int) at.number("connections", 20_000, 1, 1e7);
        limit.bodyBytes = (long) at.number("body_bytes", 32 << 20, 1000, 1 << 30);
        limit.headerBytes = (int) at.number("header_bytes", 16_384, 1000, 1 << 20);
        limit.nesting = (int) at.number("nesting", 64, 8, 1000);
        limit.messages = (int) at.number("messages", 100_000, 1, 1e6);
        limit.bodyMs = at.number("body_ms", 10_000, 10, 1e7);
        limit.idleConnectionMs = at.number("idle_connection_ms", 120_000, 1000, 1e8);
        limit.slowClientMs = at.number("slow_client_ms", 10_000, 10, 1e7);
        limit.pingMs = at.number("ping_ms", 5_000, 10, 1e7);
        limit.quietStreamMs = at.number("quiet_stream_ms", 15_000, 10, 1e7);
        limit.stopMs = at.number("stop_ms", 20_000, 0, 1e7);
        limit.answerBytes = (int) at.number("answer_bytes", 4 << 20, 1000, 1 << 30);
        limit.bytesPerToken = at.number("bytes_per_token", 4, 0.5, 20);
    }

    private void engines(At root, SiteText form, Site site) {
        At at = root.one("engines", false);
        site.terms =
                RoutingSettings.builder()
                        .routers(
                                (int)
                                        root.number(
                                                "fronts_of_service", site.fronts, site.fronts, 1e6))
                        .zone(root.text("zone", ""))
                        .maxAttempts((int) at.number("attempts", 5, 2, 100))
                        .cancellationAllowed(true)
                        .probesAllowed(form.getEngines().getMayProbe())
                        .hedgingAllowed(form.getEngines().getSecondCopies())
                        .writersCanRead(form.getEngines().getWritersRead())
                        .reportsWithAnswers(form.getEngines().getReportsWithAnswers())
                        .reportsWithProbes(form.getEngines().getReportsWithProbes())
                        .slowStartShare(at.number("cold_share", 0.3, 0.001, 1))
                        .slowStartMs(at.number("cold_ms", 15_000, 0, 1e7))
                        .overloadMultiple(at.number("tip_multiple", 2.5, 0.1, 100))
                        .overloadMs(at.number("tip_ms", 1_000, 1, 1e6))
                        .overQuotaRevenue(1)
                        .retryAfterMaxMs(
                                root.one("limits", false)
                                        .number("longest_retry_after_ms", 0, 0, 1e7))
                        .build();
        site.drainGraceMs = at.number("drain_grace_ms", 250, 1, 1e6);
        site.releaseMs = at.number("release_ms", 1000, 10, 1e6);
        site.limit.connectMs = at.number("connect_ms", 500, 1, 1e6);
        site.limit.keepAliveMs = at.number("keep_alive_ms", 30_000, 1000, 1e7);
        site.limit.connectionsPerEngine = (int) at.number("connections_per_engine", 4096, 1, 1e5);
        site.limit.connectionWaits = (int) at.number("connection_waits", 256, 0, 1e5);
        site.limit.probeMs = at.number("probe_ms", 500, 1, 1e6);
        if (site.pollMs > site.drainGraceMs / 2) {
            root.one("inventory", false)
                    .fault(
                            "poll_ms",
                            "is "
                                    + site.pollMs
                                    + ", over half of engines.drain_grace_ms "
                                    + site.drainGraceMs);
        }
    }

    /** One message of the file with the place at which it stands. */
    private final class At {
        private final TextFormatParseInfoTree tree;
        private final String name;
        private final Message form;

        At(TextFormatParseInfoTree tree, String name, Message form) {
            this.tree = tree;
            this.name = name;
            this.form = form;
        }

        At one(String field, boolean needed) {
            FieldDescriptor about = about(field);
            if (needed && !form.hasField(about)) {
                fault(field, "missing");
            }
            Message inner = (Message) form.getField(about);
            return new At(
                    form.hasField(about) && tree != null ? tree.getNestedTree(about, 0) : null,
                    name + field + ".",
                    inner);
        }

        At item(String field, int index, Message inner) {
            return new At(
                    tree.getNestedTree(about(field), index),
                    name + field + "[" + index + "].",
                    inner);
        }

        String text(String field, String otherwise) {
            String value = (String) form.getField(about(field));
            if (!value.isEmpty()) {
                return value;
            }
            if (otherwise == null) {
                fault(field, "missing");
            }
            return otherwise == null ? "" : otherwise;
        }

        /** The value, or what stands in where it is absent (NaN: it must not be), within bounds. */
        double number(String field, double otherwise, double least, double most) {
            FieldDescriptor about = about(field);
            double value = ((Number) form.getField(about)).doubleValue();
            boolean written = tree != null && !tree.getLocations(about).isEmpty();
            if (!written && value == 0) {
                if (Double.isNaN(otherwise)) {
                    fault(field, "missing");
                    return least;
                }
                return otherwise;
            }
            if (!(value >= least && value <= most)) {
                fault(field, "is " + value + "; expected " + plain(least) + " to " + plain(most));
                return least;
            }
            return value;
        }

        /** A budget; what is not written is not limited. */
        BudgetLimits grant(String field) {
            if (!form.hasField(about(field))) {
                return BudgetLimits.UNLIMITED;
            }
            At at = one(field, true);
            double perS =
                    at.number(
                            "tokens_per_second",
                            Double.POSITIVE_INFINITY,
                            0,
                            Double.POSITIVE_INFINITY);
            return new BudgetLimits(
                    perS / 1000,
                    at.number("burst_tokens", perS * 10, 0, Double.POSITIVE_INFINITY),
                    at.number(
                            "tokens_at_once",
                            Double.POSITIVE_INFINITY,
                            1,
                            Double.POSITIVE_INFINITY),
                    at.number(
                            "tokens_per_month",
                            Double.POSITIVE_INFINITY,
                            0,
                            Double.POSITIVE_INFINITY));
        }

        /** A price; 0 where it is not written. */
        BigDecimal money(String field) {
            String value = text(field, "0");
            if (!value.matches("\\d{1,9}(\\.\\d{1,9})?")) {
                fault(field, "is '" + value + "'; expected a decimal like 2.50");
                return BigDecimal.ZERO;
            }
            return new BigDecimal(value);
        }

        int line(String field) {
            if (tree == null) {
                return 1;
            }
            for (TextFormatParseLocation place : tree.getLocations(about(field))) {
                return place.getLine() + 1;
            }
            int first = Integer.MAX_VALUE;
            for (FieldDescriptor other : form.getDescriptorForType().getFields()) {
                for (TextFormatParseLocation at : tree.getLocations(other)) {
                    first = Math.min(first, at.getLine() + 1);
                }
            }
            return first == Integer.MAX_VALUE ? 1 : first;
        }

        void fault(String field, String what) {
            faults.add(file + ":" + line(field) + ": " + name + field + ": " + what);
        }

        private FieldDescriptor about(String field) {
            return form.getDescriptorForType().findFieldByName(field);
        }
    }

    private static String plain(double value) {
        return value == Math.rint(value) && value < 1e15
                ? Long.toString((long) value)
                : Double.toString(value);
    }
}
