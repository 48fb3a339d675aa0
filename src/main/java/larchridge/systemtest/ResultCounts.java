package larchridge.systemtest;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.HdrHistogram.Histogram;

/**
 * The results that clients saw, from the traffic log alone: service by product, tenant and fault,
 * and times to the first token.
 */
public final class ResultCounts {
    /** The results of one product, tenant or period. */
    public static final class Row {
        public final String name;
        public int requests;
        public int withinSlo;
        public int streamed;
        public int throttled;
        public int terminated;
        public int disconnected;
        public int connectionLost;
        public double requestedRevenue;
        public double revenueWithinSlo;
        public final Histogram firstToken = new Histogram(60_000, 3);

        Row(String name) {
            this.name = name;
        }

        /** Returns the revenue answered within the SLO as a share of the requested revenue. */
        public double service() {
            return requestedRevenue > 0 ? revenueWithinSlo / requestedRevenue : 1;
        }
    }

    /** One operation with all its tries; its SLO time starts with the first try. */
    private static final class Operation {
        TrafficEvent firstRequest;
        TrafficEvent firstText;
        String outcome;
        boolean disconnected;
        boolean connectionLost;
    }

    private ResultCounts() {}

    /**
     * Returns rows for the whole run, by product, by tenant if there are several, and for the
     * periods before, during and after each fault.
     */
    public static List<Row> summarize(List<TrafficEvent> log, TestScript script) {
        Map<String, Operation> operations = new LinkedHashMap<>();
        Map<String, TestScript.ProductLoad> products = new HashMap<>();
        script.products().forEach(product -> products.put(product.name(), product));
        for (TrafficEvent event : log) {
            if (event.tag() == null || event.kind().compareTo(TrafficEvent.Kind.ASKED) < 0) {
                continue;
            }
            Operation operation =
                    operations.computeIfAbsent(event.operation(), key -> new Operation());
            switch (event.kind()) {
                case ASKED ->
                        operation.firstRequest =
                                operation.firstRequest == null ? event : operation.firstRequest;
                case BEGUN ->
                        operation.firstText =
                                operation.firstText == null ? event : operation.firstText;
                case FINAL -> operation.outcome = event.word();
                case LEFT -> operation.disconnected = true;
                case LOST -> operation.connectionLost = true;
                default -> {}
            }
        }
        List<Row> rows = new ArrayList<>();
        Row all = new Row("all");
        rows.add(all);
        Map<String, Row> byProduct = new LinkedHashMap<>();
        for (TestScript.ProductLoad product : script.products()) {
            byProduct.put(product.name(), new Row(product.name()));
        }
        rows.addAll(byProduct.values());
        Map<String, Row> byTenant = new LinkedHashMap<>();
        if (script.tenants().size() > 1) {
            script.tenants()
                    .forEach(
                            tenant ->
                                    byTenant.put(
                                            tenant.name(), new Row("tenant " + tenant.name())));
            rows.addAll(byTenant.values());
        }
        List<Row> faultRows = new ArrayList<>();
        for (TestScript.Trouble fault : script.faults()) {
            for (String part : new String[] {"before", "during", "after"}) {
                faultRows.add(
                        new Row(
                                String.format(
                                        Locale.ROOT,
                                        "%s at %.1f s, %s",
                                        fault.kind(),
                                        fault.atMs() / 1000,
                                        part)));
            }
        }
        rows.addAll(faultRows);
        for (Operation operation : operations.values()) {
            if (operation.firstRequest == null) {
                continue;
            }
            TestScript.ProductLoad product = products.get(operation.firstRequest.word());
            // Batch lines have no SLO; they are counted only in their product's row.
            boolean isBatchLine = operation.firstRequest.tag().startsWith(BatchLoad.NAME);
            if (!isBatchLine) {
                count(all, operation, product);
            }
            count(byProduct.get(product.name()), operation, product);
            if (isBatchLine) {
                continue;
            }
            if (byTenant.containsKey(operation.firstRequest.rid())) {
                count(byTenant.get(operation.firstRequest.rid()), operation, product);
            }
            for (int i = 0; i < script.faults().size(); i++) {
                TestScript.Trouble fault = script.faults().get(i);
                double requestMs = operation.firstRequest.ms();
                int part =
                        requestMs < fault.atMs()
                                ? 0
                                : requestMs < fault.atMs() + fault.forMs() ? 1 : 2;
                // The periods before and after are as long as the fault; the rest of the run says
                // nothing about this fault.
                boolean withinWindow =
                        part == 0
                                ? requestMs >= fault.atMs() - fault.forMs()
                                : part == 1 || requestMs < fault.atMs() + 2 * fault.forMs();
                if (withinWindow) {
                    count(faultRows.get(3 * i + part), operation, product);
                }
            }
        }
        return rows;
    }

    private static void count(Row row, Operation operation, TestScript.ProductLoad product) {
        row.requests++;
        row.disconnected += operation.disconnected ? 1 : 0;
        row.connectionLost += operation.connectionLost ? 1 : 0;
        if (operation.disconnected) {
            return;
        }
        row.requestedRevenue += product.revenue();
        if (operation.firstText != null) {
            double ms = operation.firstText.ms() - operation.firstRequest.ms();
            row.firstToken.recordValue((long) Math.min(59_999, Math.max(0, ms)));
            if (ms <= product.sloMs() && "streamed".equals(operation.outcome)) {
                row.withinSlo++;
                row.revenueWithinSlo += product.revenue();
            }
        }
        row.streamed += "streamed".equals(operation.outcome) ? 1 : 0;
        row.throttled += "throttled".equals(operation.outcome) ? 1 : 0;
        row.terminated += "terminated".equals(operation.outcome) ? 1 : 0;
    }

    public static String table(List<Row> rows) {
        StringBuilder text =
                new StringBuilder(
                        String.format(
                                Locale.ROOT,
                                "%-34s %6s %8s %8s %9s %10s %5s %5s %7s %7s%n",
                                "span",
                                "asked",
                                "service",
                                "streamed",
                                "throttled",
                                "terminated",
                                "left",
                                "lost",
                                "p50 ms",
                                "p99 ms"));
        for (Row row : rows) {
            text.append(
                    String.format(
                            Locale.ROOT,
                            "%-34s %6d %8.3f %8d %9d %10d %5d %5d %7d %7d%n",
                            row.name,
                            row.requests,
                            row.service(),
                            row.streamed,
                            row.throttled,
                            row.terminated,
                            row.disconnected,
                            row.connectionLost,
                            row.firstToken.getValueAtPercentile(50),
                            row.firstToken.getValueAtPercentile(99)));
        }
        return text.toString();
    }
}
