package larchridge.cli;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.math.BigDecimal;
import java.nio.file.Path;
import java.time.YearMonth;
import java.time.ZoneOffset;
import java.time.format.DateTimeParseException;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import larchridge.ledger.Ledger;
import larchridge.ledger.LedgerException;
import larchridge.ledger.Price;
import larchridge.ledger.UsageTotal;
import larchridge.site.InvalidSiteException;
import larchridge.site.Site;
import larchridge.site.SiteReader;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Prints the usage and cost of tenants. */
@Command(
        name = "bill",
        mixinStandardHelpOptions = true,
        description =
                "Print the usage of tenants in a month and its cost, by product. Wasted tokens are "
                        + "not billed.")
final class BillCommand implements Callable<Integer> {
    private enum Format {
        TABLE,
        CSV,
        JSON
    }

    @Option(
            names = "--site",
            required = true,
            paramLabel = "FILE",
            description = "site file with prices and ledger")
    private Path site;

    @Option(names = "--tenant", description = "one tenant only")
    private String tenant;

    @Option(names = "--month", description = "month such as 2026-12 (default: the current month)")
    private String month;

    @Option(names = "--format", defaultValue = "TABLE", description = "${COMPLETION-CANDIDATES}")
    private Format format;

    @Override
    public Integer call() {
        YearMonth billedMonth;
        try {
            billedMonth = month == null ? YearMonth.now(ZoneOffset.UTC) : YearMonth.parse(month);
        } catch (DateTimeParseException e) {
            System.err.println(
                    "--month: '" + month + "' is not a month; expected a value such as 2026-12");
            return 2;
        }
        try {
            Site loadedSite = SiteReader.read(site);
            if (loadedSite.ledgerFolder == null) {
                System.err.println(site + ": ledger: missing");
                return 1;
            }
            try (Ledger ledger = Ledger.openReadOnly(loadedSite.ledgerFolder)) {
                print(loadedSite, ledger.totals(billedMonth));
            }
            return 0;
        } catch (InvalidSiteException | LedgerException e) {
            System.err.println(e.getMessage());
            return 1;
        }
    }

    private void print(Site loadedSite, Map<Ledger.TotalKey, UsageTotal> totals) {
        BigDecimal sum = BigDecimal.ZERO;
        if (format == Format.TABLE) {
            System.out.printf(
                    Locale.ROOT,
                    "%-20s %-20s %11s %12s %12s %12s %12s %12s%n",
                    "tenant",
                    "product",
                    "generations",
                    "prompt",
                    "kept",
                    "answer",
                    "wasted",
                    loadedSite.currency);
        } else if (format == Format.CSV) {
            System.out.println(
                    "month,tenant,product,generations,prompt_tokens,kept_tokens,answer_tokens,"
                            + "wasted_tokens,cost,currency");
        }
        for (Map.Entry<Ledger.TotalKey, UsageTotal> entry : totals.entrySet()) {
            Ledger.TotalKey key = entry.getKey();
            if (tenant != null && !tenant.equals(key.tenant())) {
                continue;
            }
            UsageTotal total = entry.getValue();
            Price price =
                    loadedSite.prices.getOrDefault(
                            key.product(),
                            new Price(BigDecimal.ZERO, BigDecimal.ZERO, BigDecimal.ZERO));
            BigDecimal cost = price.costOf(total);
            sum = sum.add(cost);
            switch (format) {
                case TABLE ->
                        System.out.printf(
                                Locale.ROOT,
                                "%-20s %-20s %11d %12d %12d %12d %12d %12s%n",
                                key.tenant(),
                                key.product(),
                                total.generations(),
                                total.promptTokens(),
                                total.cachedTokens(),
                                total.outputTokens(),
                                total.wastedTokens(),
                                Price.formatMoney(cost));
                case CSV ->
                        System.out.println(
                                String.join(
                                        ",",
                                        key.month().toString(),
                                        quoted(key.tenant()),
                                        quoted(key.product()),
                                        Long.toString(total.generations()),
                                        Long.toString(total.promptTokens()),
                                        Long.toString(total.cachedTokens()),
                                        Long.toString(total.outputTokens()),
                                        Long.toString(total.wastedTokens()),
                                        cost.toPlainString(),
                                        loadedSite.currency));
                case JSON -> {
                    ObjectNode json = new ObjectMapper().createObjectNode();
                    json.put("month", key.month().toString())
                            .put("tenant", key.tenant())
                            .put("product", key.product())
                            .put("generations", total.generations())
                            .put("prompt_tokens", total.promptTokens())
                            .put("kept_tokens", total.cachedTokens())
                            .put("answer_tokens", total.outputTokens())
                            .put("wasted_tokens", total.wastedTokens())
                            .put("cost", cost.toPlainString())
                            .put("currency", loadedSite.currency);
                    System.out.println(json);
                }
                default -> throw new IllegalStateException(format.name());
            }
        }
        if (format == Format.TABLE) {
            System.out.println("sum " + Price.formatMoney(sum) + " " + loadedSite.currency);
        }
    }

    private static String quoted(String text) {
        return text.matches("[\\w.-]+") ? text : '"' + text.replace("\"", "\"\"") + '"';
    }
}
