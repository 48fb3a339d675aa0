package larchridge.ledger;

import java.math.BigDecimal;
import java.math.RoundingMode;

/**
 * Prices of a product in the site's currency, per million tokens.
 *
 * @param promptPerMillion prompt tokens that were not cached
 * @param cachedPerMillion cached prompt tokens
 * @param outputPerMillion output tokens
 */
public record Price(
        BigDecimal promptPerMillion, BigDecimal cachedPerMillion, BigDecimal outputPerMillion) {
    private static final BigDecimal MILLION = new BigDecimal(1_000_000);

    /** The exact cost of a total; {@link #formatMoney} rounds it for display. */
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

    /** Formats a cost with two decimals, rounding half up. */
    public static String formatMoney(BigDecimal cost) {
        return cost.setScale(2, RoundingMode.HALF_UP).toPlainString();
    }
}
