package larchridge.tokens;

import java.util.ArrayList;
import java.util.List;

/** The count of one text on its way: what is known of it already, and what is still to be counted. */
public final class Counting {
    /** A part longer than this has no place to be cut and is not counted: nothing could call it off. */
    static final int MOST_CHARS = 256 << 10;

    private final String text;
    private final Vocabulary vocabulary;
    private final CountCache cache;
    private final List<Missing> missing = new ArrayList<>();
    private int known;
    private int uncountable;
    private int missingChars;
    private volatile boolean calledOff;

    private record Missing(CountCache.Key key, int from, int to) { }

    /** Looks up the parts of a text; costs a digest of it. */
    public Counting(String text, Vocabulary vocabulary, CountCache cache) {
        this.text = text;
        this.vocabulary = vocabulary;
        this.cache = cache;
        for (int from = 0; from < text.length();) {
            int to = Chunks.end(text, from);
            if (to - from > MOST_CHARS) {
                uncountable += to - from;
            } else {
                CountCache.Key key = CountCache.key(text.substring(from, to), vocabulary.name());
                int count = cache.get(key);
                if (count >= 0) {
                    known += count;
                } else {
                    missing.add(new Missing(key, from, to));
                    missingChars += to - from;
                }
            }
            from = to;
        }
    }

    /** Characters that would have to be counted. */
    public int missingChars() {
        return missingChars;
    }

    /** Counts what is missing, on any thread; false if it was called off. Nanoseconds and characters go to the pace. */
    public boolean finish(Pace pace) {
        long start = System.nanoTime();
        int chars = 0;
        for (Missing part : missing) {
            if (calledOff) {
                return false;
            }
            int count = vocabulary.count(text.substring(part.from, part.to));
            cache.put(part.key, count);
            known += count;
            chars += part.to - part.from;
        }
        if (chars > 0) {
            pace.counted(chars, known, text.length() - uncountable, System.nanoTime() - start);
        }
        missing.clear();
        missingChars = 0;
        return true;
    }

    /** Whoever asked has left; a count that runs ends at the next part. */
    public void callOff() {
        calledOff = true;
    }

    /** What is known now: the count if nothing is missing, an estimate for the rest at so many tokens a character. */
    public Count count(double toksAChar) {
        int unknown = missingChars + uncountable;
        int bytes = unknown == 0 ? 0 : bytes();
        int least = known + (unknown == 0 ? 0 : Math.max(1, bytes / vocabulary.longestTokBytes()));
        int most = known + bytes;
        double guess = known + toksAChar * unknown;
        return new Count((int) Math.max(least, Math.min(most, Math.round(guess))), least, most, unknown == 0);
    }

    /** Bytes of what is not known, at most: three a char, or four for two. */
    private int bytes() {
        int bytes = 0;
        int at = 0;
        for (int from = 0; from < text.length(); from = at) {
            at = Chunks.end(text, from);
            boolean isKnown = at - from <= MOST_CHARS;
            for (Missing part : missing) {
                isKnown &= part.from != from;
            }
            for (int i = from; i < at && !isKnown; i++) {
                char c = text.charAt(i);
                bytes += c < 0x80 ? 1 : c < 0x800 ? 2 : Character.isSurrogate(c) ? 2 : 3;
            }
        }
        return bytes;
    }
}
