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

/** Reads lists of engines in discovery's form. A list with a fault anywhere is refused whole. */
public final class EndpointListReader {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final Map<String, Role> roles;
    private final Map<String, Double> memory;

    /** What kinds of engines do, and tokens that they have memory for. */
    public EndpointListReader(Map<String, Role> roles, Map<String, Double> memory) {
        this.roles = roles;
        this.memory = memory;
    }

    /**
     * A list: all there is, or what has changed. Rows are by name; those that are gone bear that
     * mode.
     */
    public record Update(long index, boolean whole, Map<String, EngineEntry> rows) {}

    /** A list that can't be used. */
    public static final class BadList extends Exception {
        private static final long serialVersionUID = 1;

        BadList(String what) {
            super(what);
        }
    }

    public Update read(byte[] body) throws BadList {
        try {
            return read(MAPPER.readTree(body));
        } catch (IOException e) {
            throw new BadList("no JSON (" + e.getMessage().lines().findFirst().orElse("") + ")");
        }
    }

    public Update read(JsonNode node) throws BadList {
        if (node == null || !node.path("index").isIntegralNumber()) {
            throw new BadList("index is missing; expected a whole number");
        }
        if (!node.path("endpoints").isArray()) {
            throw new BadList("endpoints is missing; expected a list");
        }
        Map<String, EngineEntry> rows = new LinkedHashMap<>();
        int i = 0;
        for (JsonNode entry : node.path("endpoints")) {
            String name = entry.path("name").asText("");
            if (name.isEmpty()) {
                throw new BadList("endpoints[" + i + "].name is missing; expected a name");
            }
            rows.put(name, row(entry, name, "endpoints[" + i + "]"));
            i++;
        }
        return new Update(
                node.path("index").longValue(), node.path("snapshot").asBoolean(false), rows);
    }

    private EngineEntry row(JsonNode entry, String name, String where) throws BadList {
        EndpointState mode =
                switch (entry.path("status").asText("")) {
                    case "SERVING" -> EndpointState.READY;
                    case "DRAINING" -> EndpointState.DRAINING;
                    case "DELETED" -> EndpointState.REMOVED;
                    default ->
                            throw new BadList(
                                    where
                                            + ".status is '"
                                            + entry.path("status").asText("")
                                            + "'; expected SERVING, DRAINING or DELETED");
                };
        String address = entry.path("address").asText("");
        Endpoint endpoint = Endpoint.parse(address);
        if ((endpoint == null || endpoint.port() == 0) && mode != EndpointState.REMOVED) {
            throw new BadList(where + ".address is '" + address + "'; expected host:port");
        }
        double weight = entry.path("weight").asDouble(1);
        double start = entry.path("since_ms").asDouble(0);
        if (!(weight >= 0 && weight < 1e9) || !(start >= 0 && start < 1e15)) {
            throw new BadList(where + ": weight or since_ms is out of range");
        }
        String kind = entry.path("type").asText("");
        return new EngineEntry(
                number(name),
                endpoint == null ? "" : endpoint.host(),
                endpoint == null ? -1 : endpoint.port(),
                roles.getOrDefault(kind, Role.BOTH),
                entry.path("zone").asText(""),
                entry.path("group").asLong(0),
                weight,
                memory.getOrDefault(kind, Double.NaN),
                start,
                mode);
    }

    /** A number for a name, alike at every node: FNV-1a of 64 bits. */
    static long number(String name) {
        long hash = 0xCBF29CE484222325L;
        for (int i = 0; i < name.length(); i++) {
            hash = (hash ^ name.charAt(i)) * 0x100000001B3L;
        }
        return hash;
    }
}
