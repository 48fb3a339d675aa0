package larchridge.node;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Map;
import larchridge.settings.DeploymentSettings;
import larchridge.upstream.Endpoint;

/**
 * What the platform gives a node at its start.
 *
 * @param listen where clients connect to
 * @param discovery where the discovery agent listens
 * @param sockets the descriptors that the node may have open
 * @param knownEndpoints the endpoint list that the platform kept, in discovery's form; a missing
 *     node where there is none
 */
record NodeConfiguration(
        String name,
        Endpoint listen,
        Endpoint discovery,
        long seed,
        int memoryMb,
        int sockets,
        JsonNode knownEndpoints,
        DeploymentSettings settings) {
    /** Some of it is also given by variables; where they differ, one of the two is wrong. */
    void checkAgainst(Map<String, String> variables) throws InvalidNodeConfigurationException {
        checkSame(variables, "PROXY_NAME", name);
        checkSame(variables, "PROXY_LISTEN", listen.toString());
        checkSame(variables, "PROXY_DISCOVERY", discovery.toString());
    }

    private static void checkSame(Map<String, String> variables, String variable, String configured)
            throws InvalidNodeConfigurationException {
        String found = variables.get(variable);
        if (found != null && !found.equals(configured)) {
            throw InvalidNodeConfigurationException.variableDiffers(variable, found, configured);
        }
    }
}
