package larchridge.node;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import larchridge.settings.DeploymentSettings;
import larchridge.settings.DeploymentSettingsReader;
import larchridge.settings.InvalidSettingsException;
import larchridge.upstream.Endpoint;

/**
 * What the platform tells a node when it starts: a file of JSON, and variables that must say the
 * same.
 */
final class NodeConfiguration {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    final String name;
    final Endpoint listen;
    final Endpoint discovery;
    final long seed;
    final int memoryMb;
    final int sockets;

    /** The list of engines as it was kept, in discovery's form; missing where there is none. */
    final JsonNode known;

    final DeploymentSettings given;

    private NodeConfiguration(Path file, JsonNode root) throws InvalidNodeConfigurationException {
        name = text(file, root, "name");
        listen = spot(file, root, "listen");
        discovery = spot(file, root, "discovery");
        seed = seed(file, root);
        JsonNode limits = root.path("limits");
        memoryMb = whole(file, limits, "memory_mb");
        sockets = whole(file, limits, "sockets");
        known = root.path("known");
        try {
            given = DeploymentSettingsReader.read(root.path("settings"), seed);
        } catch (InvalidSettingsException e) {
            throw new InvalidNodeConfigurationException(file + ": settings: " + e.getMessage());
        }
    }

    static NodeConfiguration read(Map<String, String> variables)
            throws InvalidNodeConfigurationException {
        String place = variables.get("PROXY_CONFIG");
        if (place == null || place.isEmpty()) {
            throw new InvalidNodeConfigurationException(
                    "PROXY_CONFIG is not set; expected the path of the configuration");
        }
        Path file = Path.of(place);
        JsonNode root;
        try {
            root = MAPPER.readTree(Files.readAllBytes(file));
        } catch (JsonProcessingException e) {
            throw new InvalidNodeConfigurationException(
                    file
                            + ":"
                            + e.getLocation().getLineNr()
                            + ": broken JSON ("
                            + e.getOriginalMessage()
                            + ")");
        } catch (IOException e) {
            throw new InvalidNodeConfigurationException(
                    file + ": can't be read (" + e.getMessage() + ")");
        }
        if (root == null || !root.isObject()) {
            throw new InvalidNodeConfigurationException(file + ": expected an object");
        }
        return new NodeConfiguration(file, root);
    }

    /** The variables are given beside the file; where they differ, one of the two is wrong. */
    void check(Map<String, String> variables) throws InvalidNodeConfigurationException {
        same(variables, "PROXY_NAME", name);
        same(variables, "PROXY_LISTEN", listen.toString());
        same(variables, "PROXY_DISCOVERY", discovery.toString());
    }

    private static void same(Map<String, String> variables, String variable, String value)
            throws InvalidNodeConfigurationException {
        String given = variables.get(variable);
        if (given != null && !given.equals(value)) {
            throw new InvalidNodeConfigurationException(
                    variable + " is '" + given + "', but the configuration says '" + value + "'");
        }
    }

    private static String text(Path file, JsonNode node, String member)
            throws InvalidNodeConfigurationException {
        JsonNode value = node.path(member);
        if (!value.isTextual() || value.asText().isEmpty()) {
            throw new InvalidNodeConfigurationException(
                    file
                            + ": "
                            + member
                            + " is "
                            + (value.isMissingNode() ? "missing" : value)
                            + "; expected a text");
        }
        return value.asText();
    }

    private static int whole(Path file, JsonNode limits, String member)
            throws InvalidNodeConfigurationException {
        JsonNode value = limits.path(member);
        if (!value.isNumber() || value.doubleValue() < 1 || value.doubleValue() > 1e9) {
            throw new InvalidNodeConfigurationException(
                    file
                            + ": limits."
                            + member
                            + " is "
                            + (value.isMissingNode() ? "missing" : value)
                            + "; expected a number over 0");
        }
        return value.intValue();
    }

    private static Endpoint spot(Path file, JsonNode root, String member)
            throws InvalidNodeConfigurationException {
        String text = text(file, root, member);
        Endpoint endpoint = Endpoint.parse(text);
        if (endpoint == null) {
            throw new InvalidNodeConfigurationException(
                    file + ": " + member + " is '" + text + "'; expected host:port");
        }
        return endpoint;
    }

    private static long seed(Path file, JsonNode root) throws InvalidNodeConfigurationException {
        JsonNode value = root.path("seed");
        if (value.isIntegralNumber()) {
            return value.longValue();
        }
        try {
            return Long.parseUnsignedLong(text(file, root, "seed"), 16);
        } catch (NumberFormatException e) {
            throw new InvalidNodeConfigurationException(
                    file + ": seed is '" + value.asText() + "'; expected up to 16 hex digits");
        }
    }
}
