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
    private static final long AT = 1_780_000_000_000L;

    @TempDir private Path folder;

    private static Usage usage(String id, long out) {
        return new Usage(id, "t", "p", AT, "streamed", 100, 40, out, 5, 2);
    }

    private static void write(Ledger ledger, Usage usage) {
        long before = ledger.writtenRecords();
        assertTrue(ledger.offer(usage));
        while (ledger.writtenRecords() == before) {
            Thread.onSpinWait();
        }
    }

    private static UsageTotal sum(Ledger ledger) throws LedgerException {
        return ledger.totals(null).values().stream().findFirst().orElse(UsageTotal.ZERO);
    }

    /** As after a kill: what was on disk at that moment, opened anew. */
    private Path killed(String name) throws IOException {
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
    void recordIsBilledOnceHoweverOftenItComes() throws Exception {
        try (Ledger ledger = Ledger.open(folder.resolve("ledger"), 100)) {
            write(ledger, usage("a", 10));
            write(ledger, usage("a", 10));
            assertEquals(new UsageTotal(1, 100, 40, 10, 5), sum(ledger));
            assertEquals(List.of(), ledger.verify());
        }
    }

    @Test
    void clientThatAsksAgainPaysForTheLongerAnswer() throws Exception {
        try (Ledger ledger = Ledger.open(folder.resolve("ledger"), 100)) {
            write(ledger, usage("k", 3));
            write(ledger, usage("k", 10));
            assertEquals(new UsageTotal(1, 100, 40, 10, 5 + 5 + 103), sum(ledger));
            assertEquals(List.of(), ledger.verify());
        }
    }

    @Test
    void whatWasWrittenSurvivesAKill() throws Exception {
        try (Ledger ledger = Ledger.open(folder.resolve("ledger"), 100)) {
            for (int i = 0; i < 20; i++) {
                write(ledger, usage("g" + i, i));
                try (Ledger after = Ledger.open(killed("copy" + i), 100)) {
                    assertEquals(i + 1, sum(after).generations());
                    assertEquals(List.of(), after.verify());
                }
            }
        }
    }

    @Test
    void logCutAtEveryByteGivesABeginningOfIt() throws Exception {
        List<Long> ends = new ArrayList<>();
        try (Ledger ledger = Ledger.open(folder.resolve("ledger"), 100)) {
            for (int i = 0; i < 4; i++) {
                write(ledger, usage("g" + i, i));
                ends.add(Files.size(log(folder.resolve("ledger"))));
            }
            Path whole = killed("whole");
            byte[] bytes = Files.readAllBytes(log(whole));
            for (int cut = 0; cut <= bytes.length; cut += cut + 40 < bytes.length ? 7 : 1) {
                Path copy = killed("cut" + cut);
                Files.write(log(copy), java.util.Arrays.copyOf(bytes, cut));
                int acknowledged = 0;
                for (long end : ends) {
                    acknowledged += end <= cut ? 1 : 0;
                }
                try (Ledger after = Ledger.open(copy, 100)) {
                    assertEquals(acknowledged, sum(after).generations(), "cut at " + cut);
                    assertEquals(List.of(), after.verify());
                }
            }
        }
    }

    private static Path log(Path of) throws IOException {
        try (Stream<Path> files = Files.list(of)) {
            return files.filter(f -> f.toString().endsWith(".log")).findFirst().orElseThrow();
        }
    }

    @Test
    void fullQueueSaysNoInsteadOfWaiting() throws Exception {
        try (Ledger ledger = Ledger.open(folder.resolve("ledger"), 16)) {
            int taken = 0;
            while (ledger.offer(usage("g" + taken, 1)) && taken < 1_000_000) {
                taken++;
            }
            assertTrue(taken >= 16);
        }
    }

    @Test
    void secondWriterIsTurnedAwayAndAReaderIsNot() throws Exception {
        Path at = folder.resolve("ledger");
        try (Ledger ledger = Ledger.open(at, 100)) {
            write(ledger, usage("a", 10));
            assertThrows(LedgerException.class, () -> Ledger.open(at, 100));
            try (Ledger look = Ledger.openReadOnly(at)) {
                assertEquals(1, sum(look).generations());
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
    void whoWaitsIsToldWhenTheRecordIsOnDisk() throws Exception {
        try (Ledger ledger = Ledger.open(folder.resolve("ledger"), 100)) {
            java.util.concurrent.CompletableFuture<Void> told =
                    new java.util.concurrent.CompletableFuture<>();
            assertTrue(ledger.offer(usage("a", 10), () -> told.complete(null)));
            told.get(5, java.util.concurrent.TimeUnit.SECONDS);
            try (Ledger copy = Ledger.openReadOnly(killed("copy"))) {
                assertEquals(10, sum(copy).outputTokens());
            }
        }
    }

    /** What a second attempt did after the answer was recorded is waste of the same bill. */
    @Test
    void lateWasteIsAddedToItsBill() throws Exception {
        try (Ledger ledger = Ledger.open(folder.resolve("ledger"), 100)) {
            write(ledger, usage("a", 10));
            write(ledger, new Usage("a", "t", "p", AT, "waste", 0, 0, 0, 100, 1));
            assertEquals(new UsageTotal(1, 100, 40, 10, 105), sum(ledger));
            assertEquals(List.of(), ledger.verify());
        }
    }
}
