package larchridge.systemtest;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import larchridge.ledger.Usage;
import larchridge.site.Site;

/**
 * Compares what fronts wrote in their ledgers with what clients and engines saw. A pure function
 * over both.
 */
public final class BillingChecker {
    /** One tenant's product. */
    public static final class Row {
        public final String tenant;
        public final String product;
        public int operations;

        /**
         * Tokens that came to clients, of answers that ended before their clients and fronts did.
         */
        public long got;

        /** The same operations' answer tokens by the ledgers. */
        public long billed;

        /** Prompt tokens billed, of all operations. */
        public long prompt;

        public long wasted;

        /** Operations of clients that left: billed at least what had come. */
        public int left;

        public int leftUnderBilled;

        /** Operations that a killed front held: in the tenant's favour. */
        public int held;

        /**
         * Operations answered so shortly before their front was killed that no record was on disk,
         * and their tokens.
         */
        public int unwritten;

        public long unwrittenTokens;
        public int differ;

        Row(String tenant, String product) {
            this.tenant = tenant;
            this.product = product;
        }
    }

    /** A record is on disk within this time, or its front was killed first. */
    private static final double ON_DISK_MS = 500;

    private BillingChecker() {}

    /** One operation: the most that any of its tries got, and how its tries ended. */
    private static final class Operation {
        String tenant;
        String product;
        long got;
        boolean left;
        boolean lost;
        boolean nearKill;
    }

    /** Rows by tenant and product; records of all fronts, one list each. */
    public static List<Row> of(List<TrafficEvent> log, List<Usage> records) {
        Map<String, Operation> operations = new TreeMap<>();
        List<TrafficEvent> kills =
                log.stream().filter(seen -> seen.kind() == TrafficEvent.Kind.FRONT_KILLED).toList();
        for (TrafficEvent seen : log) {
            if (seen.tag() == null || seen.rid() == null) {
                continue;
            }
            switch (seen.kind()) {
                case ASKED -> {
                    Operation one =
                            operations.computeIfAbsent(seen.operation(), key -> new Operation());
                    one.tenant = seen.rid();
                    one.product = seen.word();
                }
                case FINAL -> {
                    Operation one = operations.get(seen.operation());
                    one.got = Math.max(one.got, (long) seen.amount());
                    one.nearKill |=
                            kills.stream()
                                    .anyMatch(
                                            k ->
                                                    k.where() == seen.where()
                                                            && k.ms() >= seen.ms()
                                                            && k.ms() < seen.ms() + ON_DISK_MS);
                }
                case LEFT -> {
                    Operation one = operations.get(seen.operation());
                    one.left = true;
                    one.got = Math.max(one.got, (long) seen.amount());
                }
                case LOST -> operations.get(seen.operation()).lost = true;
                default -> {}
            }
        }
        Map<String, List<Usage>> byBill = new HashMap<>();
        records.forEach(
                usage ->
                        byBill.computeIfAbsent(usage.billId(), key -> new ArrayList<>())
                                .add(usage));
        Map<String, Row> rows = new TreeMap<>();
        for (Map.Entry<String, Operation> entry : operations.entrySet()) {
            Operation one = entry.getValue();
            Row row =
                    rows.computeIfAbsent(
                            one.tenant + "\n" + one.product,
                            key -> new Row(one.tenant, one.product));
            row.operations++;
            long out = 0;
            // A client that tries at two fronts has a record at each; it pays for the longer
            // answer.
            for (Usage usage :
                    byBill.getOrDefault(
                            "key " + Site.sha256(one.tenant + '\n' + entry.getKey()), List.of())) {
                out = Math.max(out, usage.outputTokens());
                row.prompt += usage.promptTokens();
                row.wasted += usage.wastedTokens();
            }
            if (one.lost) {
                row.held++;
            } else if (one.nearKill && out < one.got) {
                row.unwritten++;
                row.unwrittenTokens += one.got - out;
            } else if (one.left) {
                row.left++;
                row.leftUnderBilled += out < one.got ? 1 : 0;
            } else {
                row.got += one.got;
                row.billed += out;
                row.differ += out == one.got ? 0 : 1;
            }
        }
        return List.copyOf(rows.values());
    }

    public static String table(List<Row> rows) {
        StringBuilder text =
                new StringBuilder(
                        String.format(
                                Locale.ROOT,
                                "%-10s %-18s %10s %9s %9s %10s %9s %6s %5s %9s %7s%n",
                                "tenant",
                                "product",
                                "operations",
                                "got",
                                "billed",
                                "prompt",
                                "wasted",
                                "left",
                                "held",
                                "unwritten",
                                "differ"));
        for (Row row : rows) {
            text.append(
                    String.format(
                            Locale.ROOT,
                            "%-10s %-18s %10d %9d %9d %10d %9d %6d %5d %9d %7d%n",
                            row.tenant,
                            row.product,
                            row.operations,
                            row.got,
                            row.billed,
                            row.prompt,
                            row.wasted,
                            row.left,
                            row.held,
                            row.unwritten,
                            row.differ + row.leftUnderBilled));
        }
        return text.toString();
    }
}
