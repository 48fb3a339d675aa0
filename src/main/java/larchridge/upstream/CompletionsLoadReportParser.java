package larchridge.upstream;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.HashMap;
import java.util.Map;
import larchridge.state.LoadReport;

/**
 * Parses engines' load reports: the ORCA response header {@code endpoint-load-metrics} in its text
 * and JSON forms, and the metrics page that a probe fetches (Prometheus text format). Metrics that
 * are not reported are NaN; a report that cannot be parsed, or that contains neither running nor
 * waiting requests nor the cache usage, is null.
 */
final class CompletionsLoadReportParser {
    /** The response header that carries a load report. */
    static final String HEADER = "endpoint-load-metrics";

    private static final String TEXT_FORM = "TEXT ";
    private static final String JSON_FORM = "JSON ";

    private static final String HEADER_RUNNING = "named_metrics.num_requests_running";
    private static final String HEADER_WAITING = "named_metrics.num_requests_waiting";
    private static final String HEADER_CACHE_USAGE = "named_metrics.kv_cache_usage_perc";
    private static final String HEADER_PENDING_TOKENS = "named_metrics.prompt_tokens_waiting";

    private static final String PAGE_RUNNING = "vllm:num_requests_running";
    private static final String PAGE_WAITING = "vllm:num_requests_waiting";
    private static final String PAGE_CACHE_USAGE = "vllm:kv_cache_usage_perc";

    /** Name of {@link #PAGE_CACHE_USAGE} in earlier engine versions. */
    private static final String PAGE_GPU_CACHE_USAGE = "vllm:gpu_cache_usage_perc";

    private static final String PAGE_PENDING_TOKENS = "vllm:prompt_tokens_waiting";

    /** Values at or above this are treated as not reported. */
    private static final double IMPLAUSIBLE_VALUE = 1e15;

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private CompletionsLoadReportParser() {}

    /**
     * Parses a response header; returns null unless it reports running or waiting requests or the
     * cache usage.
     */
    static LoadReport fromHeader(String header) {
        if (header == null) {
            return null;
        }
        Map<String, Double> metrics = new HashMap<>();
        if (header.startsWith(TEXT_FORM)) {
            addPairs(metrics, header.substring(TEXT_FORM.length()));
        } else if (header.startsWith(JSON_FORM)) {
            try {
                addFields(metrics, "", MAPPER.readTree(header.substring(JSON_FORM.length())));
            } catch (JsonProcessingException e) {
                return null;
            }
        } else {
            return null;
        }
        return report(
                metrics.getOrDefault(HEADER_RUNNING, Double.NaN),
                metrics.getOrDefault(HEADER_WAITING, Double.NaN),
                metrics.getOrDefault(HEADER_CACHE_USAGE, Double.NaN),
                metrics.getOrDefault(HEADER_PENDING_TOKENS, Double.NaN));
    }

    /**
     * Parses a Prometheus metrics page; returns null unless it reports running or waiting requests
     * or the cache usage.
     */
    static LoadReport fromMetricsPage(String page) {
        Map<String, Double> metrics = new HashMap<>();
        for (String line : page.split("\n")) {
            if (line.isEmpty() || line.charAt(0) == '#') {
                continue;
            }
            int space = line.lastIndexOf(' ');
            int brace = line.indexOf('{');
            if (space > 0) {
                int nameEnd = brace >= 0 && brace < space ? brace : space;
                add(metrics, line.substring(0, nameEnd), line.substring(space + 1));
            }
        }
        return report(
                metrics.getOrDefault(PAGE_RUNNING, Double.NaN),
                metrics.getOrDefault(PAGE_WAITING, Double.NaN),
                metrics.getOrDefault(
                        PAGE_CACHE_USAGE, metrics.getOrDefault(PAGE_GPU_CACHE_USAGE, Double.NaN)),
                metrics.getOrDefault(PAGE_PENDING_TOKENS, Double.NaN));
    }

    private static LoadReport report(
            double running, double waiting, double cacheUsage, double pendingTokens) {
        if (Double.isNaN(running) && Double.isNaN(waiting) && Double.isNaN(cacheUsage)) {
            return null;
        }
        double inFlight = running + (Double.isNaN(waiting) ? 0 : waiting);
        return new LoadReport(inFlight, waiting, cacheUsage, pendingTokens);
    }

    private static void addPairs(Map<String, Double> metrics, String pairs) {
        for (String pair : pairs.split(",")) {
            int equals = pair.indexOf('=');
            if (equals > 0) {
                add(metrics, pair.substring(0, equals).strip(), pair.substring(equals + 1).strip());
            }
        }
    }

    private static void addFields(Map<String, Double> metrics, String path, JsonNode node) {
        node.properties()
                .forEach(
                        field -> {
                            String name = path + field.getKey();
                            if (field.getValue().isObject()) {
                                addFields(metrics, name + ".", field.getValue());
                            } else if (field.getValue().isNumber()) {
                                add(metrics, name, field.getValue().asText());
                            }
                        });
    }

    private static void add(Map<String, Double> metrics, String name, String text) {
        try {
            double value = Double.parseDouble(text);
            if (value >= 0 && value < IMPLAUSIBLE_VALUE) {
                metrics.put(name, value);
            }
        } catch (NumberFormatException e) {
            // One malformed value does not invalidate the others.
            return;
        }
    }
}
