package larchridge.state;

/**
 * A tenant and its quota.
 *
 * @param name the tenant's name
 * @param quotaPerSecond generations per second within the quota
 */
public record TenantQuota(String name, double quotaPerSecond) {}
