package larchridge.benchlink;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.LinkedHashMap;
import java.util.Map;
import larchridge.state.Account;
import larchridge.state.Effect;
import larchridge.state.Product;
import larchridge.state.Role;
import larchridge.state.Span;
import larchridge.state.Terms;

/** Reads the settings that an instance is started with, and the names used in them. */
final class EnvReader {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    final Terms terms = new Terms();
    final Map<String, Product> products = new LinkedHashMap<>();
    final Map<String, Account> accounts = new LinkedHashMap<>();
    final Map<String, Role> roles = new LinkedHashMap<>();
    final Map<String, Double> memory = new LinkedHashMap<>();

    private final Line line;

    EnvReader(Line line) throws BadLine {
        this.line = line;
        JsonNode env;
        try {
            env = MAPPER.readTree(line.rest("env"));
        } catch (JsonProcessingException e) {
            throw line.bad("member env is broken JSON; expected an object (" + e.getOriginalMessage() + ")");
        }
        if (env == null || !env.isObject()) {
            throw line.bad("member env is no JSON object; expected an object");
        }
        JsonNode family = env.path("family_info");
        JsonNode limits = env.path("limits");
        JsonNode rules = env.path("invariants");
        JsonNode reporting = env.path("reporting");
        terms.seed = line.whole("seed");
        terms.fronts = Math.max(1, (int) number(env, "n_instances", 1));
        terms.zone = env.path("az").asText("");
        readProducts(env.path("request_classes"), family);
        readAccounts(env.path("accounts"));
        readKinds(env.path("host_types"), family);
        terms.maxLegs = (int) number(limits, "max_attempts", Integer.MAX_VALUE);
        terms.mayCancel = flag(limits, "may_cancel");
        terms.mayProbe = flag(limits, "may_probe");
        terms.maySendCopies = flag(limits, "parallel_tries");
        terms.writersRead = flag(family, "local_read");
        terms.listIsAsked = env.path("discovery").asText("push").equals("ask");
        String source = reporting.path("source").asText("off");
        terms.reportsWithAnswers = source.equals("inline");
        terms.reportsWithProbes = !source.equals("off");
        terms.comeBackMaxMs = flag(limits, "retry_after") ? ms(limits, "max_retry_after_s", 0) : 0;
        terms.coldShare = number(rules, "cold_share", 1);
        terms.coldMs = ms(rules, "cold_s", 0);
        terms.tipMultiple = number(rules, "overload_factor", 1);
        terms.tipMs = ms(rules, "tip_after_s", 1);
        terms.overShareRevenue = number(env, "over_share_worth", 1);
    }

    private void readProducts(JsonNode classes, JsonNode family) throws BadLine {
        int i = 0;
        for (JsonNode node : classes) {
            String name = node.path("name").asText("");
            if (name.isEmpty()) {
                throw line.bad("member env: request_classes[" + i + "].name is missing; expected a name");
            }
            double slo = ms(node, "slo_s", 1);
            Effect effect = switch (node.path("repeat").asText("side_effect")) {
                case "pure" -> Effect.IDEMPOTENT;
                case "token" -> Effect.DEDUPLICATED;
                default -> Effect.SIDE_EFFECTING;
            };
            Span span = switch (node.path("group").asText("cell")) {
                case "all" -> Span.ALL;
                case "zone" -> Span.ZONE;
                default -> Span.RACK;
            };
            double perThousand = family.path("aim_us_per_1000_prompt_tokens").path(i).asDouble(0);
            products.put(name, new Product(name, effect, span, ms(node, "memory_span_s", 0),
                    number(node, "worth", 1), number(node, "late_worth", 0), slo, perThousand / 1e6,
                    family.path("token_aim_s").path(i).asDouble(0.06) * 1000));
            i++;
        }
    }

    private void readAccounts(JsonNode nodes) throws BadLine {
        for (JsonNode node : nodes) {
            String name = node.path("name").asText("");
            accounts.put(name, new Account(name, number(node, "quota_per_s", 0)));
        }
    }

    private void readKinds(JsonNode kinds, JsonNode family) {
        int i = 0;
        for (JsonNode node : kinds) {
            Role role = switch (family.path("stage_of_kind").path(i).asText("both")) {
                case "read" -> Role.READER;
                case "write" -> Role.WRITER;
                default -> Role.BOTH;
            };
            roles.put(node.asText(), role);
            memory.put(node.asText(), family.path("kv_tokens").path(i).asDouble(Double.NaN));
            i++;
        }
    }

    private double ms(JsonNode node, String key, double fallbackSeconds) throws BadLine {
        return number(node, key, fallbackSeconds) * 1000;
    }

    private double number(JsonNode node, String key, double fallback) throws BadLine {
        JsonNode value = node.path(key);
        if (value.isMissingNode() || value.isNull()) {
            return fallback;
        }
        if (!value.isNumber()) {
            throw line.bad("member env: " + key + " is '" + value.asText() + "'; expected a number");
        }
        return value.doubleValue();
    }

    private static boolean flag(JsonNode node, String key) {
        JsonNode value = node.path(key);
        return value.isBoolean() ? value.booleanValue() : value.asInt(0) != 0;
    }
}
