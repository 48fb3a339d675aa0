package larchridge.tokens;

import com.knuddels.jtokkit.Encodings;
import com.knuddels.jtokkit.api.Encoding;
import com.knuddels.jtokkit.api.EncodingRegistry;
import com.knuddels.jtokkit.api.EncodingType;
import com.knuddels.jtokkit.api.GptBytePairEncodingParams;
import java.util.Map;
import java.util.Optional;

/** Counts with the JTokkit library: an encoding of the library, or ranks read from a file. */
final class JtokkitVocabulary implements Vocabulary {
    /** The longest token of the library's own encodings, a run of spaces. */
    private static final int LIBRARY_MAX_TOKEN_BYTES = 128;

    private final String name;
    private final Encoding encoding;
    private final int maxTokenBytes;

    private JtokkitVocabulary(String name, Encoding encoding, int maxTokenBytes) {
        this.name = name;
        this.encoding = encoding;
        this.maxTokenBytes = maxTokenBytes;
    }

    static Vocabulary forEncoding(String name, String encodingName)
            throws InvalidVocabularyException {
        Optional<EncodingType> type = EncodingType.fromName(encodingName);
        if (type.isEmpty()) {
            throw new InvalidVocabularyException(
                    "vocabulary " + name + ": unknown encoding '" + encodingName + "'");
        }
        return new JtokkitVocabulary(
                name,
                Encodings.newLazyEncodingRegistry().getEncoding(type.get()),
                LIBRARY_MAX_TOKEN_BYTES);
    }

    static Vocabulary fromRanks(
            String name, PretokenizerPattern pretokenizer, Map<byte[], Integer> ranks) {
        EncodingRegistry registry = Encodings.newLazyEncodingRegistry();
        registry.registerGptBytePairEncoding(
                new GptBytePairEncodingParams(name, pretokenizer.pattern, ranks, Map.of()));
        int maxTokenBytes = 1;
        for (byte[] token : ranks.keySet()) {
            maxTokenBytes = Math.max(maxTokenBytes, token.length);
        }
        return new JtokkitVocabulary(name, registry.getEncoding(name).orElseThrow(), maxTokenBytes);
    }

    @Override
    public String name() {
        return name;
    }

    @Override
    public int count(String text) {
        return encoding.countTokensOrdinary(replaceUnpairedSurrogates(text));
    }

    /**
     * Guards against: the library throws an exception for an unpaired surrogate, which JSON may
     * contain. Engines receive a '?' in its place, so this is what is counted.
     */
    private static String replaceUnpairedSurrogates(String text) {
        StringBuilder replaced = null;
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            if (!Character.isSurrogate(c)) {
                continue;
            }
            if (Character.isHighSurrogate(c)
                    && i + 1 < text.length()
                    && Character.isLowSurrogate(text.charAt(i + 1))) {
                i++;
            } else {
                replaced = replaced == null ? new StringBuilder(text) : replaced;
                replaced.setCharAt(i, '?');
            }
        }
        return replaced == null ? text : replaced.toString();
    }

    @Override
    public int maxTokenBytes() {
        return maxTokenBytes;
    }
}
