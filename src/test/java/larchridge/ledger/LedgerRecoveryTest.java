package larchridge.ledger;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against: losing queued records when writes to the disk fail for a while. The test limits
 * the file size of the writing process, so that its writes fail, and then lifts the limit.
 */
@Timeout(60)
class LedgerRecoveryTest {
    private static final int RECORDS = 50;
    private static final long WRITE_TIMEOUT_MS = 5000;

    @TempDir Path folder;

    /**
     * The process whose file size is limited. It is a child process because a limit on this process
     * would also affect other tests.
     */
    static final class Writer {
        private static int offered;

        private Writer() {}

        public static void main(String[] args) throws Exception {
            long pid = ProcessHandle.current().pid();
            try (Ledger ledger = Ledger.open(Path.of(args[0]), 10_000)) {
                offer(ledger);
                await(ledger);
                limitFileSize(pid, "4096");
                offer(ledger);
                TimeUnit.MILLISECONDS.sleep(1000);
                if (ledger.writtenRecords() >= offered) {
                    throw new IllegalStateException(
                            "writes did not fail under the file size limit");
                }
                limitFileSize(pid, "unlimited");
                offer(ledger);
                await(ledger);
            }
            System.exit(0);
        }

        private static void offer(Ledger ledger) {
            for (int i = 0; i < RECORDS; i++) {
                ledger.offer(
                        new Usage(
                                "key " + offered++,
                                "t",
                                "p",
                                1_780_000_000_000L,
                                "streamed",
                                100,
                                40,
                                10,
                                5,
                                2));
            }
        }

        private static void await(Ledger ledger) throws InterruptedException {
            long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(WRITE_TIMEOUT_MS);
            while (ledger.writtenRecords() < offered && System.nanoTime() < end) {
                TimeUnit.MILLISECONDS.sleep(10);
            }
            if (ledger.writtenRecords() < offered) {
                throw new IllegalStateException(
                        ledger.writtenRecords() + " of " + offered + " records written");
            }
        }

        private static void limitFileSize(long pid, String limit)
                throws IOException, InterruptedException {
            new ProcessBuilder(
                            "prlimit",
                            "--pid",
                            Long.toString(pid),
                            "--fsize=" + limit + ":unlimited")
                    .inheritIO()
                    .start()
                    .waitFor();
        }
    }

    @Test
    void recordsOfferedWhileWritesFailAreWrittenAfterRecovery() throws Exception {
        String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
        Process writer =
                new ProcessBuilder(
                                java,
                                "-cp",
                                System.getProperty("java.class.path"),
                                Writer.class.getName(),
                                folder.resolve("ledger").toString())
                        .redirectErrorStream(true)
                        .start();
        String output = new String(writer.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        assertTrue(writer.waitFor(40, TimeUnit.SECONDS));
        assertEquals(0, writer.exitValue(), output);
        try (Ledger ledger = Ledger.openReadOnly(folder.resolve("ledger"))) {
            assertEquals(List.of(), ledger.verify());
            assertEquals(3 * RECORDS, ledger.totals(null).values().iterator().next().generations());
        }
    }
}
