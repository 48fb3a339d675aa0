package larchridge.site;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;

class SiteReaderTest {
    private static final String VALID =
            """
            listen { host: "127.0.0.1" port: 8080 }
            fronts: 2
            fronts_of_service: 9
            guest: "all"
            inventory { file: "engines.yaml" }
            product {
              name: "consulta"
              model: "c"
              effect: IDEMPOTENT
              slo_ms: 1000
              time_limit_ms: 5000
            }
            """;

    private static List<String> errorsOf(String text) {
        return assertThrows(
                        InvalidSiteException.class, () -> SiteReader.read("s", text, Path.of("/x")))
                .errors;
    }

    private static void assertError(String text, String expected) {
        List<String> errors = errorsOf(text);
        assertTrue(errors.stream().anyMatch(f -> f.startsWith(expected)), errors.toString());
    }

    @Test
    void validFileGivesEachRouterItsSettings() throws InvalidSiteException {
        Site site = SiteReader.read("s", VALID, Path.of("/x"));
        assertEquals(9, site.routingSettingsOf(0).routers());
        assertTrue(site.routingSettingsOf(0).seed() != site.routingSettingsOf(1).seed());
        assertEquals(Path.of("/x/engines.yaml"), site.engineListFile);
        assertEquals(5000, site.offeringsByModel.get("c").timeLimitMs(100));
    }

    @Test
    void unknownFieldIsReportedWithItsLine() {
        assertError(VALID.replace("slo_ms", "slo_msx"), "s:10:");
    }

    @Test
    void missingValueIsReportedWithLineAndField() {
        assertError(VALID.replace("  slo_ms: 1000\n", ""), "s:7: product[0].slo_ms: missing");
    }

    @Test
    void valueOutOfRangeIsReportedWithItsBounds() {
        assertError(
                VALID.replace("port: 8080", "port: 80800"),
                "s:1: listen.port: is 80800.0; expected 0 to 65535");
    }

    @Test
    void modelOfTwoProductsIsReportedWithBothLines() {
        assertError(
                VALID
                        + "product { name: \"d\" model: \"c\" effect: IDEMPOTENT slo_ms: 1 time_limit_ms: 2 }\n",
                "s:13: product[1].model: 'c' is also a model of the product on line 8");
    }

    @Test
    void allErrorsAreReportedAtOnce() {
        assertEquals(
                2,
                errorsOf(
                                VALID.replace("  effect: IDEMPOTENT\n", "")
                                        .replace("  slo_ms: 1000\n", ""))
                        .size());
    }

    @Test
    void pollIntervalTooLongForTheDrainGraceIsAnError() {
        assertError(
                VALID.replace("engines.yaml\"", "engines.yaml\" poll_ms: 200"),
                "s:5: inventory.poll_ms");
    }

    @Test
    void deduplicatedProductNeedsADedupSpan() {
        assertError(
                VALID.replace("IDEMPOTENT", "DEDUPLICATED"), "s:7: product[0].dedup_span: missing");
    }

    @Test
    void unlistedKeyHasNoTenantWithoutAGuest() throws InvalidSiteException {
        String key = Site.sha256("secret");
        Site site =
                SiteReader.read(
                        "s",
                        VALID.replace(
                                "guest: \"all\"",
                                "tenant { name: \"t\" key_sha256: \"" + key + "\" }"),
                        Path.of("/x"));
        assertEquals("t", site.tenantByKey("secret").name());
        assertEquals(null, site.tenantByKey("other"));
    }
}
