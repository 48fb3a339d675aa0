package larchridge.enginelink;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import larchridge.state.Report;
import org.junit.jupiter.api.Test;

class LoadReportTest {
    @Test
    void headerInBothFormsIsRead() {
        Report text =
                LoadReport.ofHeader(
                        "TEXT named_metrics.num_requests_running=3, "
                                + "named_metrics.num_requests_waiting=2,named_metrics.kv_cache_usage_perc=0.5");
        Report json =
                LoadReport.ofHeader(
                        "JSON {\"named_metrics\":{\"num_requests_running\":3,"
                                + "\"num_requests_waiting\":2,\"kv_cache_usage_perc\":0.5}}");
        assertEquals(new Report(5, 2, 0.5, Double.NaN), text);
        assertEquals(text, json);
    }

    @Test
    void nonsenseTellsNothing() {
        assertNull(LoadReport.ofHeader(null));
        assertNull(LoadReport.ofHeader("JSON {"));
        assertNull(LoadReport.ofHeader("BIN abc"));
        assertNull(LoadReport.ofHeader("TEXT named_metrics.num_requests_running=-1"));
        assertNull(LoadReport.ofPage("<html>"));
    }

    @Test
    void pageWithLabelsAndCommentsIsRead() {
        Report page =
                LoadReport.ofPage(
                        "# HELP x\nvllm:num_requests_running{model_name=\"a b\"} 4.0\n"
                                + "vllm:num_requests_waiting 1\nvllm:gpu_cache_usage_perc 0.25\nvllm:other nan\n");
        assertEquals(5, page.inflight());
        assertEquals(0.25, page.heldShare());
        assertTrue(Double.isNaN(page.toRead()));
    }
}
