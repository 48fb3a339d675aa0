package larchridge.ledger;

import java.math.BigDecimal;
import java.math.RoundingMode;

/** What a million tokens of a product cost, in the site's currency. */
public record Price(BigDecimal prompt, BigDecimal kept, BigDecimal out) {
    private static final BigDecimal MILLION = new BigDecimal(1_000_000);

    /** The exact cost of a sum; rounded only where it is printed. */
    public BigDecimal of(UsageTotal total) {
        BigDecimal read =
                prompt.multiply(BigDecimal.valueOf(total.promptTokens() - total.keptTokens()));
        return read.add(kept.multiply(BigDecimal.valueOf(total.keptTokens())))
                .add(out.multiply(BigDecimal.valueOf(total.outTokens())))
                .divide(MILLION)
                .stripTrailingZeros();
    }

    /** As money: half a cent and more is a cent. */
    public static String money(BigDecimal cost) {
        return cost.setScale(2, RoundingMode.HALF_UP).toPlainString();
    }
}
