package larchridge.tokens;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.regex.Pattern;
import java.util.regex.PatternSyntaxException;

/**
 * Reads vocabularies: the library's by name, rank files of the tiktoken form, and {@code
 * tokenizer.json}.
 */
public final class VocabularyReader {
    private static final long MOST_BYTES = 200L << 20;

    private VocabularyReader() {}

    public static Vocabulary named(String name, String encoding) throws InvalidVocabularyException {
        return LibraryVocabulary.named(name, encoding);
    }

    /**
     * A file; split is needed for rank files, which do not tell it, and unused for the other form.
     */
    public static Vocabulary file(String name, Path file, PretokenizerPattern split)
            throws InvalidVocabularyException {
        byte[] bytes;
        try {
            if (Files.size(file) > MOST_BYTES) {
                throw new InvalidVocabularyException(file + ": over " + MOST_BYTES + " bytes");
            }
            bytes = Files.readAllBytes(file);
        } catch (IOException e) {
            throw new InvalidVocabularyException(file + ": can't be read: " + e);
        }
        String text = new String(bytes, StandardCharsets.UTF_8);
        return text.stripLeading().startsWith("{")
                ? merges(name, file, bytes)
                : ranks(name, file, text, split);
    }

    private static Vocabulary ranks(String name, Path file, String text, PretokenizerPattern split)
            throws InvalidVocabularyException {
        if (split == null) {
            throw new InvalidVocabularyException(
                    file + ": a rank file needs split: GPT2, CL100K or O200K");
        }
        @SuppressWarnings(
                "ArrayAsKeyOfSetOrMap") // The library takes ranks as such a map; nothing is looked
        // up in it.
        Map<byte[], Integer> ranks = new HashMap<>();
        Map<String, Integer> lines = new HashMap<>();
        Set<Integer> used = new HashSet<>();
        int number = 0;
        for (String line : text.split("\n")) {
            number++;
            if (line.isBlank()) {
                continue;
            }
            String[] parts = line.strip().split(" ");
            String at = file + ":" + number + ": ";
            if (parts.length != 2 || !parts[1].matches("\\d{1,9}")) {
                throw new InvalidVocabularyException(
                        at + "expected a token in base64 and its rank");
            }
            byte[] token;
            try {
                token = Base64.getDecoder().decode(parts[0]);
            } catch (IllegalArgumentException e) {
                throw new InvalidVocabularyException(at + "'" + parts[0] + "' is not base64");
            }
            Integer before = lines.put(parts[0], number);
            if (before != null) {
                throw new InvalidVocabularyException(at + "the token of line " + before + " again");
            }
            if (!used.add(Integer.parseInt(parts[1]))) {
                throw new InvalidVocabularyException(at + "rank " + parts[1] + " again");
            }
            ranks.put(token, Integer.parseInt(parts[1]));
        }
        // Guards against: a file cut short would count far too many tokens; single bytes come
        // first, the
        // end is not marked.
        for (int i = 0; i < 256; i++) {
            if (!lines.containsKey(Base64.getEncoder().encodeToString(new byte[] {(byte) i}))) {
                throw new InvalidVocabularyException(
                        file + ":" + number + ": byte " + i + " is no token; is the file whole?");
            }
        }
        int highest = used.stream().mapToInt(i -> i).max().orElse(0);
        if (!text.endsWith("\n") || highest > 2 * used.size()) {
            throw new InvalidVocabularyException(
                    file + ":" + number + ": the last line has no end; is the file whole?");
        }
        return LibraryVocabulary.ranked(name, split, ranks);
    }

    private static Vocabulary merges(String name, Path file, byte[] bytes)
            throws InvalidVocabularyException {
        JsonNode root;
        try {
            root = new ObjectMapper().readTree(bytes);
        } catch (JsonProcessingException e) {
            throw new InvalidVocabularyException(
                    file
                            + ":"
                            + (e.getLocation() == null ? 1 : e.getLocation().getLineNr())
                            + ": "
                            + e.getOriginalMessage());
        } catch (IOException e) {
            throw new InvalidVocabularyException(file + ": can't be read: " + e);
        }
        JsonNode model = root.path("model");
        if (!model.path("type").asText("BPE").equals("BPE")
                || !model.path("vocab").isObject()
                || !model.path("merges").isArray()) {
            throw new InvalidVocabularyException(
                    file + ": model: expected type BPE with vocab and merges");
        }
        JsonNode normalizer = root.path("normalizer");
        boolean nfc = normalizer.path("type").asText().equals("NFC");
        if (normalizer.isObject() && !nfc) {
            throw new InvalidVocabularyException(
                    file
                            + ": normalizer.type: '"
                            + normalizer.path("type").asText()
                            + "' is not served; NFC or none is");
        }
        Set<String> tokens = new HashSet<>();
        model.path("vocab").fieldNames().forEachRemaining(tokens::add);
        List<String[]> pairs = new ArrayList<>();
        for (JsonNode merge : model.path("merges")) {
            String[] pair =
                    merge.isArray()
                            ? new String[] {merge.path(0).asText(), merge.path(1).asText()}
                            : merge.asText().split(" ");
            if (pair.length != 2 || pair[0].isEmpty() || pair[1].isEmpty()) {
                throw new InvalidVocabularyException(
                        file + ": model.merges[" + pairs.size() + "]: expected two tokens");
            }
            pairs.add(pair);
        }
        List<String> specials = new ArrayList<>();
        for (JsonNode added : root.path("added_tokens")) {
            if (!added.path("content").asText().isEmpty()) {
                specials.add(added.path("content").asText());
            }
        }
        try {
            return new MergesVocabulary(
                    name,
                    split(file, root.path("pre_tokenizer")),
                    nfc,
                    model.path("ignore_merges").asBoolean(false),
                    tokens,
                    pairs,
                    specials);
        } catch (InvalidVocabularyException e) {
            throw new InvalidVocabularyException(file + ": model." + e.getMessage());
        }
    }

    /** Byte level with its own pattern, or a pattern of the file before it. */
    private static Pattern split(Path file, JsonNode before) throws InvalidVocabularyException {
        List<JsonNode> steps = new ArrayList<>();
        if (before.path("type").asText().equals("Sequence")) {
            before.path("pretokenizers").forEach(steps::add);
        } else {
            steps.add(before);
        }
        Pattern pattern = null;
        for (JsonNode step : steps) {
            String type = step.path("type").asText("none");
            if (type.equals("Split")
                    && pattern == null
                    && step.path("pattern").path("Regex").isTextual()
                    && step.path("behavior").asText().equals("Isolated")
                    && !step.path("invert").asBoolean()) {
                try {
                    pattern =
                            Pattern.compile(
                                    step.path("pattern").path("Regex").asText(),
                                    Pattern.UNICODE_CHARACTER_CLASS);
                } catch (PatternSyntaxException e) {
                    throw new InvalidVocabularyException(
                            file + ": pre_tokenizer: pattern: " + e.getDescription());
                }
            } else if (type.equals("ByteLevel")
                    && !step.path("add_prefix_space").asBoolean(false)) {
                if (step.path("use_regex").asBoolean(true)) {
                    if (pattern != null) {
                        throw new InvalidVocabularyException(
                                file + ": pre_tokenizer: two patterns one after the other");
                    }
                    pattern = PretokenizerPattern.GPT2.pattern;
                }
            } else {
                throw new InvalidVocabularyException(
                        file
                                + ": pre_tokenizer: "
                                + type
                                + " as written is not served; one isolated "
                                + "Split by a Regex and ByteLevel without add_prefix_space are");
            }
        }
        if (pattern == null) {
            throw new InvalidVocabularyException(file + ": pre_tokenizer: no pattern");
        }
        return pattern;
    }
}
