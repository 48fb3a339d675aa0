package larchridge.budget;

/** Takes what a site grants, from the top down; what is granted again is changed from then on. */
public interface QuotaConfigurer {
    void service(QuotaGrant grant, double nowMs);

    void group(String name, QuotaGrant grant, double nowMs);

    /** A tenant of a group; group null is none. */
    void tenant(String name, String group, QuotaGrant grant, double nowMs);

    void product(String tenant, String product, QuotaGrant grant, double nowMs);
}
