package larchridge.budget;

/** Takes what a site grants, from the top down; what is granted again is changed from then on. */
public interface QuotaConfigurer {
    void configureService(QuotaGrant grant, double nowMs);

    void configureGroup(String name, QuotaGrant grant, double nowMs);

    /** A tenant of a group; group null is none. */
    void configureTenant(String name, String group, QuotaGrant grant, double nowMs);

    void configureProduct(String tenant, String product, QuotaGrant grant, double nowMs);
}
