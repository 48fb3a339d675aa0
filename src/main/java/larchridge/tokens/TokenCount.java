package larchridge.tokens;

/**
 * The number of tokens of a text.
 *
 * @param tokens the number, counted or estimated within the bounds
 * @param lowerBound fewest possible tokens, given what was counted and the bytes of the rest
 * @param upperBound most possible tokens, given what was counted and the bytes of the rest
 * @param exact whether the whole text was counted
 */
public record TokenCount(int tokens, int lowerBound, int upperBound, boolean exact) {}
