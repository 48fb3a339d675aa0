package larchridge.settings;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.Collections;
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
 * Reads the JSON settings of a deployment. The same object is used in the bench protocol ({@code
 * larchridge.benchlink}) and in a node's configuration.
 */
public final class DeploymentSettingsReader {
    private final JsonNode root;
    private final JsonNode servingInfo;
    private final JsonNode limits;
    private final JsonNode checkedLimits;
    private final JsonNode reporting;
    private final Map<String, TrafficClass> trafficClasses = new LinkedHashMap<>();
    private final Map<String, TenantQuota> tenants = new LinkedHashMap<>();
    private final Map<String, Role> roles = new LinkedHashMap<>();
    private final Map<String, Double> memoryTokens = new LinkedHashMap<>();
    private final Map<String, Double> clientTimeoutMs = new LinkedHashMap<>();
    private final List<String> reportFields = new ArrayList<>();

    private DeploymentSettingsReader(JsonNode root) {
        this.root = root;
        servingInfo = root.path("family_info");
        limits = root.path("limits");
        checkedLimits = root.path("invariants");
        reporting = root.path("reporting");
    }

    /** Reads the settings; the seed is that of the router they are for. */
    public static DeploymentSettings read(JsonNode root, long seed)
            throws InvalidSettingsException {
        if (root == null || !root.isObject()) {
            throw new InvalidSettingsException("not a JSON object; expected an object");
        }
        return new DeploymentSettingsReader(root).read(seed);
    }

    private DeploymentSettings read(long seed) throws InvalidSettingsException {
        int routers = Math.max(1, (int) number(root, "n_instances", 1));
        readTrafficClasses(root.path("request_classes"));
        readTenants(root.path("accounts"));
        readEngineTypes(root.path("host_types"));
        reporting.path("fields").forEach(field -> reportFields.add(field.asText()));
        return new DeploymentSettings(
                readRouting(seed, routers),
                Collections.unmodifiableMap(trafficClasses),
                Collections.unmodifiableMap(tenants),
                Collections.unmodifiableMap(roles),
                Collections.unmodifiableMap(memoryTokens),
                Collections.unmodifiableMap(clientTimeoutMs),
                Collections.unmodifiableList(reportFields),
                ms(limits, "dial_timeout_s", 1),
                ms(limits, "keepalive_s", 15),
                ms(checkedLimits, "stop_sending_within_s", 0),
                ms(servingInfo, "release_within_s", 1));
    }

    private RoutingSettings readRouting(long seed, int routers) throws InvalidSettingsException {
        String source = reporting.path("source").asText("off");
        return RoutingSettings.builder()
                .seed(seed)
                .routers(routers)
                .zone(root.path("az").asText(""))
                .maxAttempts((int) number(limits, "max_attempts", Integer.MAX_VALUE))
                .cancellationAllowed(flag(limits, "may_cancel"))
                .probesAllowed(flag(limits, "may_probe"))
                .hedgingAllowed(flag(limits, "parallel_tries"))
                .writersCanRead(flag(servingInfo, "local_read"))
                .endpointSubscriptionRequired(root.path("discovery").asText("push").equals("ask"))
                .reportsWithAnswers(source.equals("inline"))
                .reportsWithProbes(!source.equals("off"))
                .retryAfterMaxMs(
                        flag(limits, "retry_after") ? ms(limits, "max_retry_after_s", 0) : 0)
                .slowStartShare(number(checkedLimits, "cold_share", 1))
                .slowStartMs(ms(checkedLimits, "cold_s", 0))
                .overloadMultiple(number(checkedLimits, "overload_factor", 1))
                .overloadMs(ms(checkedLimits, "tip_after_s", 1))
                .overQuotaRevenue(number(root, "over_share_worth", 1))
                .build();
    }

    private void readTrafficClasses(JsonNode classes) throws InvalidSettingsException {
        int i = 0;
        for (JsonNode node : classes) {
            String name = node.path("name").asText("");
            if (name.isEmpty()) {
                throw new InvalidSettingsException(
                        "request_classes[" + i + "].name is missing; expected a name");
            }
            double sloMs = ms(node, "slo_s", 1);
            trafficClasses.put(name, readTrafficClass(node, name, sloMs, i));
            clientTimeoutMs.put(name, ms(node, "give_up_s", sloMs / 1000));
            i++;
        }
    }

    private TrafficClass readTrafficClass(JsonNode node, String name, double sloMs, int i)
            throws InvalidSettingsException {
        double usPerThousand =
                servingInfo.path("aim_us_per_1000_prompt_tokens").path(i).asDouble(0);
        return new TrafficClass(
                name,
                effect(node),
                deduplicationScope(node),
                ms(node, "memory_span_s", 0),
                number(node, "worth", 1),
                number(node, "late_worth", 0),
                sloMs,
                usPerThousand / 1e6,
                servingInfo.path("token_aim_s").path(i).asDouble(0.06) * 1000);
    }

    private static Effect effect(JsonNode node) {
        return switch (node.path("repeat").asText("side_effect")) {
            case "pure" -> Effect.IDEMPOTENT;
            case "token" -> Effect.DEDUPLICATED;
            default -> Effect.SIDE_EFFECTING;
        };
    }

    private static DeduplicationScope deduplicationScope(JsonNode node) {
        return switch (node.path("group").asText("cell")) {
            case "all" -> DeduplicationScope.ALL;
            case "zone" -> DeduplicationScope.ZONE;
            default -> DeduplicationScope.RACK;
        };
    }

    private void readTenants(JsonNode nodes) throws InvalidSettingsException {
        for (JsonNode node : nodes) {
            String name = node.path("name").asText("");
            tenants.put(name, new TenantQuota(name, number(node, "quota_per_s", 0)));
        }
    }

    private void readEngineTypes(JsonNode engineTypes) {
        int i = 0;
        for (JsonNode node : engineTypes) {
            String engineType = node.asText();
            roles.put(engineType, role(servingInfo.path("stage_of_kind").path(i).asText("both")));
            memoryTokens.put(
                    engineType, servingInfo.path("kv_tokens").path(i).asDouble(Double.NaN));
            i++;
        }
    }

    private static Role role(String stage) {
        return switch (stage) {
            case "read" -> Role.READER;
            case "write" -> Role.WRITER;
            default -> Role.BOTH;
        };
    }

    /** Creates a load report from metrics looked up by name; missing metrics are NaN. */
    public static <E extends Exception> LoadReport toLoadReport(MetricLookup<E> metrics) throws E {
        // x0 is the fraction of memory in use, x1 the pending tokens in thousands.
        return new LoadReport(
                metrics.value("concurrent"),
                metrics.value("depth"),
                metrics.value("x0"),
                metrics.value("x1") * 1000);
    }

    /** Looks up metrics by the names used in the settings. */
    public interface MetricLookup<E extends Exception> {
        /** The value of a metric, or NaN. */
        double value(String name) throws E;
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
