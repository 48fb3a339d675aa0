package larchridge.budget;

/**
 * Receives the configured budgets, parents before children. A budget that is configured again has
 * the new limits from then on; what it has accumulated stays.
 */
public interface BudgetConfigurer {
    /** Configures the budget of the whole service. */
    void configureService(BudgetLimits limits, double nowMs);

    /** Configures the budget of a group of tenants. */
    void configureGroup(String name, BudgetLimits limits, double nowMs);

    /** Configures the budget of a tenant; its group is null if it belongs to none. */
    void configureTenant(String name, String group, BudgetLimits limits, double nowMs);

    /** Configures the budget of one product of a tenant. */
    void configureProduct(String tenant, String product, BudgetLimits limits, double nowMs);
}
