package larchridge.upstream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import larchridge.state.LoadReport;
import org.junit.jupiter.api.Test;

class CompletionsLoadReportParserTest {
    @Test
    void headerIsParsedInBothForms() {
        LoadReport text =
                CompletionsLoadReportParser.fromHeader(
                        "TEXT named_metrics.num_requests_running=3, "
                                + "named_metrics.num_requests_waiting=2,named_metrics.kv_cache_usage_perc=0.5");
        LoadReport json =
                CompletionsLoadReportParser.fromHeader(
                        "JSON {\"named_metrics\":{\"num_requests_running\":3,"
                                + "\"num_requests_waiting\":2,\"kv_cache_usage_perc\":0.5}}");
        assertEquals(new LoadReport(5, 2, 0.5, Double.NaN), text);
        assertEquals(text, json);
    }

    @Test
    void unparsableReportIsNull() {
        assertNull(CompletionsLoadReportParser.fromHeader(null));
        assertNull(CompletionsLoadReportParser.fromHeader("JSON {"));
        assertNull(CompletionsLoadReportParser.fromHeader("BIN abc"));
        assertNull(
                CompletionsLoadReportParser.fromHeader(
                        "TEXT named_metrics.num_requests_running=-1"));
        assertNull(CompletionsLoadReportParser.fromMetricsPage("<html>"));
    }

    @Test
    void metricsPageWithLabelsAndCommentsIsParsed() {
        LoadReport page =
                CompletionsLoadReportParser.fromMetricsPage(
                        "# HELP x\nvllm:num_requests_running{model_name=\"a b\"} 4.0\n"
                                + "vllm:num_requests_waiting 1\nvllm:gpu_cache_usage_perc 0.25\nvllm:other nan\n");
        assertEquals(5, page.inflight());
        assertEquals(0.25, page.memoryShare());
        assertTrue(Double.isNaN(page.pendingTokens()));
    }
}
