package larchridge.budget;

/**
 * What a router requests from the lender for one of its budgets, so that a generation can be
 * admitted.
 *
 * @param budget the budget's name
 * @param neededTokens tokens that the generation lacks; granted completely or not at all
 * @param desiredTokens tokens beyond them that would be used soon
 */
public record QuotaRequest(String budget, double neededTokens, double desiredTokens) {}
