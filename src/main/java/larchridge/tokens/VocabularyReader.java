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
 * Creates vocabularies: encodings of the JTokkit library by name, rank files in the tiktoken
 * format, and {@code tokenizer.json} files.
 */
public final class VocabularyReader {
    private static final long MAX_FILE_BYTES = 200L << 20;

    private VocabularyReader() {}

    /**
     * A vocabulary of the library.
     *
     * @param name its name in the site file
     * @param encoding the library's name of it
     */
    public static Vocabulary forEncoding(String name, String encoding)
            throws InvalidVocabularyException {
        return JtokkitVocabulary.forEncoding(name, encoding);
    }

    /**
     * Reads a vocabulary file of either format.
     *
     * @param name its name in the site file
     * @param pretokenizer the pattern for a rank file, which does not contain one; not used for
     *     {@code tokenizer.json}
     */
    public static Vocabulary readFile(String name, Path file, PretokenizerPattern pretokenizer)
            throws InvalidVocabularyException {
        byte[] bytes;
        try {
            if (Files.size(file) > MAX_FILE_BYTES) {
                throw new InvalidVocabularyException(
                        file + ": larger than " + MAX_FILE_BYTES + " bytes");
            }
            bytes = Files.readAllBytes(file);
        } catch (IOException e) {
            throw new InvalidVocabularyException(file + ": can't be read: " + e);
        }
        String text = new String(bytes, StandardCharsets.UTF_8);
        return text.stripLeading().startsWith("{")
                ? readTokenizerJson(name, file, bytes)
                : readRankFile(name, file, text, pretokenizer);
    }

    private static Vocabulary readRankFile(
            String name, Path file, String text, PretokenizerPattern pretokenizer)
            throws InvalidVocabularyException {
        if (pretokenizer == null) {
            throw new InvalidVocabularyException(
                    file + ": a rank file requires the field split (GPT2, CL100K or O200K)");
        }
        // The library takes a map with arrays as keys. Arrays are compared by identity, which does
        // no harm, since nothing is looked up in this map.
        @SuppressWarnings("ArrayAsKeyOfSetOrMap")
        Map<byte[], Integer> ranks = new HashMap<>();
        Map<String, Integer> lineByToken = new HashMap<>();
        Set<Integer> usedRanks = new HashSet<>();
        int lineNumber = 0;
        for (String line : text.split("\n")) {
            lineNumber++;
            if (line.isBlank()) {
                continue;
            }
            String[] fields = line.strip().split(" ");
            String location = file + ":" + lineNumber + ": ";
            if (fields.length != 2 || !fields[1].matches("\\d{1,9}")) {
                throw new InvalidVocabularyException(
                        location + "expected a token in base64 and its rank");
            }
            byte[] token;
            try {
                token = Base64.getDecoder().decode(fields[0]);
            } catch (IllegalArgumentException e) {
                throw new InvalidVocabularyException(
                        location + "'" + fields[0] + "' is not base64");
            }
            Integer earlierLine = lineByToken.put(fields[0], lineNumber);
            if (earlierLine != null) {
                throw new InvalidVocabularyException(
                        location + "duplicate of the token on line " + earlierLine);
            }
            if (!usedRanks.add(Integer.parseInt(fields[1]))) {
                throw new InvalidVocabularyException(location + "duplicate rank " + fields[1]);
            }
            ranks.put(token, Integer.parseInt(fields[1]));
        }
        // Guards against: a truncated file would give far too high counts. The format has no end
        // mark. Tokens of a single byte come first, so a file that lacks one ends very early.
        for (int i = 0; i < 256; i++) {
            if (!lineByToken.containsKey(
                    Base64.getEncoder().encodeToString(new byte[] {(byte) i}))) {
                throw new InvalidVocabularyException(
                        file
                                + ":"
                                + lineNumber
                                + ": no token for byte "
                                + i
                                + "; the file may be truncated");
            }
        }
        int highestRank = usedRanks.stream().mapToInt(i -> i).max().orElse(0);
        // A file that ends inside a line lacks the last line feed. A file that lacks lines may have
        // ranks that are too high for its number of tokens.
        if (!text.endsWith("\n") || highestRank > 2 * usedRanks.size()) {
            throw new InvalidVocabularyException(
                    file
                            + ":"
                            + lineNumber
                            + ": the last line does not end in a line feed, or the highest rank is"
                            + " over twice the number of tokens; the file may be truncated");
        }
        return JtokkitVocabulary.fromRanks(name, pretokenizer, ranks);
    }

    private static Vocabulary readTokenizerJson(String name, Path file, byte[] bytes)
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
                            + "' is not supported; expected NFC or none");
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
        List<String> specialTokens = new ArrayList<>();
        for (JsonNode added : root.path("added_tokens")) {
            if (!added.path("content").asText().isEmpty()) {
                specialTokens.add(added.path("content").asText());
            }
        }
        try {
            return new MergesVocabulary(
                    name,
                    pretokenizerPattern(file, root.path("pre_tokenizer")),
                    nfc,
                    model.path("ignore_merges").asBoolean(false),
                    tokens,
                    pairs,
                    specialTokens);
        } catch (InvalidVocabularyException e) {
            throw new InvalidVocabularyException(file + ": model." + e.getMessage());
        }
    }

    /** The pattern of a Split step before the ByteLevel step, or else ByteLevel's own pattern. */
    private static Pattern pretokenizerPattern(Path file, JsonNode preTokenizer)
            throws InvalidVocabularyException {
        List<JsonNode> steps = new ArrayList<>();
        if (preTokenizer.path("type").asText().equals("Sequence")) {
            preTokenizer.path("pretokenizers").forEach(steps::add);
        } else {
            steps.add(preTokenizer);
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
                                file + ": pre_tokenizer: more than one pattern");
                    }
                    pattern = PretokenizerPattern.GPT2.pattern;
                }
            } else {
                throw new InvalidVocabularyException(
                        file
                                + ": pre_tokenizer: "
                                + type
                                + " is not supported as configured; expected at most one isolated"
                                + " Split by a Regex, and ByteLevel without add_prefix_space");
            }
        }
        if (pattern == null) {
            throw new InvalidVocabularyException(file + ": pre_tokenizer: no pattern");
        }
        return pattern;
    }
}
