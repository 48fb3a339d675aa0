package larchridge.budget;

/**
 * What a front would have lent to one of its budgets so that a generation may come in.
 *
 * @param purse the budget's name
 * @param need tokens that the generation lacks; lent whole or not at all
 * @param wish tokens that would be used soon beside that
 */
public record QuotaRequest(String purse, double need, double wish) {}
