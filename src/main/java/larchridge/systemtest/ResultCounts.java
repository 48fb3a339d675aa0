package larchridge.systemtest;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.HdrHistogram.Histogram;

/**
 * What clients got, from the traffic log alone: service by time and product, and times to the first
 * token.
 */
public final class ResultCounts {
    /** Service of one span of time. */
    public static final class Row {
        public final String name;
        public int asked;
        public int inSlo;
        public int streamed;
        public int throttled;
        public int terminated;
        public int left;
        public int lost;
        public double revenueAsked;
        public double revenueInSlo;
        public final Histogram firstToken = new Histogram(60_000, 3);

        Row(String name) {
            this.name = name;
        }

        /** Revenue answered in time over revenue asked for. */
        public double service() {
            return revenueAsked > 0 ? revenueInSlo / revenueAsked : 1;
        }
    }

    /** One operation: its tries belong to it, and its SLO time runs from the first. */
    private static final class Operation {
        TrafficEvent asked;
        TrafficEvent begun;
        String answer;
        boolean left;
        boolean lost;
    }

    private ResultCounts() {}

    /**
     * Rows in all, by product, and by tenant where there are several; and for each trouble before,
     * during and after it.
     */
    public static List<Row> of(List<TrafficEvent> log, TestScript script) {
        Map<String, Operation> operations = new LinkedHashMap<>();
        Map<String, TestScript.ProductLoad> mixes = new HashMap<>();
        script.products().forEach(mix -> mixes.put(mix.name(), mix));
        for (TrafficEvent seen : log) {
            if (seen.tag() == null || seen.kind().compareTo(TrafficEvent.Kind.ASKED) < 0) {
                continue;
            }
            Operation one = operations.computeIfAbsent(seen.operation(), key -> new Operation());
            switch (seen.kind()) {
                case ASKED -> one.asked = one.asked == null ? seen : one.asked;
                case BEGUN -> one.begun = one.begun == null ? seen : one.begun;
                case FINAL -> one.answer = seen.word();
                case LEFT -> one.left = true;
                case LOST -> one.lost = true;
                default -> {}
            }
        }
        List<Row> rows = new ArrayList<>();
        Row all = new Row("all");
        rows.add(all);
        Map<String, Row> byProduct = new LinkedHashMap<>();
        for (TestScript.ProductLoad mix : script.products()) {
            byProduct.put(mix.name(), new Row(mix.name()));
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
        List<Row> spans = new ArrayList<>();
        for (TestScript.Trouble trouble : script.troubles()) {
            for (String part : new String[] {"before", "during", "after"}) {
                spans.add(
                        new Row(
                                String.format(
                                        Locale.ROOT,
                                        "%s at %.1f s, %s",
                                        trouble.kind(),
                                        trouble.atMs() / 1000,
                                        part)));
            }
        }
        rows.addAll(spans);
        for (Operation one : operations.values()) {
            if (one.asked == null) {
                continue;
            }
            TestScript.ProductLoad mix = mixes.get(one.asked.word());
            // Lines of batches have no SLO time; their product's row tells what became of them.
            boolean isLine = one.asked.tag().startsWith(BatchLoad.NAME);
            if (!isLine) {
                count(all, one, mix);
            }
            count(byProduct.get(mix.name()), one, mix);
            if (isLine) {
                continue;
            }
            if (byTenant.containsKey(one.asked.rid())) {
                count(byTenant.get(one.asked.rid()), one, mix);
            }
            for (int i = 0; i < script.troubles().size(); i++) {
                TestScript.Trouble trouble = script.troubles().get(i);
                double at = one.asked.ms();
                int part = at < trouble.atMs() ? 0 : at < trouble.atMs() + trouble.forMs() ? 1 : 2;
                // As long before and after as during: the rest of the day says nothing of this
                // trouble.
                boolean near =
                        part == 0
                                ? at >= trouble.atMs() - trouble.forMs()
                                : part == 1 || at < trouble.atMs() + 2 * trouble.forMs();
                if (near) {
                    count(spans.get(3 * i + part), one, mix);
                }
            }
        }
        return rows;
    }

    private static void count(Row row, Operation one, TestScript.ProductLoad mix) {
        row.asked++;
        row.left += one.left ? 1 : 0;
        row.lost += one.lost ? 1 : 0;
        if (one.left) {
            return;
        }
        row.revenueAsked += mix.revenue();
        if (one.begun != null) {
            double ms = one.begun.ms() - one.asked.ms();
            row.firstToken.recordValue((long) Math.min(59_999, Math.max(0, ms)));
            if (ms <= mix.sloMs() && "streamed".equals(one.answer)) {
                row.inSlo++;
                row.revenueInSlo += mix.revenue();
            }
        }
        row.streamed += "streamed".equals(one.answer) ? 1 : 0;
        row.throttled += "throttled".equals(one.answer) ? 1 : 0;
        row.terminated += "terminated".equals(one.answer) ? 1 : 0;
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
                            row.asked,
                            row.service(),
                            row.streamed,
                            row.throttled,
                            row.terminated,
                            row.left,
                            row.lost,
                            row.firstToken.getValueAtPercentile(50),
                            row.firstToken.getValueAtPercentile(99)));
        }
        return text.toString();
    }
}
