package larchridge.node.discovery;

import java.util.Map;
import larchridge.inventory.EngineEntry;

/**
 * One answer of the discovery agent: the full list, or what has changed in it.
 *
 * @param version the agent's index of the list
 * @param snapshot whether this is the full list, which replaces all that was known
 * @param entries engines by name, in the agent's order; a removed one has that state
 */
public record EndpointListUpdate(
        long version, boolean snapshot, Map<String, EngineEntry> entries) {}
