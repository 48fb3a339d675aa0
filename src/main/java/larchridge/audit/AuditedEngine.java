package larchridge.audit;

import larchridge.state.Role;

/**
 * An engine as described by the current endpoint list.
 *
 * @param serving whether the engine accepts new attempts
 * @param capacityUnits its capacity relative to other engines of its role
 * @param startMs start time of its process by the node's clock, or 0 if unknown; the engine then
 *     counts as warm
 */
public record AuditedEngine(
        boolean serving, Role role, String zone, long rack, double capacityUnits, double startMs) {}
