package larchridge.tokens;

import com.knuddels.jtokkit.Encodings;
import com.knuddels.jtokkit.api.Encoding;
import com.knuddels.jtokkit.api.EncodingRegistry;
import com.knuddels.jtokkit.api.EncodingType;
import com.knuddels.jtokkit.api.GptBytePairEncodingParams;
import java.util.Map;
import java.util.Optional;

/** A vocabulary counted by JTokkit: one of its own, or ranks from a file. */
final class LibraryVocabulary implements Vocabulary {
    /** The longest token of the library's own encodings: a run of spaces. */
    private static final int LONGEST = 128;

    private final String name;
    private final Encoding encoding;
    private final int longest;

    private LibraryVocabulary(String name, Encoding encoding, int longest) {
        this.name = name;
        this.encoding = encoding;
        this.longest = longest;
    }

    static Vocabulary named(String name, String encodingName) throws InvalidVocabularyException {
        Optional<EncodingType> type = EncodingType.fromName(encodingName);
        if (type.isEmpty()) {
            throw new InvalidVocabularyException(
                    "vocabulary " + name + ": no encoding '" + encodingName + "'");
        }
        return new LibraryVocabulary(
                name, Encodings.newLazyEncodingRegistry().getEncoding(type.get()), LONGEST);
    }

    static Vocabulary ranked(String name, PretokenizerPattern split, Map<byte[], Integer> ranks) {
        EncodingRegistry registry = Encodings.newLazyEncodingRegistry();
        registry.registerGptBytePairEncoding(
                new GptBytePairEncodingParams(name, split.pattern, ranks, Map.of()));
        int longest = 1;
        for (byte[] token : ranks.keySet()) {
            longest = Math.max(longest, token.length);
        }
        return new LibraryVocabulary(name, registry.getEncoding(name).orElseThrow(), longest);
    }

    @Override
    public String name() {
        return name;
    }

    @Override
    public int count(String text) {
        return encoding.countTokensOrdinary(whole(text));
    }

    /**
     * Guards against: the library throws at half a pair of surrogates, which JSON may well hold;
     * engines get a '?' for it.
     */
    private static String whole(String text) {
        StringBuilder mended = null;
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
                mended = mended == null ? new StringBuilder(text) : mended;
                mended.setCharAt(i, '?');
            }
        }
        return mended == null ? text : mended.toString();
    }

    @Override
    public int longestTokenBytes() {
        return longest;
    }
}
