package larchridge.tokens;

/**
 * Tokens of a text.
 *
 * @param tokens counted, or estimated within the bounds
 * @param lowerBound no text of so many bytes has fewer
 * @param upperBound no text of so many bytes has more
 * @param exact whether it was counted
 */
public record TokenCount(int tokens, int lowerBound, int upperBound, boolean exact) {}
