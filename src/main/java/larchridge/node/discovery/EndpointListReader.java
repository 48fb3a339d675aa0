package larchridge.node.discovery;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.Map;
import larchridge.inventory.EngineEntry;
import larchridge.state.EndpointState;
import larchridge.state.Role;
import larchridge.upstream.Endpoint;

/**
 * Reads endpoint lists in the agent's JSON format. A list with any error is rejected as a whole.
 */
public final class EndpointListReader {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final double MAX_WEIGHT = 1e9;
    private static final double MAX_START_MS = 1e15;
    private static final long FNV1A_OFFSET_BASIS = 0xCBF29CE484222325L;
    private static final long FNV1A_PRIME = 0x100000001B3L;

    private final Map<String, Role> rolesByType;
    private final Map<String, Double> memoryTokensByType;

    /**
     * @param rolesByType the role of the engines of each type; other types have both roles
     * @param memoryTokensByType the number of tokens that fit in the memory of an engine of each
     *     type
     */
    public EndpointListReader(
            Map<String, Role> rolesByType, Map<String, Double> memoryTokensByType) {
        this.rolesByType = rolesByType;
        this.memoryTokensByType = memoryTokensByType;
    }

    /** Reads a list from the body of a response. */
    public EndpointListUpdate read(byte[] body) throws InvalidEndpointListException {
        try {
            return read(MAPPER.readTree(body));
        } catch (IOException e) {
            throw new InvalidEndpointListException(
                    "invalid JSON (" + e.getMessage().lines().findFirst().orElse("") + ")");
        }
    }

    /** Reads a list from parsed JSON. */
    public EndpointListUpdate read(JsonNode list) throws InvalidEndpointListException {
        if (list == null || !list.path("index").isIntegralNumber()) {
            throw new InvalidEndpointListException(
                    "index is missing or invalid; expected an integer");
        }
        if (!list.path("endpoints").isArray()) {
            throw new InvalidEndpointListException(
                    "endpoints is missing or invalid; expected an array");
        }
        Map<String, EngineEntry> entries = new LinkedHashMap<>();
        int i = 0;
        for (JsonNode entry : list.path("endpoints")) {
            String member = "endpoints[" + i + "]";
            String name = entry.path("name").asText("");
            if (name.isEmpty()) {
                throw new InvalidEndpointListException(
                        member + ".name is missing or empty; expected a string");
            }
            entries.put(name, readEntry(entry, name, member));
            i++;
        }
        return new EndpointListUpdate(
                list.path("index").longValue(), list.path("snapshot").asBoolean(false), entries);
    }

    private EngineEntry readEntry(JsonNode entry, String name, String member)
            throws InvalidEndpointListException {
        EndpointState state = readState(entry, member);
        String address = entry.path("address").asText("");
        Endpoint endpoint = Endpoint.parse(address);
        if ((endpoint == null || endpoint.port() == 0) && state != EndpointState.REMOVED) {
            throw new InvalidEndpointListException(
                    member + ".address is '" + address + "'; expected host:port");
        }
        double weight = entry.path("weight").asDouble(1);
        double startMs = entry.path("since_ms").asDouble(0);
        if (!(weight >= 0 && weight < MAX_WEIGHT) || !(startMs >= 0 && startMs < MAX_START_MS)) {
            throw new InvalidEndpointListException(
                    member + ": expected 0 <= weight < 1e9 and 0 <= since_ms < 1e15");
        }
        String type = entry.path("type").asText("");
        return new EngineEntry(
                idOf(name),
                endpoint == null ? "" : endpoint.host(),
                endpoint == null ? -1 : endpoint.port(),
                rolesByType.getOrDefault(type, Role.BOTH),
                entry.path("zone").asText(""),
                entry.path("group").asLong(0),
                weight,
                memoryTokensByType.getOrDefault(type, Double.NaN),
                startMs,
                state);
    }

    private static EndpointState readState(JsonNode entry, String member)
            throws InvalidEndpointListException {
        String status = entry.path("status").asText("");
        return switch (status) {
            case "SERVING" -> EndpointState.READY;
            case "DRAINING" -> EndpointState.DRAINING;
            case "DELETED" -> EndpointState.REMOVED;
            default ->
                    throw new InvalidEndpointListException(
                            member
                                    + ".status is '"
                                    + status
                                    + "'; expected SERVING, DRAINING or DELETED");
        };
    }

    /**
     * Returns an engine's id, which is the same on every node: the 64-bit FNV-1a hash of its name.
     */
    static long idOf(String name) {
        long hash = FNV1A_OFFSET_BASIS;
        for (int i = 0; i < name.length(); i++) {
            hash = (hash ^ name.charAt(i)) * FNV1A_PRIME;
        }
        return hash;
    }
}
