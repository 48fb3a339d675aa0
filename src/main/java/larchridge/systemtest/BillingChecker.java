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
 * Compares the routers' ledgers with what clients received. A pure function of the ledger records
 * and the traffic log.
 */
public final class BillingChecker {
    /** The totals of one product of one tenant. */
    public static final class Row {
        public final String tenant;
        public final String product;
        public int operations;

        /**
         * Answer tokens that clients received, of operations whose client did not disconnect and
         * whose router was not killed.
         */
        public long receivedTokens;

        /** Answer tokens of the same operations according to the ledgers. */
        public long billedTokens;

        /** Billed prompt tokens of all operations. */
        public long billedPromptTokens;

        public long wastedTokens;

        /**
         * Operations whose client disconnected; they must be billed for at least the tokens
         * received.
         */
        public int disconnected;

        public int disconnectedUnderbilled;

        /** Operations that a killed router held; the tenant may be billed too little for them. */
        public int lostWithRouter;

        /**
         * Operations answered so shortly before their router was killed that their records were not
         * on disk yet; {@link #unrecordedTokens} has their tokens.
         */
        public int unrecorded;

        public long unrecordedTokens;
        public int mismatched;

        Row(String tenant, String product) {
            this.tenant = tenant;
            this.product = product;
        }
    }

    /** A ledger record is on disk within this time unless its router is killed first. */
    private static final double RECORD_WRITE_MS = 500;

    private BillingChecker() {}

    /** One operation: the most tokens that any of its tries received, and how its tries ended. */
    private static final class Operation {
        String tenant;
        String product;
        long receivedTokens;
        boolean disconnected;
        boolean connectionLost;
        boolean answeredNearKill;
    }

    /** Returns the totals by tenant and product. */
    public static List<Row> compare(List<TrafficEvent> log, List<Usage> records) {
        Map<String, Operation> operations = new TreeMap<>();
        List<TrafficEvent> kills =
                log.stream()
                        .filter(event -> event.kind() == TrafficEvent.Kind.FRONT_KILLED)
                        .toList();
        for (TrafficEvent event : log) {
            if (event.tag() == null || event.rid() == null) {
                continue;
            }
            switch (event.kind()) {
                case ASKED -> {
                    Operation operation =
                            operations.computeIfAbsent(event.operation(), key -> new Operation());
                    operation.tenant = event.rid();
                    operation.product = event.word();
                }
                case FINAL -> {
                    Operation operation = operations.get(event.operation());
                    operation.receivedTokens =
                            Math.max(operation.receivedTokens, (long) event.amount());
                    operation.answeredNearKill |=
                            kills.stream()
                                    .anyMatch(
                                            kill ->
                                                    kill.where() == event.where()
                                                            && kill.ms() >= event.ms()
                                                            && kill.ms()
                                                                    < event.ms() + RECORD_WRITE_MS);
                }
                case LEFT -> {
                    Operation operation = operations.get(event.operation());
                    operation.disconnected = true;
                    operation.receivedTokens =
                            Math.max(operation.receivedTokens, (long) event.amount());
                }
                case LOST -> operations.get(event.operation()).connectionLost = true;
                default -> {}
            }
        }
        Map<String, List<Usage>> recordsByBillId = new HashMap<>();
        records.forEach(
                usage ->
                        recordsByBillId
                                .computeIfAbsent(usage.billId(), key -> new ArrayList<>())
                                .add(usage));
        Map<String, Row> rows = new TreeMap<>();
        for (Map.Entry<String, Operation> entry : operations.entrySet()) {
            Operation operation = entry.getValue();
            Row row =
                    rows.computeIfAbsent(
                            operation.tenant + "\n" + operation.product,
                            key -> new Row(operation.tenant, operation.product));
            row.operations++;
            long recordedTokens = 0;
            // A client that tries two routers has a record at each; it pays for the longer answer.
            for (Usage usage :
                    recordsByBillId.getOrDefault(
                            "key " + Site.sha256(operation.tenant + '\n' + entry.getKey()),
                            List.of())) {
                recordedTokens = Math.max(recordedTokens, usage.outputTokens());
                row.billedPromptTokens += usage.promptTokens();
                row.wastedTokens += usage.wastedTokens();
            }
            if (operation.connectionLost) {
                row.lostWithRouter++;
            } else if (operation.answeredNearKill && recordedTokens < operation.receivedTokens) {
                row.unrecorded++;
                row.unrecordedTokens += operation.receivedTokens - recordedTokens;
            } else if (operation.disconnected) {
                row.disconnected++;
                row.disconnectedUnderbilled += recordedTokens < operation.receivedTokens ? 1 : 0;
            } else {
                row.receivedTokens += operation.receivedTokens;
                row.billedTokens += recordedTokens;
                row.mismatched += recordedTokens == operation.receivedTokens ? 0 : 1;
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
                            row.receivedTokens,
                            row.billedTokens,
                            row.billedPromptTokens,
                            row.wastedTokens,
                            row.disconnected,
                            row.lostWithRouter,
                            row.unrecorded,
                            row.mismatched + row.disconnectedUnderbilled));
        }
        return text.toString();
    }
}
