package larchridge.inventory;

import java.io.StringReader;
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
 * Reads and validates an engine list in YAML: the key {@code engines} with a sequence of one
 * mapping for each engine. An error names file, line and field.
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
    private static final int MAX_CODE_POINTS = 16 << 20;
    private static final int MAX_NESTING_DEPTH = 20;
    private static final int MAX_PORT = 65_535;
    private static final double MIN_UNITS = 0.001;
    private static final double MAX_UNITS = 1e6;
    private static final double MAX_MEMORY_TOKENS = 1e12;

    private final String file;

    private EngineListReader(String file) {
        this.file = file;
    }

    /**
     * Reads a list. An empty one is an error, since no list may remove all engines.
     *
     * @param file name of the list in error messages
     * @return the engines in the order of the list
     */
    public static List<EngineEntry> read(String file, String text)
            throws InvalidEngineListException {
        return new EngineListReader(file).readEntries(text);
    }

    private List<EngineEntry> readEntries(String text) throws InvalidEngineListException {
        SequenceNode items = engineNodes(compose(text));
        List<EngineEntry> entries = new ArrayList<>();
        Map<Long, Integer> linesById = new HashMap<>();
        Map<String, Integer> linesByAddress = new HashMap<>();
        for (Node item : items.getValue()) {
            EngineEntry entry = entry(item, "engines[" + entries.size() + "]");
            Integer earlierLine = linesById.put(entry.id(), line(item));
            if (earlierLine != null) {
                throw invalid(
                        item,
                        "id",
                        entry.id() + " is also the id of the engine on line " + earlierLine);
            }
            earlierLine = linesByAddress.put(entry.host() + ":" + entry.port(), line(item));
            if (earlierLine != null) {
                throw invalid(
                        item,
                        "port",
                        "host and port are also those of the engine on line " + earlierLine);
            }
            entries.add(entry);
        }
        return entries;
    }

    private Node compose(String text) throws InvalidEngineListException {
        LoaderOptions options = new LoaderOptions();
        options.setAllowDuplicateKeys(false);
        options.setCodePointLimit(MAX_CODE_POINTS);
        options.setMaxAliasesForCollections(0);
        options.setNestingDepthLimit(MAX_NESTING_DEPTH);
        try {
            return new Yaml(new SafeConstructor(options)).compose(new StringReader(text));
        } catch (MarkedYAMLException e) {
            int line = e.getProblemMark() == null ? 1 : e.getProblemMark().getLine() + 1;
            throw new InvalidEngineListException(file + ":" + line + ": " + e.getProblem(), e);
        } catch (YAMLException e) {
            throw new InvalidEngineListException(file + ":1: " + e.getMessage(), e);
        }
    }

    private SequenceNode engineNodes(Node root) throws InvalidEngineListException {
        if (!(root instanceof MappingNode top)) {
            throw new InvalidEngineListException(
                    file + ":1: engines: missing; expected a mapping with the key engines");
        }
        Node list = null;
        for (NodeTuple tuple : top.getValue()) {
            String key = scalar(tuple.getKeyNode(), "key");
            if (!key.equals("engines")) {
                throw invalid(tuple.getKeyNode(), key, "unknown; expected engines");
            }
            list = tuple.getValueNode();
        }
        if (!(list instanceof SequenceNode items) || items.getValue().isEmpty()) {
            throw invalid(
                    list == null ? root : list,
                    "engines",
                    "expected a sequence of at least one engine");
        }
        return items;
    }

    private EngineEntry entry(Node item, String path) throws InvalidEngineListException {
        if (!(item instanceof MappingNode mapping)) {
            throw invalid(item, path, "expected a mapping with id, host, port and role");
        }
        Fields fields = fields(mapping, path);
        String role = fields.text("role");
        String mode = fields.textOr("mode", "ready");
        return new EngineEntry(
                (long) fields.number("id", 0, Long.MAX_VALUE),
                fields.text("host"),
                (int) fields.number("port", 1, MAX_PORT),
                role(role, fields),
                fields.textOr("zone", ""),
                (long) fields.numberOr("rack", 0, 0, Long.MAX_VALUE),
                fields.numberOr("units", 1, MIN_UNITS, MAX_UNITS),
                fields.numberOr("memory_tokens", Double.NaN, 1, MAX_MEMORY_TOKENS),
                startMs(fields),
                state(mode, fields));
    }

    private Fields fields(MappingNode mapping, String path) throws InvalidEngineListException {
        Map<String, Node> values = new LinkedHashMap<>();
        for (NodeTuple tuple : mapping.getValue()) {
            String key = scalar(tuple.getKeyNode(), path);
            if (!FIELDS.contains(key)) {
                throw invalid(tuple.getKeyNode(), path + "." + key, "unknown field");
            }
            values.put(key, tuple.getValueNode());
        }
        return new Fields(mapping, path, values);
    }

    private Role role(String role, Fields fields) throws InvalidEngineListException {
        return switch (role) {
            case "reader" -> Role.READER;
            case "writer" -> Role.WRITER;
            case "both" -> Role.BOTH;
            default ->
                    throw fields.invalid(
                            "role", "is '" + role + "'; expected reader, writer or both");
        };
    }

    private EndpointState state(String mode, Fields fields) throws InvalidEngineListException {
        return switch (mode) {
            case "ready" -> EndpointState.READY;
            case "draining" -> EndpointState.DRAINING;
            default ->
                    throw fields.invalid("mode", "is '" + mode + "'; expected ready or draining");
        };
    }

    private double startMs(Fields fields) throws InvalidEngineListException {
        if (!fields.has("start")) {
            return 0;
        }
        String text = fields.text("start");
        try {
            return Double.parseDouble(text);
        } catch (NumberFormatException notNumber) {
            return parseTime(text, fields);
        }
    }

    private double parseTime(String text, Fields fields) throws InvalidEngineListException {
        try {
            Instant start = OffsetDateTime.parse(text).toInstant();
            return start.toEpochMilli();
        } catch (DateTimeParseException e) {
            throw fields.invalid(
                    "start",
                    "is '"
                            + text
                            + "'; expected a time like "
                            + "2026-01-31T08:00:00Z or milliseconds of Unix time");
        }
    }

    private String scalar(Node node, String field) throws InvalidEngineListException {
        if (node instanceof ScalarNode scalar && !scalar.getValue().isEmpty()) {
            return scalar.getValue();
        }
        throw invalid(node, field, "expected a scalar that is not empty");
    }

    private InvalidEngineListException invalid(Node node, String field, String problem) {
        return new InvalidEngineListException(
                file + ":" + line(node) + ": " + field + ": " + problem);
    }

    private static int line(Node node) {
        return node.getStartMark().getLine() + 1;
    }

    /** The fields of one engine. */
    private final class Fields {
        private final Node item;
        private final String path;
        private final Map<String, Node> values;

        Fields(Node item, String path, Map<String, Node> values) {
            this.item = item;
            this.path = path;
            this.values = values;
        }

        boolean has(String field) {
            return values.containsKey(field);
        }

        /** A required field as text. */
        String text(String field) throws InvalidEngineListException {
            if (!has(field)) {
                throw EngineListReader.this.invalid(item, path + "." + field, "missing");
            }
            return scalar(values.get(field), path + "." + field);
        }

        String textOr(String field, String fallback) throws InvalidEngineListException {
            return has(field) ? text(field) : fallback;
        }

        /** A required field as a number within bounds. */
        double number(String field, double min, double max) throws InvalidEngineListException {
            String text = text(field);
            double value;
            try {
                value = Double.parseDouble(text);
            } catch (NumberFormatException e) {
                throw invalid(field, "is '" + text + "'; expected a number");
            }
            if (!(value >= min && value <= max)) {
                throw invalid(field, "is " + text + "; out of range");
            }
            return value;
        }

        double numberOr(String field, double fallback, double min, double max)
                throws InvalidEngineListException {
            return has(field) ? number(field, min, max) : fallback;
        }

        /** An exception that names the line of a field that is present. */
        InvalidEngineListException invalid(String field, String problem) {
            return EngineListReader.this.invalid(values.get(field), path + "." + field, problem);
        }
    }
}
