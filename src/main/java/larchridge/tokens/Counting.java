package larchridge.tokens;

import java.util.ArrayList;
import java.util.List;

/**
 * The count of one text, and of its beginning up to a mark, on its way: what is known already, and
 * what is still to be counted. The beginning has the text's own parts but for the one in which the
 * mark stands.
 */
public final class Counting {
    /**
     * A part longer than this has no place to be cut and is not counted: nothing could call that
     * off.
     */
    static final int MOST_CHARS = 256 << 10;

    private final String text;
    private final Vocabulary vocabulary;
    private final CountCache cache;
    private final List<Part> parts = new ArrayList<>();

    /** How many parts end before the mark, and the piece from there to it. */
    private int beforeMark;

    private final Part toMark;
    private volatile boolean calledOff;

    /** A part; key is null where it can't be counted, toks is under 0 until it is known. */
    private static final class Part {
        final int from;
        final int to;
        final CountCache.Key key;
        int tokens = -1;

        Part(int from, int to, CountCache.Key key) {
            this.from = from;
            this.to = to;
            this.key = key;
        }

        int missingChars() {
            return tokens < 0 && key != null ? to - from : 0;
        }
    }

    /** Looks up the parts of a text; costs a digest of it. */
    public Counting(String text, int mark, Vocabulary vocabulary, CountCache cache) {
        this.text = text;
        this.vocabulary = vocabulary;
        this.cache = cache;
        int begun = 0;
        for (int from = 0; from < text.length(); ) {
            int to = TextChunker.end(text, from);
            parts.add(part(from, to));
            if (to <= mark) {
                beforeMark++;
                begun = to;
            }
            from = to;
        }
        toMark = part(begun, Math.max(begun, mark));
    }

    private Part part(int from, int to) {
        if (from == to || to - from > MOST_CHARS) {
            return new Part(from, to, null);
        }
        Part part = new Part(from, to, CountCache.key(text.substring(from, to), vocabulary.name()));
        part.tokens = cache.get(part.key);
        return part;
    }

    /** Characters that would have to be counted. */
    public int missingChars() {
        return parts.stream().mapToInt(Part::missingChars).sum() + toMark.missingChars();
    }

    /**
     * Counts what is missing, on any thread; false if it was called off. How long that took goes to
     * the pace.
     */
    public boolean finish(CountingRate pace) {
        long start = System.nanoTime();
        int chars = 0;
        for (int i = 0; i <= parts.size(); i++) {
            if (calledOff) {
                return false;
            }
            Part part = i < parts.size() ? parts.get(i) : toMark;
            if (part.missingChars() > 0) {
                part.tokens = vocabulary.count(text.substring(part.from, part.to));
                cache.put(part.key, part.tokens);
                chars += part.to - part.from;
            }
        }
        if (chars > 0) {
            int tokens = 0;
            int ofChars = 0;
            for (Part part : parts) {
                tokens += Math.max(0, part.tokens);
                ofChars += part.tokens < 0 ? 0 : part.to - part.from;
            }
            pace.counted(chars, System.nanoTime() - start, tokens, ofChars);
        }
        return true;
    }

    /** Whoever asked has left; a count that runs ends at the next part. */
    public void callOff() {
        calledOff = true;
    }

    /**
     * What is known now of the text: the count if nothing is missing, a guess for the rest at so
     * many tokens a character.
     */
    public TokenCount count(double tokensAChar) {
        return sum(parts, tokensAChar);
    }

    /** The same of its beginning. */
    public TokenCount beginning(double tokensAChar) {
        List<Part> own = new ArrayList<>(parts.subList(0, beforeMark));
        own.add(toMark);
        return sum(own, tokensAChar);
    }

    private TokenCount sum(List<Part> some, double tokensAChar) {
        int known = 0;
        int unknownChars = 0;
        int unknownBytes = 0;
        for (Part part : some) {
            if (part.tokens >= 0) {
                known += part.tokens;
            } else {
                unknownChars += part.to - part.from;
                unknownBytes += bytes(part);
            }
        }
        int least =
                known
                        + (unknownChars == 0
                                ? 0
                                : Math.max(1, unknownBytes / vocabulary.longestTokenBytes()));
        int most = known + unknownBytes;
        double guess = known + tokensAChar * unknownChars;
        return new TokenCount(
                (int) Math.max(least, Math.min(most, Math.round(guess))),
                least,
                most,
                unknownChars == 0);
    }

    /** Bytes of a part as UTF-8. */
    private int bytes(Part part) {
        int bytes = 0;
        for (int i = part.from; i < part.to; i++) {
            char c = text.charAt(i);
            bytes += c < 0x80 ? 1 : c < 0x800 ? 2 : Character.isSurrogate(c) ? 2 : 3;
        }
        return bytes;
    }
}
