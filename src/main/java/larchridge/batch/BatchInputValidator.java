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
import larchridge.store.form.BatchForm;
import larchridge.store.form.FaultForm;
import larchridge.store.form.FileForm;

/**
 * Reads a batch's whole input before anything of it runs; each fault with its line, from 1, and its
 * field.
 */
final class BatchInputValidator {
    private static final int MOST_FAULTS = 100;
    private static final int MOST_ID = 512;

    /** How many lines there are, or what is wrong with them. */
    record Result(long lines, List<FaultForm> faults) {}

    /** What a line has to say before it is sent. */
    record Call(String customId, JsonNode body) {}

    /** A line that can't be a call. */
    static final class BadLine extends Exception {
        private static final long serialVersionUID = 1;
        final String code;
        final String field;

        BadLine(String code, String field, String text) {
            super(text, null, false, false);
            this.code = code;
            this.field = field;
        }
    }

    private final Store store;
    private final BatchSettings terms;
    private final ObjectMapper mapper;

    BatchInputValidator(Store store, BatchSettings terms, int nesting) {
        this.store = store;
        this.terms = terms;
        mapper =
                JsonMapper.builder(
                                com.fasterxml.jackson.core.JsonFactory.builder()
                                        .streamReadConstraints(
                                                StreamReadConstraints.builder()
                                                        .maxNestingDepth(nesting + 1)
                                                        .maxStringLength(terms.maxLineBytes)
                                                        .maxNumberLength(100)
                                                        .maxNameLength(10_000)
                                                        .build())
                                        .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
                                        .build())
                        .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
                        .build();
    }

    Result check(BatchForm batch) throws IOException {
        FileForm file = store.file(batch.getInput());
        List<FaultForm> faults = new ArrayList<>();
        long count = 0;
        store.unname(batch.getId());
        try (FileChannel channel = store.content(file);
                LineReader lines = new LineReader(channel, terms.maxLineBytes, 0, 0)) {
            for (LineReader.Line line = lines.next();
                    line != null && faults.size() < MOST_FAULTS;
                    line = lines.next()) {
                try {
                    if (++count > terms.maxLines) {
                        throw new BadLine(
                                "too_many_lines", null, "more than " + terms.maxLines + " lines");
                    }
                    Call call = read(line.bytes(), batch.getEndpoint());
                    long before = store.name(batch.getId(), call.customId, line.number());
                    if (before >= 0) {
                        throw new BadLine(
                                "duplicate_custom_id",
                                "custom_id",
                                "'"
                                        + call.customId
                                        + "' is also the custom_id of line "
                                        + (before + 1));
                    }
                } catch (BadLine e) {
                    faults.add(fault(e.code, line.number() + 1, e.field, e.getMessage()));
                    if (e.code.equals("too_many_lines")) {
                        break;
                    }
                }
            }
        }
        if (count == 0) {
            faults.add(fault("empty_file", 0, null, "the input has no lines"));
        }
        store.unname(batch.getId());
        return new Result(count, faults);
    }

    static FaultForm fault(String code, long line, String field, String text) {
        FaultForm.Builder fault =
                FaultForm.newBuilder().setCode(code).setLine(line).setMessage(text);
        return field == null ? fault.build() : fault.setField(field).build();
    }

    /** Reads one line. */
    Call read(byte[] bytes, String endpoint) throws BadLine {
        if (bytes == null) {
            throw new BadLine("line_too_long", null, "over " + terms.maxLineBytes + " bytes");
        }
        JsonNode json;
        try {
            json = mapper.readTree(bytes);
        } catch (JsonProcessingException e) {
            int column = e.getLocation() == null ? 0 : e.getLocation().getColumnNr();
            throw new BadLine(
                    "invalid_json_line",
                    null,
                    "not valid JSON at column "
                            + column
                            + ": "
                            + e.getOriginalMessage().split("\n")[0]);
        } catch (IOException e) {
            throw new BadLine("invalid_json_line", null, "can't be read");
        }
        if (json == null || !json.isObject()) {
            throw new BadLine("invalid_json_line", null, "expected a JSON object");
        }
        String id = text(json, "custom_id");
        if (id.length() > MOST_ID) {
            throw new BadLine("invalid_custom_id", "custom_id", "over " + MOST_ID + " characters");
        }
        if (!text(json, "method").equals("POST")) {
            throw new BadLine("invalid_method", "method", "expected POST");
        }
        if (!text(json, "url").equals(endpoint)) {
            throw new BadLine(
                    "mismatched_endpoint",
                    "url",
                    "'" + json.path("url").asText() + "' is not the batch's " + endpoint);
        }
        if (!json.path("body").isObject()) {
            throw new BadLine("invalid_body", "body", "expected an object");
        }
        return new Call(id, json.path("body"));
    }

    private static String text(JsonNode json, String field) throws BadLine {
        JsonNode value = json.path(field);
        if (!value.isTextual() || value.asText().isEmpty()) {
            throw new BadLine(
                    "missing_field",
                    field,
                    value.isMissingNode() ? "is missing" : "expected a text");
        }
        return value.asText();
    }
}
