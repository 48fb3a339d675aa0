package larchridge.budget;

import java.time.Instant;
import java.time.YearMonth;
import java.time.ZoneOffset;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/**
 * One budget of the tree: the whole service, a group of tenants, a tenant, or a tenant's product.
 * Without I/O, clock or threads.
 */
final class TenantBudget {
    static final String SERVICE = "service";
    private static final int MOST_LOANS = 64;
    private static final double SLOT_MS = 100;
    private static final double DEMAND_KEPT = 0.7;

    final String name;
    final TenantBudget above;
    final List<TenantBudget> below = new ArrayList<>();
    private QuotaGrant grant;
    private final TokenBucket bucket;
    private double inFlight;
    private double monthUsed;

    /**
     * Tokens lent to it with the time at which each lapses; the oldest first, at most {@value
     * #MOST_LOANS}.
     */
    private final ArrayDeque<Loan> loans = new ArrayDeque<>();

    /** Tokens asked for in this slot of time, and in a slot as it was of late. */
    private double askedTokens;

    private double slotMs;
    private double demandTokens;
    private YearMonth month;

    private record Loan(double tokens, double untilMs) {}

    TenantBudget(String name, TenantBudget above, QuotaGrant grant, boolean alone, Random random) {
        this.name = name;
        this.above = above;
        this.grant = grant;
        bucket = new TokenBucket(grant.tokensPerMs(), grant.burstTokens(), alone, random);
        if (above != null) {
            above.below.add(this);
        }
    }

    static String group(String name) {
        return "group " + name;
    }

    static String tenant(String name) {
        return "tenant " + name;
    }

    static String product(String tenant, String product) {
        return "tenant " + tenant + ", " + product;
    }

    QuotaGrant grant() {
        return grant;
    }

    void change(QuotaGrant next, double nowMs) {
        grant = next;
        bucket.change(next.tokensPerMs(), next.burstTokens(), nowMs);
    }

    TokenBucket bucket() {
        return bucket;
    }

    double inFlight() {
        return inFlight;
    }

    double monthUsed(double nowMs) {
        turn(nowMs);
        return monthUsed;
    }

    boolean hasFlightRoom(double tokens) {
        // One generation may always fly alone, or one prompt over the ceiling would never come in.
        return inFlight <= 0 || inFlight + tokens <= grant.inFlightTokens();
    }

    boolean hasMonthRoom(double tokens, double nowMs) {
        turn(nowMs);
        return monthUsed + tokens <= grant.monthlyTokens();
    }

    double untilNextMonthMs(double nowMs) {
        turn(nowMs);
        return month.plusMonths(1).atDay(1).atStartOfDay(ZoneOffset.UTC).toInstant().toEpochMilli()
                - nowMs;
    }

    void asked(double tokens, double nowMs) {
        if (nowMs - slotMs >= SLOT_MS || nowMs < slotMs) {
            double slots = nowMs < slotMs ? 1 : Math.floor((nowMs - slotMs) / SLOT_MS);
            demandTokens =
                    (DEMAND_KEPT * demandTokens + (1 - DEMAND_KEPT) * askedTokens)
                            * Math.pow(DEMAND_KEPT, slots - 1);
            askedTokens = 0;
            slotMs = nowMs;
        }
        askedTokens += tokens;
    }

    /** What it would have lent so that a generation may come in. */
    QuotaRequest want(double tokens, double nowMs) {
        double has = lent(nowMs) + Math.max(0, bucket.level(nowMs));
        // Guards against: little lent to each of many fronts would lapse there, and nobody could
        // use the
        // budget.
        return new QuotaRequest(
                name, Math.max(1, tokens - has), demandTokens >= tokens ? demandTokens : 0);
    }

    void lend(double tokens, double untilMs) {
        if (loans.size() >= MOST_LOANS) {
            // The oldest would lapse first anyway.
            loans.removeFirst();
        }
        loans.add(new Loan(tokens, untilMs));
    }

    double lent(double nowMs) {
        loans.removeIf(loan -> loan.untilMs <= nowMs);
        return loans.stream().mapToDouble(Loan::tokens).sum();
    }

    /**
     * Takes so much from what was lent, the oldest first, and what lacks from the bucket; nothing
     * if both lack it.
     */
    boolean takeLent(double tokens, double nowMs) {
        double lent = lent(nowMs);
        if (lent <= 0 || lent + Math.max(0, bucket.level(nowMs)) < tokens) {
            return false;
        }
        double left = tokens;
        while (left > 0 && !loans.isEmpty()) {
            Loan oldest = loans.removeFirst();
            if (oldest.tokens > left) {
                loans.addFirst(new Loan(oldest.tokens - left, oldest.untilMs));
            }
            left -= Math.min(left, oldest.tokens);
        }
        bucket.owe(left, nowMs);
        return true;
    }

    void fly(double tokens) {
        inFlight += tokens;
    }

    void land(double estimate, double used, double nowMs) {
        inFlight = Math.max(0, inFlight - estimate);
        turn(nowMs);
        monthUsed += used;
    }

    /** What was used this month before this front started. */
    void remember(double used, double nowMs) {
        turn(nowMs);
        monthUsed += used;
    }

    private void turn(double nowMs) {
        YearMonth now = YearMonth.from(Instant.ofEpochMilli((long) nowMs).atOffset(ZoneOffset.UTC));
        if (month == null || now.isAfter(month)) {
            month = now;
            monthUsed = 0;
        }
    }
}
