package larchridge.tokens;

/**
 * Tokens of a text.
 *
 * @param tokens counted, or estimated within the bounds
 * @param least no text of so many bytes has fewer
 * @param most no text of so many bytes has more
 * @param exact whether it was counted
 */
public record TokenCount(int tokens, int least, int most, boolean exact) {}
