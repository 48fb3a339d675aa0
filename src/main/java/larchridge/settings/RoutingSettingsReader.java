package larchridge.settings;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import larchridge.state.DeduplicationScope;
import larchridge.state.Effect;
import larchridge.state.LoadReport;
import larchridge.state.Role;
import larchridge.state.RoutingSettings;
import larchridge.state.TenantQuota;
import larchridge.state.TrafficClass;

/**
 * What the settings object of a deployment says, turned into the few figures that the module, an
 * adapter and a node use. The same object comes on the bench's wire and in a node's configuration.
 * Times are milliseconds.
 */
public final class RoutingSettingsReader {
    public final RoutingSettings terms = new RoutingSettings();
    public final Map<String, TrafficClass> products = new LinkedHashMap<>();
    public final Map<String, TenantQuota> accounts = new LinkedHashMap<>();
    public final Map<String, Role> roles = new LinkedHashMap<>();

    /** Tokens that a kind of engine has memory for. */
    public final Map<String, Double> memory = new LinkedHashMap<>();

    /** How long clients of a product wait in all. */
    public final Map<String, Double> patienceMs = new LinkedHashMap<>();

    /** Names of the figures of load reports, in the order told. */
    public final List<String> reportFields = new ArrayList<>();

    public double connectMs;

    /** After so long without use an engine closes a connection. */
    public double keepAliveMs;

    public double drainGraceMs;

    /** Within this a held state is to be used or let go of. */
    public double releaseMs;

    private RoutingSettingsReader() {}

    /** Reads the object; seed is the one of the instance that it was given to. */
    public static RoutingSettingsReader read(JsonNode env, long seed)
            throws InvalidSettingsException {
        if (env == null || !env.isObject()) {
            throw new InvalidSettingsException("is no JSON object; expected an object");
        }
        RoutingSettingsReader given = new RoutingSettingsReader();
        JsonNode family = env.path("family_info");
        JsonNode limits = env.path("limits");
        JsonNode rules = env.path("invariants");
        JsonNode reporting = env.path("reporting");
        RoutingSettings terms = given.terms;
        terms.seed = seed;
        terms.routers = Math.max(1, (int) number(env, "n_instances", 1));
        terms.zone = env.path("az").asText("");
        given.readProducts(env.path("request_classes"), family);
        given.readAccounts(env.path("accounts"));
        given.readKinds(env.path("host_types"), family);
        terms.maxAttempts = (int) number(limits, "max_attempts", Integer.MAX_VALUE);
        terms.cancellationAllowed = flag(limits, "may_cancel");
        terms.probesAllowed = flag(limits, "may_probe");
        terms.hedgingAllowed = flag(limits, "parallel_tries");
        terms.writersCanRead = flag(family, "local_read");
        terms.endpointListPolled = env.path("discovery").asText("push").equals("ask");
        String source = reporting.path("source").asText("off");
        terms.reportsWithAnswers = source.equals("inline");
        terms.reportsWithProbes = !source.equals("off");
        reporting.path("fields").forEach(field -> given.reportFields.add(field.asText()));
        terms.retryAfterMaxMs =
                flag(limits, "retry_after") ? ms(limits, "max_retry_after_s", 0) : 0;
        terms.slowStartShare = number(rules, "cold_share", 1);
        terms.slowStartMs = ms(rules, "cold_s", 0);
        terms.overloadMultiple = number(rules, "overload_factor", 1);
        terms.overloadMs = ms(rules, "tip_after_s", 1);
        terms.overQuotaRevenue = number(env, "over_share_worth", 1);
        given.connectMs = ms(limits, "dial_timeout_s", 1);
        given.keepAliveMs = ms(limits, "keepalive_s", 15);
        given.drainGraceMs = ms(rules, "stop_sending_within_s", 0);
        given.releaseMs = ms(family, "release_within_s", 1);
        return given;
    }

    private void readProducts(JsonNode classes, JsonNode family) throws InvalidSettingsException {
        int i = 0;
        for (JsonNode node : classes) {
            String name = node.path("name").asText("");
            if (name.isEmpty()) {
                throw new InvalidSettingsException(
                        "request_classes[" + i + "].name is missing; expected a name");
            }
            double slo = ms(node, "slo_s", 1);
            Effect effect =
                    switch (node.path("repeat").asText("side_effect")) {
                        case "pure" -> Effect.IDEMPOTENT;
                        case "token" -> Effect.DEDUPLICATED;
                        default -> Effect.SIDE_EFFECTING;
                    };
            DeduplicationScope span =
                    switch (node.path("group").asText("cell")) {
                        case "all" -> DeduplicationScope.ALL;
                        case "zone" -> DeduplicationScope.ZONE;
                        default -> DeduplicationScope.RACK;
                    };
            double perThousand = family.path("aim_us_per_1000_prompt_tokens").path(i).asDouble(0);
            products.put(
                    name,
                    new TrafficClass(
                            name,
                            effect,
                            span,
                            ms(node, "memory_span_s", 0),
                            number(node, "worth", 1),
                            number(node, "late_worth", 0),
                            slo,
                            perThousand / 1e6,
                            family.path("token_aim_s").path(i).asDouble(0.06) * 1000));
            patienceMs.put(name, ms(node, "give_up_s", slo / 1000));
            i++;
        }
    }

    private void readAccounts(JsonNode nodes) throws InvalidSettingsException {
        for (JsonNode node : nodes) {
            String name = node.path("name").asText("");
            accounts.put(name, new TenantQuota(name, number(node, "quota_per_s", 0)));
        }
    }

    private void readKinds(JsonNode kinds, JsonNode family) {
        int i = 0;
        for (JsonNode node : kinds) {
            Role role =
                    switch (family.path("stage_of_kind").path(i).asText("both")) {
                        case "read" -> Role.READER;
                        case "write" -> Role.WRITER;
                        default -> Role.BOTH;
                    };
            roles.put(node.asText(), role);
            memory.put(node.asText(), family.path("kv_tokens").path(i).asDouble(Double.NaN));
            i++;
        }
    }

    /** A load report from its figures by name; a figure that is not there is NaN. */
    public static <E extends Exception> LoadReport report(Figures<E> figures) throws E {
        return new LoadReport(
                figures.named("concurrent"),
                figures.named("depth"),
                figures.named("x0"),
                figures.named("x1") * 1000);
    }

    /** Figures by the names that the settings use. */
    public interface Figures<E extends Exception> {
        /** The figure, or NaN. */
        double named(String name) throws E;
    }

    private static double ms(JsonNode node, String key, double fallbackSeconds)
            throws InvalidSettingsException {
        return number(node, key, fallbackSeconds) * 1000;
    }

    private static double number(JsonNode node, String key, double fallback)
            throws InvalidSettingsException {
        JsonNode value = node.path(key);
        if (value.isMissingNode() || value.isNull()) {
            return fallback;
        }
        if (!value.isNumber()) {
            throw new InvalidSettingsException(
                    key + " is '" + value.asText() + "'; expected a number");
        }
        return value.doubleValue();
    }

    private static boolean flag(JsonNode node, String key) {
        JsonNode value = node.path(key);
        return value.isBoolean() ? value.booleanValue() : value.asInt(0) != 0;
    }
}
