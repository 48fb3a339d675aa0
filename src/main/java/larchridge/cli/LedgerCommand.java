package larchridge.cli;

import java.nio.file.Path;
import java.util.List;
import larchridge.ledger.Ledger;
import larchridge.ledger.LedgerException;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** Maintains a ledger. */
@Command(
        name = "ledger",
        mixinStandardHelpOptions = true,
        description = "Verify, export or compact a ledger.")
final class LedgerCommand {
    @Command(
            name = "verify",
            mixinStandardHelpOptions = true,
            description =
                    "Recompute the totals from all records and compare them with the stored ones; "
                            + "also possible while a service writes. Exit code 1: they differ.")
    int verify(@Parameters(paramLabel = "FOLDER") Path folder) {
        try (Ledger ledger = Ledger.openReadOnly(folder)) {
            List<String> differences = ledger.verify();
            differences.forEach(System.out::println);
            System.out.println(
                    folder
                            + ": "
                            + (differences.isEmpty()
                                    ? "good"
                                    : differences.size() + " differences"));
            return differences.isEmpty() ? 0 : 1;
        } catch (LedgerException e) {
            System.err.println(e.getMessage());
            return 1;
        }
    }

    @Command(
            name = "export",
            mixinStandardHelpOptions = true,
            description = "Print every record as CSV.")
    int export(@Parameters(paramLabel = "FOLDER") Path folder) {
        try (Ledger ledger = Ledger.openReadOnly(folder)) {
            System.out.println(
                    "id,tenant,product,at_ms,kind,prompt_tokens,kept_tokens,answer_tokens,wasted_tokens,attempts");
            ledger.forEachRecord(
                    usage ->
                            System.out.println(
                                    usage.billId()
                                            + ","
                                            + usage.tenant()
                                            + ","
                                            + usage.product()
                                            + ","
                                            + usage.endedAtMs()
                                            + ","
                                            + usage.outcome()
                                            + ","
                                            + usage.promptTokens()
                                            + ","
                                            + usage.cachedTokens()
                                            + ","
                                            + usage.outputTokens()
                                            + ","
                                            + usage.wastedTokens()
                                            + ","
                                            + usage.attempts()));
            return 0;
        } catch (LedgerException e) {
            System.err.println(e.getMessage());
            return 1;
        }
    }

    @Command(
            name = "compact",
            mixinStandardHelpOptions = true,
            description = "Merge the files on disk. No service may be writing to the ledger.")
    int compact(@Parameters(paramLabel = "FOLDER") Path folder) {
        try (Ledger ledger = Ledger.open(folder, 2)) {
            ledger.compact();
            return 0;
        } catch (LedgerException e) {
            System.err.println(e.getMessage());
            return 1;
        }
    }
}
