package larchridge.inventory;

import java.time.Instant;
import java.time.OffsetDateTime;
import java.time.format.DateTimeParseException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import larchridge.state.EndpointState;
import larchridge.state.Role;
import org.yaml.snakeyaml.LoaderOptions;
import org.yaml.snakeyaml.Yaml;
import org.yaml.snakeyaml.constructor.SafeConstructor;
import org.yaml.snakeyaml.error.MarkedYAMLException;
import org.yaml.snakeyaml.error.YAMLException;
import org.yaml.snakeyaml.nodes.MappingNode;
import org.yaml.snakeyaml.nodes.Node;
import org.yaml.snakeyaml.nodes.NodeTuple;
import org.yaml.snakeyaml.nodes.ScalarNode;
import org.yaml.snakeyaml.nodes.SequenceNode;

/**
 * Reads an engine list in YAML: {@code engines:} with one mapping an engine. A fault names file,
 * line and field.
 */
public final class EngineListReader {
    private static final Set<String> FIELDS =
            Set.of(
                    "id",
                    "host",
                    "port",
                    "role",
                    "zone",
                    "rack",
                    "units",
                    "memory_tokens",
                    "start",
                    "mode");
    private static final int MOST_BYTES = 16 << 20;

    private final String file;

    private EngineListReader(String file) {
        this.file = file;
    }

    /**
     * The engines in the order of the list; an empty list is a fault, since no list empties a
     * fleet.
     */
    public static List<EngineEntry> read(String file, String text)
            throws InvalidEngineListException {
        return new EngineListReader(file).take(text);
    }

    private List<EngineEntry> take(String text) throws InvalidEngineListException {
        Node root;
        try {
            LoaderOptions options = new LoaderOptions();
            options.setAllowDuplicateKeys(false);
            options.setCodePointLimit(MOST_BYTES);
            options.setMaxAliasesForCollections(0);
            options.setNestingDepthLimit(20);
            root = new Yaml(new SafeConstructor(options)).compose(new java.io.StringReader(text));
        } catch (MarkedYAMLException e) {
            int line = e.getProblemMark() == null ? 1 : e.getProblemMark().getLine() + 1;
            throw new InvalidEngineListException(file + ":" + line + ": " + e.getProblem());
        } catch (YAMLException e) {
            throw new InvalidEngineListException(file + ":1: " + e.getMessage());
        }
        if (!(root instanceof MappingNode top)) {
            throw new InvalidEngineListException(
                    file + ":1: engines: missing; expected a mapping with the key engines");
        }
        Node list = null;
        for (NodeTuple tuple : top.getValue()) {
            String key = scalar(tuple.getKeyNode(), "key");
            if (!key.equals("engines")) {
                throw bad(tuple.getKeyNode(), key, "unknown; expected engines");
            }
            list = tuple.getValueNode();
        }
        if (!(list instanceof SequenceNode items) || items.getValue().isEmpty()) {
            throw bad(
                    list == null ? root : list,
                    "engines",
                    "empty; a list without engines is not believed");
        }
        List<EngineEntry> rows = new ArrayList<>();
        Map<Long, Integer> lines = new HashMap<>();
        Map<String, Integer> spots = new HashMap<>();
        for (Node item : items.getValue()) {
            EngineEntry row = row(item, "engines[" + rows.size() + "]");
            Integer before = lines.put(row.id(), line(item));
            if (before != null) {
                throw bad(item, "id", row.id() + " is also the id of the engine on line " + before);
            }
            before = spots.put(row.host() + ":" + row.port(), line(item));
            if (before != null) {
                throw bad(
                        item,
                        "port",
                        "host and port are also those of the engine on line " + before);
            }
            rows.add(row);
        }
        return rows;
    }

    private EngineEntry row(Node item, String name) throws InvalidEngineListException {
        if (!(item instanceof MappingNode mapping)) {
            throw bad(item, name, "expected a mapping with id, host, port and role");
        }
        Map<String, Node> values = new LinkedHashMap<>();
        for (NodeTuple tuple : mapping.getValue()) {
            String key = scalar(tuple.getKeyNode(), name);
            if (!FIELDS.contains(key)) {
                throw bad(tuple.getKeyNode(), name + "." + key, "unknown field");
            }
            values.put(key, tuple.getValueNode());
        }
        String role = text(item, values, name, "role", null);
        String mode = text(item, values, name, "mode", "ready");
        return new EngineEntry(
                (long) number(item, values, name, "id", Double.NaN, 0, Long.MAX_VALUE),
                text(item, values, name, "host", null),
                (int) number(item, values, name, "port", Double.NaN, 1, 65_535),
                switch (role) {
                    case "reader" -> Role.READER;
                    case "writer" -> Role.WRITER;
                    case "both" -> Role.BOTH;
                    default ->
                            throw bad(
                                    values.get("role"),
                                    name + ".role",
                                    "is '" + role + "'; expected reader, writer or both");
                },
                text(item, values, name, "zone", ""),
                (long) number(item, values, name, "rack", 0, 0, Long.MAX_VALUE),
                number(item, values, name, "units", 1, 0.001, 1e6),
                values.containsKey("memory_tokens")
                        ? number(item, values, name, "memory_tokens", 0, 1, 1e12)
                        : Double.NaN,
                start(values.get("start"), name),
                switch (mode) {
                    case "ready" -> EndpointState.READY;
                    case "draining" -> EndpointState.DRAINING;
                    default ->
                            throw bad(
                                    values.get("mode"),
                                    name + ".mode",
                                    "is '" + mode + "'; expected ready or draining");
                });
    }

    private double start(Node node, String name) throws InvalidEngineListException {
        if (node == null) {
            return 0;
        }
        String text = scalar(node, name + ".start");
        try {
            return Double.parseDouble(text);
        } catch (NumberFormatException notNumber) {
            try {
                Instant at = OffsetDateTime.parse(text).toInstant();
                return at.toEpochMilli();
            } catch (DateTimeParseException e) {
                throw bad(
                        node,
                        name + ".start",
                        "is '"
                                + text
                                + "'; expected a time like "
                                + "2026-01-31T08:00:00Z or milliseconds of Unix time");
            }
        }
    }

    private String text(
            Node item, Map<String, Node> values, String name, String field, String otherwise)
            throws InvalidEngineListException {
        Node node = values.get(field);
        if (node == null) {
            if (otherwise == null) {
                throw bad(item, name + "." + field, "missing");
            }
            return otherwise;
        }
        return scalar(node, name + "." + field);
    }

    private double number(
            Node item,
            Map<String, Node> values,
            String name,
            String field,
            double otherwise,
            double least,
            double most)
            throws InvalidEngineListException {
        Node node = values.get(field);
        if (node == null) {
            if (Double.isNaN(otherwise)) {
                throw bad(item, name + "." + field, "missing");
            }
            return otherwise;
        }
        String text = scalar(node, name + "." + field);
        try {
            double value = Double.parseDouble(text);
            if (value >= least && value <= most) {
                return value;
            }
        } catch (NumberFormatException e) {
            throw bad(node, name + "." + field, "is '" + text + "'; expected a number");
        }
        throw bad(node, name + "." + field, "is " + text + "; out of range");
    }

    private String scalar(Node node, String name) throws InvalidEngineListException {
        if (node instanceof ScalarNode scalar && !scalar.getValue().isEmpty()) {
            return scalar.getValue();
        }
        throw bad(node, name, "expected a single value");
    }

    private InvalidEngineListException bad(Node node, String field, String what) {
        return new InvalidEngineListException(file + ":" + line(node) + ": " + field + ": " + what);
    }

    private static int line(Node node) {
        return node.getStartMark().getLine() + 1;
    }
}
