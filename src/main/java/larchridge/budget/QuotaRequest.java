package larchridge.budget;

/**
 * What a front would have lent to one of its budgets so that a generation may come in.
 *
 * @param budget the budget's name
 * @param neededTokens tokens that the generation lacks; lent whole or not at all
 * @param desiredTokens tokens that would be used soon beside that
 */
public record QuotaRequest(String budget, double neededTokens, double desiredTokens) {}
