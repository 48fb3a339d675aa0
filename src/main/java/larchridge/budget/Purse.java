package larchridge.budget;

import java.time.Instant;
import java.time.YearMonth;
import java.time.ZoneOffset;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/**
 * One budget of the tree: the whole service, a group of tenants, a tenant, or a tenant's product. Without I/O, clock or
 * threads.
 */
final class Purse {
    final String name;
    final Purse above;
    final List<Purse> below = new ArrayList<>();
    private Grant grant;
    private final Bucket bucket;
    private double inFlight;
    private double monthUsed;
    private YearMonth month;

    Purse(String name, Purse above, Grant grant, boolean alone, Random random) {
        this.name = name;
        this.above = above;
        this.grant = grant;
        bucket = new Bucket(grant.toksPerMs(), grant.burstToks(), alone, random);
        if (above != null) {
            above.below.add(this);
        }
    }

    Grant grant() {
        return grant;
    }

    void change(Grant next, double nowMs) {
        grant = next;
        bucket.change(next.toksPerMs(), next.burstToks(), nowMs);
    }

    Bucket bucket() {
        return bucket;
    }

    double inFlight() {
        return inFlight;
    }

    double monthUsed(double nowMs) {
        turn(nowMs);
        return monthUsed;
    }

    boolean hasFlightRoom(double toks) {
        // One generation may always fly alone, or one prompt over the ceiling would never come in.
        return inFlight <= 0 || inFlight + toks <= grant.atOnceToks();
    }

    boolean hasMonthRoom(double toks, double nowMs) {
        turn(nowMs);
        return monthUsed + toks <= grant.monthToks();
    }

    double untilNextMonthMs(double nowMs) {
        turn(nowMs);
        return month.plusMonths(1).atDay(1).atStartOfDay(ZoneOffset.UTC).toInstant().toEpochMilli() - nowMs;
    }

    void fly(double toks) {
        inFlight += toks;
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
