package larchridge.batch;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.nio.channels.FileChannel;
import java.util.ArrayList;
import java.util.List;
import larchridge.site.BatchSettings;
import larchridge.store.Store;
import larchridge.store.proto.BatchRecord;
import larchridge.store.proto.InputError;

/**
 * Validates the lines of a batch's input, but not the request bodies in them, before any line runs;
 * stops at the maximum number of faults. Each fault names its line, counted from 1, and its field.
 */
final class BatchInputValidator {
    private static final int MAX_FAULTS = 100;
    private static final int MAX_ID_CHARS = 512;

    /** The number of lines, and the faults found in them. */
    record Result(long lineCount, List<InputError> faults) {}

    /** The request that a line contains. */
    record LineRequest(String customId, JsonNode body) {}

    /** A line that is not a valid request. */
    static final class InvalidLineException extends Exception {
        private static final long serialVersionUID = 1;
        final String code;
        final String field;

        InvalidLineException(String code, String field, String message) {
            super(message, null, false, false);
            this.code = code;
            this.field = field;
        }
    }

    private final Store store;
    private final BatchSettings settings;
    private final ObjectMapper mapper;

    BatchInputValidator(Store store, BatchSettings settings, int nesting) {
        this.store = store;
        this.settings = settings;
        mapper =
                JsonMapper.builder(
                                com.fasterxml.jackson.core.JsonFactory.builder()
                                        .streamReadConstraints(
                                                StreamReadConstraints.builder()
                                                        .maxNestingDepth(nesting + 1)
                                                        .maxStringLength(settings.maxLineBytes)
                                                        .maxNumberLength(100)
                                                        .maxNameLength(10_000)
                                                        .build())
                                        .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
                                        .build())
                        .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
                        .build();
    }

    Result validate(BatchRecord batch) throws IOException {
        List<InputError> faults = new ArrayList<>();
        long lineCount = 0;
        store.forgetCustomIds(batch.getId());
        try (FileChannel channel = store.openInput(batch);
                LineReader lines = new LineReader(channel, settings.maxLineBytes, 0, 0)) {
            for (LineReader.Line line = lines.next();
                    line != null && faults.size() < MAX_FAULTS;
                    line = lines.next()) {
                try {
                    if (++lineCount > settings.maxLines) {
                        throw new InvalidLineException(
                                "too_many_lines",
                                null,
                                "more than " + settings.maxLines + " lines");
                    }
                    LineRequest parsed = parseLine(line.bytes(), batch.getEndpoint());
                    long first = store.recordCustomId(batch.getId(), parsed.customId, line.index());
                    if (first >= 0) {
                        throw new InvalidLineException(
                                "duplicate_custom_id",
                                "custom_id",
                                ("'" + parsed.customId + "' is also the custom_id of line ")
                                        + (first + 1));
                    }
                } catch (InvalidLineException e) {
                    faults.add(fault(e.code, line.index() + 1, e.field, e.getMessage()));
                    if (e.code.equals("too_many_lines")) {
                        break;
                    }
                }
            }
        }
        if (lineCount == 0) {
            faults.add(fault("empty_file", 0, null, "the input has no lines"));
        }
        store.forgetCustomIds(batch.getId());
        return new Result(lineCount, faults);
    }

    static InputError fault(String code, long line, String field, String message) {
        InputError.Builder fault =
                InputError.newBuilder().setCode(code).setLine(line).setMessage(message);
        return field == null ? fault.build() : fault.setField(field).build();
    }

    /** Parses one line; {@code bytes} is null if the line is over the size limit. */
    LineRequest parseLine(byte[] bytes, String endpoint) throws InvalidLineException {
        if (bytes == null) {
            throw new InvalidLineException(
                    "line_too_long", null, "over " + settings.maxLineBytes + " bytes");
        }
        JsonNode json;
        try {
            json = mapper.readTree(bytes);
        } catch (JsonProcessingException e) {
            int column = e.getLocation() == null ? 0 : e.getLocation().getColumnNr();
            throw new InvalidLineException(
                    "invalid_json_line",
                    null,
                    ("not valid JSON at column " + column + ": ")
                            + e.getOriginalMessage().split("\n")[0]);
        } catch (IOException e) {
            throw new InvalidLineException("invalid_json_line", null, "can't be read");
        }
        if (json == null || !json.isObject()) {
            throw new InvalidLineException("invalid_json_line", null, "expected a JSON object");
        }
        String customId = requiredText(json, "custom_id");
        if (customId.length() > MAX_ID_CHARS) {
            throw new InvalidLineException(
                    "invalid_custom_id", "custom_id", "over " + MAX_ID_CHARS + " characters");
        }
        if (!requiredText(json, "method").equals("POST")) {
            throw new InvalidLineException("invalid_method", "method", "expected POST");
        }
        if (!requiredText(json, "url").equals(endpoint)) {
            throw new InvalidLineException(
                    "mismatched_endpoint",
                    "url",
                    "'" + json.path("url").asText() + "' is not the batch's " + endpoint);
        }
        if (!json.path("body").isObject()) {
            throw new InvalidLineException("invalid_body", "body", "expected an object");
        }
        return new LineRequest(customId, json.path("body"));
    }

    private static String requiredText(JsonNode json, String field) throws InvalidLineException {
        JsonNode value = json.path(field);
        if (!value.isTextual() || value.asText().isEmpty()) {
            throw new InvalidLineException(
                    "missing_field",
                    field,
                    value.isMissingNode() ? "is missing" : "expected a text");
        }
        return value.asText();
    }
}
