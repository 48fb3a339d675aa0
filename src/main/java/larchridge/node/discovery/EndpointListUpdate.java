package larchridge.node.discovery;

import java.util.Map;
import larchridge.inventory.EngineEntry;

/**
 * A response of the discovery agent: the full list, or the changes to it.
 *
 * @param version the agent's index of the list
 * @param snapshot whether this is the full list, which replaces the previous one
 * @param entries engines by name, in the agent's order; removed engines have the state REMOVED
 */
public record EndpointListUpdate(
        long version, boolean snapshot, Map<String, EngineEntry> entries) {}
