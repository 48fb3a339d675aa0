package larchridge.node;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Map;
import larchridge.settings.DeploymentSettings;
import larchridge.upstream.Endpoint;

/**
 * The configuration that the platform gives a node at its start.
 *
 * @param listen the address that clients connect to
 * @param discovery the address of the discovery agent
 * @param seed seed of the routing policy's random generator; also a part of the prefix that makes
 *     generated ids unique
 * @param maxDescriptors the number of file descriptors that the node may have open
 * @param knownEndpoints the endpoint list that the platform stored, in discovery's format; a
 *     Jackson {@code MissingNode} if there is none
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
    /**
     * Checks that environment variables that repeat values of the file agree with it; if they
     * differ, one of the two is wrong.
     */
    void checkAgainst(Map<String, String> environment) throws InvalidNodeConfigurationException {
        checkSame(environment, "PROXY_NAME", name);
        checkSame(environment, "PROXY_LISTEN", listen.toString());
        checkSame(environment, "PROXY_DISCOVERY", discovery.toString());
    }

    private static void checkSame(
            Map<String, String> environment, String variable, String configured)
            throws InvalidNodeConfigurationException {
        String found = environment.get(variable);
        if (found != null && !found.equals(configured)) {
            throw InvalidNodeConfigurationException.variableDiffers(variable, found, configured);
        }
    }
}
