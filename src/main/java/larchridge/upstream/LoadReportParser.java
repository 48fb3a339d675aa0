package larchridge.upstream;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.HashMap;
import java.util.Map;
import larchridge.state.LoadReport;

/**
 * Reads what engines tell of their load: the ORCA header {@code endpoint-load-metrics} of answers
 * in its text and JSON forms, and the page that a probe gets (Prometheus text). Unknown figures are
 * NaN; what can't be read is null.
 */
final class LoadReportParser {
    static final String HEADER = "endpoint-load-metrics";
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private LoadReportParser() {}

    static LoadReport ofHeader(String header) {
        if (header == null) {
            return null;
        }
        Map<String, Double> named = new HashMap<>();
        if (header.startsWith("TEXT ")) {
            for (String pair : header.substring(5).split(",")) {
                int equals = pair.indexOf('=');
                if (equals > 0) {
                    put(
                            named,
                            pair.substring(0, equals).strip(),
                            pair.substring(equals + 1).strip());
                }
            }
        } else if (header.startsWith("JSON ")) {
            try {
                flatten(named, "", MAPPER.readTree(header.substring(5)));
            } catch (JsonProcessingException e) {
                return null;
            }
        } else {
            return null;
        }
        double running = named.getOrDefault("named_metrics.num_requests_running", Double.NaN);
        double waiting = named.getOrDefault("named_metrics.num_requests_waiting", Double.NaN);
        return report(
                running,
                waiting,
                named.getOrDefault("named_metrics.kv_cache_usage_perc", Double.NaN),
                named.getOrDefault("named_metrics.prompt_tokens_waiting", Double.NaN));
    }

    static LoadReport ofPage(String page) {
        Map<String, Double> named = new HashMap<>();
        for (String line : page.split("\n")) {
            if (line.isEmpty() || line.charAt(0) == '#') {
                continue;
            }
            int space = line.lastIndexOf(' ');
            int brace = line.indexOf('{');
            if (space > 0) {
                put(
                        named,
                        line.substring(0, brace >= 0 && brace < space ? brace : space),
                        line.substring(space + 1));
            }
        }
        double share =
                named.getOrDefault(
                        "vllm:kv_cache_usage_perc",
                        named.getOrDefault("vllm:gpu_cache_usage_perc", Double.NaN));
        return report(
                named.getOrDefault("vllm:num_requests_running", Double.NaN),
                named.getOrDefault("vllm:num_requests_waiting", Double.NaN),
                share,
                named.getOrDefault("vllm:prompt_tokens_waiting", Double.NaN));
    }

    private static LoadReport report(double running, double waiting, double share, double toRead) {
        if (Double.isNaN(running) && Double.isNaN(waiting) && Double.isNaN(share)) {
            return null;
        }
        return new LoadReport(
                running + (Double.isNaN(waiting) ? 0 : waiting), waiting, share, toRead);
    }

    private static void put(Map<String, Double> named, String name, String value) {
        try {
            double figure = Double.parseDouble(value);
            if (figure >= 0 && figure < 1e15) {
                named.put(name, figure);
            }
        } catch (NumberFormatException e) {
            // A figure that is none is not told; the others are.
            return;
        }
    }

    private static void flatten(Map<String, Double> named, String path, JsonNode node) {
        node.properties()
                .forEach(
                        field -> {
                            if (field.getValue().isObject()) {
                                flatten(named, path + field.getKey() + ".", field.getValue());
                            } else if (field.getValue().isNumber()) {
                                put(named, path + field.getKey(), field.getValue().asText());
                            }
                        });
    }
}
