package larchridge.state;

/**
 * A tenant with its stated share of the service.
 *
 * @param name the tenant's name
 * @param quotaPerSecond generations a second within the share
 */
public record TenantQuota(String name, double quotaPerSecond) {}
