package larchridge.node.upstream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import larchridge.state.LoadReport;
import org.junit.jupiter.api.Test;

class ConfiguredLoadReportParserTest {
    private final ConfiguredLoadReportParser parser =
            new ConfiguredLoadReportParser(List.of("concurrent", "depth", "x0", "x1"));

    @Test
    void valuesAreReadByTheirNames() {
        LoadReport report = parser.parse("concurrent=7,x0=0.61,x1=1.5,other=4");
        assertEquals(7, report.inflight());
        assertEquals(0.61, report.memoryShare());
        assertEquals(1500, report.pendingTokens());
        assertTrue(Double.isNaN(report.queue()));
    }

    @Test
    void invalidTextIsNoReport() {
        for (String text :
                new String[] {
                    "",
                    "concurrent",
                    "concurrent=",
                    "concurrent=x",
                    "concurrent=-1",
                    "concurrent=NaN",
                    "concurrent=1e99",
                    "other=1",
                    "=,=",
                    "\u0001",
                    "concurrent=1,".repeat(200)
                }) {
            assertNull(parser.parse(text), text);
        }
    }
}
