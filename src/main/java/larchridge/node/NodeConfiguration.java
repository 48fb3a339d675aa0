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
 * @param maxDescriptors the descriptors that the node may have open
 * @param knownEndpoints the endpoint list that the platform kept, in discovery's form; a missing
 *     node where there is none
 */
record NodeConfiguration(
        String name,
        Endpoint listen,
        Endpoint discovery,
        long seed,
        int memoryMb,
        int maxDescriptors,
        JsonNode knownEndpoints,
        DeploymentSettings settings) {
    /** Some of it is also given by variables; where they differ, one of the two is wrong. */
    void checkAgainst(Map<String, String> environment) throws InvalidNodeConfigurationException {
        checkSame(environment, "PROXY_NAME", name);
        checkSame(environment, "PROXY_LISTEN", listen.toString());
        checkSame(environment, "PROXY_DISCOVERY", discovery.toString());
    }

    private static void checkSame(Map<String, String> environment, String variable, String configured)
            throws InvalidNodeConfigurationException {
        String found = environment.get(variable);
        if (found != null && !found.equals(configured)) {
            throw InvalidNodeConfigurationException.variableDiffers(variable, found, configured);
        }
    }
}
