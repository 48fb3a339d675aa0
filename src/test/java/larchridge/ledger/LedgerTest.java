package larchridge.ledger;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.math.BigDecimal;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class LedgerTest {
    private static final long ENDED_AT_MS = 1_780_000_000_000L;

    @TempDir private Path folder;

    private static Usage usage(String billId, long outputTokens) {
        return new Usage(billId, "t", "p", ENDED_AT_MS, "streamed", 100, 40, outputTokens, 5, 2);
    }

    private static void write(Ledger ledger, Usage usage) {
        long before = ledger.writtenRecords();
        assertTrue(ledger.offer(usage));
        while (ledger.writtenRecords() == before) {
            Thread.onSpinWait();
        }
    }

    private static UsageTotal total(Ledger ledger) throws LedgerException {
        return ledger.totals(null).values().stream().findFirst().orElse(UsageTotal.ZERO);
    }

    /** Copies the ledger's files as a kill at this moment would leave them. */
    private Path copyAsAfterKill(String name) throws IOException {
        Path copy = folder.resolve(name);
        Files.createDirectories(copy);
        try (Stream<Path> files = Files.list(folder.resolve("ledger"))) {
            for (Path file : files.toList()) {
                if (!file.getFileName().toString().equals("LOCK")) {
                    Files.copy(file, copy.resolve(file.getFileName()));
                }
            }
        }
        return copy;
    }

    @Test
    void repeatedRecordIsBilledOnce() throws Exception {
        try (Ledger ledger = Ledger.open(folder.resolve("ledger"), 100)) {
            write(ledger, usage("a", 10));
            write(ledger, usage("a", 10));
            assertEquals(new UsageTotal(1, 100, 40, 10, 5), total(ledger));
            assertEquals(List.of(), ledger.verify());
        }
    }

    @Test
    void retryIsBilledForTheLongerAnswer() throws Exception {
        try (Ledger ledger = Ledger.open(folder.resolve("ledger"), 100)) {
            write(ledger, usage("k", 3));
            write(ledger, usage("k", 10));
            assertEquals(new UsageTotal(1, 100, 40, 10, 5 + 5 + 103), total(ledger));
            assertEquals(List.of(), ledger.verify());
        }
    }

    @Test
    void writtenRecordsSurviveAKill() throws Exception {
        try (Ledger ledger = Ledger.open(folder.resolve("ledger"), 100)) {
            for (int i = 0; i < 20; i++) {
                write(ledger, usage("g" + i, i));
                try (Ledger after = Ledger.open(copyAsAfterKill("copy" + i), 100)) {
                    assertEquals(i + 1, total(after).generations());
                    assertEquals(List.of(), after.verify());
                }
            }
        }
    }

    @Test
    void truncatedLogYieldsTheRecordsWhollyInIt() throws Exception {
        List<Long> logSizes = new ArrayList<>();
        try (Ledger ledger = Ledger.open(folder.resolve("ledger"), 100)) {
            for (int i = 0; i < 4; i++) {
                write(ledger, usage("g" + i, i));
                logSizes.add(Files.size(log(folder.resolve("ledger"))));
            }
            Path whole = copyAsAfterKill("whole");
            byte[] bytes = Files.readAllBytes(log(whole));
            for (int cut = 0; cut <= bytes.length; cut += cut + 40 < bytes.length ? 7 : 1) {
                Path copy = copyAsAfterKill("cut" + cut);
                Files.write(log(copy), java.util.Arrays.copyOf(bytes, cut));
                int acknowledged = 0;
                for (long logSize : logSizes) {
                    acknowledged += logSize <= cut ? 1 : 0;
                }
                try (Ledger after = Ledger.open(copy, 100)) {
                    assertEquals(acknowledged, total(after).generations(), "cut at " + cut);
                    assertEquals(List.of(), after.verify());
                }
            }
        }
    }

    private static Path log(Path ledgerFolder) throws IOException {
        try (Stream<Path> files = Files.list(ledgerFolder)) {
            return files.filter(f -> f.toString().endsWith(".log")).findFirst().orElseThrow();
        }
    }

    @Test
    void offerDoesNotWaitForRoomInTheQueue() throws Exception {
        try (Ledger ledger = Ledger.open(folder.resolve("ledger"), 16)) {
            int accepted = 0;
            while (ledger.offer(usage("g" + accepted, 1)) && accepted < 1_000_000) {
                accepted++;
            }
            assertTrue(accepted >= 16);
        }
    }

    @Test
    void secondWriterIsRejectedAndAReaderIsNot() throws Exception {
        Path ledgerFolder = folder.resolve("ledger");
        try (Ledger ledger = Ledger.open(ledgerFolder, 100)) {
            write(ledger, usage("a", 10));
            assertThrows(LedgerException.class, () -> Ledger.open(ledgerFolder, 100));
            try (Ledger reader = Ledger.openReadOnly(ledgerFolder)) {
                assertEquals(1, total(reader).generations());
            }
        }
    }

    @Test
    void pricesAreExact() {
        Price price =
                new Price(new BigDecimal("0.10"), new BigDecimal("0.01"), new BigDecimal("0.30"));
        UsageTotal total = new UsageTotal(1, 3, 1, 1, 0);
        assertEquals(new BigDecimal("0.00000051"), price.costOf(total));
        assertEquals("0.01", Price.formatMoney(new BigDecimal("0.005")));
        assertFalse(price.costOf(UsageTotal.ZERO).signum() != 0);
    }

    @Test
    void callbackRunsOnceTheRecordIsOnDisk() throws Exception {
        try (Ledger ledger = Ledger.open(folder.resolve("ledger"), 100)) {
            java.util.concurrent.CompletableFuture<Void> onDisk =
                    new java.util.concurrent.CompletableFuture<>();
            assertTrue(ledger.offer(usage("a", 10), () -> onDisk.complete(null)));
            onDisk.get(5, java.util.concurrent.TimeUnit.SECONDS);
            try (Ledger copy = Ledger.openReadOnly(copyAsAfterKill("copy"))) {
                assertEquals(10, total(copy).outputTokens());
            }
        }
    }

    /** A second attempt that ends after the response was recorded adds its waste to the bill. */
    @Test
    void lateWasteIsAddedToItsBill() throws Exception {
        try (Ledger ledger = Ledger.open(folder.resolve("ledger"), 100)) {
            write(ledger, usage("a", 10));
            write(ledger, new Usage("a", "t", "p", ENDED_AT_MS, "waste", 0, 0, 0, 100, 1));
            assertEquals(new UsageTotal(1, 100, 40, 10, 105), total(ledger));
            assertEquals(List.of(), ledger.verify());
        }
    }
}
