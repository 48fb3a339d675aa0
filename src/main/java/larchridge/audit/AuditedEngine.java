package larchridge.audit;

import larchridge.state.Role;

/**
 * An engine as the newest list names it.
 *
 * @param capacityUnits its capacity relative to others of its role
 * @param startMs when its process started, in the node's clock; 0 means long ago
 */
public record AuditedEngine(
        boolean serving, Role role, String zone, long rack, double capacityUnits, double startMs) {}
