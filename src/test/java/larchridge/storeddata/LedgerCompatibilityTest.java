package larchridge.storeddata;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.URISyntaxException;
import java.nio.file.Path;
import java.time.YearMonth;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import larchridge.ledger.Ledger;
import larchridge.ledger.Usage;
import larchridge.ledger.UsageTotal;
import larchridge.store.Store;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against: a change that makes existing ledgers unreadable. Opens a ledger written by the
 * build of commit f8721a5; the expected values are those of the program that wrote it, {@code
 * stored-data/f8721a5/WriteStoredData.java} in the test resources.
 */
class LedgerCompatibilityTest {
    private static final long MAY_MS = 1_780_000_000_000L;
    private static final long JUNE_MS = 1_782_678_400_000L;
    private static final YearMonth MAY = YearMonth.of(2026, 5);
    private static final YearMonth JUNE = YearMonth.of(2026, 6);
    private static final int MAX_QUEUED_RECORDS = 100;

    @TempDir private Path folder;

    @BeforeEach
    void copyStoredLedger() throws IOException, URISyntaxException {
        Path stored = Path.of(getClass().getResource("/stored-data/f8721a5").toURI());
        Store.copyFolder(stored.resolve("ledger"), folder.resolve("ledger"));
    }

    private static List<Usage> storedUsages() {
        return List.of(
                // Includes the waste of a second attempt, which was merged into this record.
                usage("bill-01", "acme", "chat", MAY_MS, "streamed", 100, 40, 25, 9, 2),
                usage("bill-02", "acme", "chat", MAY_MS + 1, "throttled", 0, 0, 0, 0, 0),
                usage("bill-03", "acme", "batch", MAY_MS + 2, "terminated", 200, 0, 7, 11, 2),
                usage("bill-04", "globex", "chat", MAY_MS + 3, "gone", 300, 128, 3, 64, 3),
                usage("bill-05", "globex", "chat", MAY_MS + 4, "waste", 0, 0, 0, 17, 1),
                usage("bill-06", "acme", "chat", JUNE_MS, "streamed", 1000, 0, 500, 0, 1),
                usage("bill-07", "globex", "chat", JUNE_MS + 1, "throttled", 0, 0, 0, 0, 0),
                usage("bill-08", "globex", "batch", JUNE_MS + 2, "streamed", 60, 20, 30, 5, 2),
                usage("bill-09", "acme", "chat", JUNE_MS + 3, "terminated", 70, 1, 2, 3, 4),
                usage("bill-10", "acme", "chat", JUNE_MS + 4, "gone", 80, 8, 0, 80, 1),
                usage("bill-11", "acme", "chat", JUNE_MS + 5, "waste", 0, 0, 0, 33, 2));
    }

    private static Usage usage(
            String billId,
            String tenant,
            String product,
            long endedAtMs,
            String outcome,
            long prompt,
            long cached,
            long output,
            long wasted,
            int attempts) {
        return new Usage(
                billId, tenant, product, endedAtMs, outcome, prompt, cached, output, wasted,
                attempts);
    }

    private static Map<Ledger.TotalKey, UsageTotal> storedTotals() {
        return Map.of(
                new Ledger.TotalKey(MAY, "acme", "batch"), new UsageTotal(1, 200, 0, 7, 11),
                new Ledger.TotalKey(MAY, "acme", "chat"), new UsageTotal(2, 100, 40, 25, 9),
                new Ledger.TotalKey(MAY, "globex", "chat"), new UsageTotal(2, 300, 128, 3, 81),
                new Ledger.TotalKey(JUNE, "acme", "chat"), new UsageTotal(4, 1150, 9, 502, 116),
                new Ledger.TotalKey(JUNE, "globex", "batch"), new UsageTotal(1, 60, 20, 30, 5),
                new Ledger.TotalKey(JUNE, "globex", "chat"), new UsageTotal(1, 0, 0, 0, 0));
    }

    private static List<Usage> records(Ledger ledger) throws Exception {
        List<Usage> usages = new ArrayList<>();
        ledger.forEachRecord(usages::add);
        return usages;
    }

    @Test
    void storedLedgerOpensReadOnly() throws Exception {
        try (Ledger ledger = Ledger.openReadOnly(folder.resolve("ledger"))) {
            assertEquals(storedUsages(), records(ledger));
            assertEquals(storedTotals(), ledger.totals(null));
            assertEquals(List.of(), ledger.verify());
        }
    }

    @Test
    void storedLedgerIsReadAndExtendedByItsOwner() throws Exception {
        Usage added = usage("bill-12", "acme", "chat", JUNE_MS + 6, "streamed", 10, 4, 3, 2, 1);
        try (Ledger ledger = Ledger.open(folder.resolve("ledger"), MAX_QUEUED_RECORDS)) {
            assertEquals(storedUsages(), records(ledger));
            assertEquals(storedTotals(), ledger.totals(null));
            assertTrue(ledger.offer(added));
        }
        try (Ledger ledger = Ledger.openReadOnly(folder.resolve("ledger"))) {
            List<Usage> expected = new ArrayList<>(storedUsages());
            expected.add(added);
            assertEquals(expected, records(ledger));
            assertEquals(
                    new UsageTotal(5, 1160, 13, 505, 118),
                    ledger.totals(JUNE).get(new Ledger.TotalKey(JUNE, "acme", "chat")));
            assertEquals(List.of(), ledger.verify());
        }
    }
}
