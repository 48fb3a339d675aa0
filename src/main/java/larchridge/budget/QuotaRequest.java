package larchridge.budget;

/**
 * A router's request to the lender, for the tokens that one of its budgets lacks to admit a
 * generation.
 *
 * @param budgetName the budget's name
 * @param neededTokens tokens that the generation lacks; granted completely or not at all
 * @param desiredTokens additional tokens that would be used soon
 */
public record QuotaRequest(String budgetName, double neededTokens, double desiredTokens) {}
