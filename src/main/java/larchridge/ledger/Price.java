package larchridge.ledger;

import java.math.BigDecimal;
import java.math.RoundingMode;

/** What a million tokens of a product cost, in the site's currency. */
public record Price(
        BigDecimal promptPerMillion, BigDecimal cachedPerMillion, BigDecimal outputPerMillion) {
    private static final BigDecimal MILLION = new BigDecimal(1_000_000);

    /** The exact cost of a sum; rounded only where it is printed. */
    public BigDecimal costOf(UsageTotal total) {
        BigDecimal uncachedCost =
                promptPerMillion.multiply(
                        BigDecimal.valueOf(total.promptTokens() - total.cachedTokens()));
        return uncachedCost
                .add(cachedPerMillion.multiply(BigDecimal.valueOf(total.cachedTokens())))
                .add(outputPerMillion.multiply(BigDecimal.valueOf(total.outputTokens())))
                .divide(MILLION)
                .stripTrailingZeros();
    }

    /** As money: half a cent and more is a cent. */
    public static String formatMoney(BigDecimal cost) {
        return cost.setScale(2, RoundingMode.HALF_UP).toPlainString();
    }
}
