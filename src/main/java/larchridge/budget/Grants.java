package larchridge.budget;

/** Takes what a site grants, from the top down; what is granted again is changed from then on. */
public interface Grants {
    void service(Grant grant, double nowMs);

    void group(String name, Grant grant, double nowMs);

    /** A tenant of a group; group null is none. */
    void tenant(String name, String group, Grant grant, double nowMs);

    void product(String tenant, String product, Grant grant, double nowMs);
}
