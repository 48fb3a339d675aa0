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

/** Reads the JSON file that {@code PROXY_CONFIG} names. */
final class NodeConfigurationReader {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final double MAX_LIMIT = 1e9;
    private static final int SEED_RADIX = 16;

    private final Path file;
    private final JsonNode root;

    private NodeConfigurationReader(Path file, JsonNode root) {
        this.file = file;
        this.root = root;
    }

    /** Reads the configuration of a node with this environment. */
    static NodeConfiguration read(Map<String, String> environment)
            throws InvalidNodeConfigurationException {
        String path = environment.get("PROXY_CONFIG");
        if (path == null || path.isEmpty()) {
            throw InvalidNodeConfigurationException.missingVariable(
                    "PROXY_CONFIG", "the path of the configuration file");
        }
        Path file = Path.of(path);
        return new NodeConfigurationReader(file, parse(file)).read();
    }

    private static JsonNode parse(Path file) throws InvalidNodeConfigurationException {
        JsonNode root;
        try {
            root = MAPPER.readTree(Files.readAllBytes(file));
        } catch (JsonProcessingException e) {
            throw InvalidNodeConfigurationException.invalidJson(
                    file, e.getLocation().getLineNr(), e.getOriginalMessage());
        } catch (IOException e) {
            throw InvalidNodeConfigurationException.unreadable(
                    file, "cannot be read (" + e.getMessage() + ")");
        }
        if (root == null || !root.isObject()) {
            throw InvalidNodeConfigurationException.unreadable(file, "expected a JSON object");
        }
        return root;
    }

    private NodeConfiguration read() throws InvalidNodeConfigurationException {
        String name = text("name");
        Endpoint listen = endpoint("listen");
        Endpoint discovery = endpoint("discovery");
        long seed = seed();
        return new NodeConfiguration(
                name,
                listen,
                discovery,
                seed,
                limit("memory_mb"),
                limit("sockets"),
                root.path("known"),
                settings(seed));
    }

    private DeploymentSettings settings(long seed) throws InvalidNodeConfigurationException {
        try {
            return DeploymentSettingsReader.read(root.path("settings"), seed);
        } catch (InvalidSettingsException e) {
            throw InvalidNodeConfigurationException.invalidSettings(file, e.getMessage());
        }
    }

    private String text(String member) throws InvalidNodeConfigurationException {
        JsonNode value = root.path(member);
        if (!value.isTextual() || value.asText().isEmpty()) {
            throw InvalidNodeConfigurationException.invalidMember(
                    file, member, found(value), "a non-empty string");
        }
        return value.asText();
    }

    private int limit(String member) throws InvalidNodeConfigurationException {
        JsonNode value = root.path("limits").path(member);
        if (!value.isNumber() || value.doubleValue() < 1 || value.doubleValue() > MAX_LIMIT) {
            throw InvalidNodeConfigurationException.invalidMember(
                    file, "limits." + member, found(value), "a number from 1 to 1000000000");
        }
        return value.intValue();
    }

    private Endpoint endpoint(String member) throws InvalidNodeConfigurationException {
        String text = text(member);
        Endpoint endpoint = Endpoint.parse(text);
        if (endpoint == null) {
            throw InvalidNodeConfigurationException.invalidMember(
                    file, member, "'" + text + "'", "host:port");
        }
        return endpoint;
    }

    private long seed() throws InvalidNodeConfigurationException {
        JsonNode value = root.path("seed");
        if (value.isIntegralNumber()) {
            return value.longValue();
        }
        try {
            return Long.parseUnsignedLong(text("seed"), SEED_RADIX);
        } catch (NumberFormatException e) {
            throw InvalidNodeConfigurationException.invalidMember(
                    file,
                    "seed",
                    "'" + value.asText() + "'",
                    "an integer or a string of up to 16 hex digits");
        }
    }

    private static Object found(JsonNode value) {
        return value.isMissingNode() ? "missing" : value;
    }
}
