package larchridge.tokens;

import java.nio.charset.StandardCharsets;
import java.text.Normalizer;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Byte pairs merged in the order of a list, as {@code tokenizer.json} files have it. The library
 * merges any neighbours whose joined bytes are a token, which is not the same where a list has no
 * such pair; hence this one.
 */
final class MergesVocabulary implements Vocabulary {
    private final String name;
    private final Pattern split;
    private final boolean normalized;
    private final boolean wholePieces;
    private final Map<String, Integer> numbers;
    private final Set<String> tokens;

    /** By pair of symbols: the rank of their merge and the symbol that comes of it. */
    private final Map<Long, long[]> merges = new HashMap<>();

    private final int[] bytes = new int[256];
    private final Pattern special;
    private final int longest;

    /**
     * A vocabulary of a merges list.
     *
     * @param tokens all tokens, each byte a character of the byte-level alphabet
     * @param pairs the pairs in the order in which they are merged
     * @param specials texts that are one token wherever they stand
     * @param wholePieces whether a piece that is a token is never cut
     */
    MergesVocabulary(
            String name,
            Pattern split,
            boolean normalized,
            boolean wholePieces,
            Set<String> tokens,
            List<String[]> pairs,
            List<String> specials)
            throws InvalidVocabularyException {
        this.name = name;
        this.split = split;
        this.normalized = normalized;
        this.wholePieces = wholePieces;
        this.tokens = tokens;
        numbers = new HashMap<>();
        for (int i = 0; i < 256; i++) {
            bytes[i] = number(String.valueOf(alphabet(i)));
        }
        for (int i = 0; i < pairs.size(); i++) {
            String joined = pairs.get(i)[0] + pairs.get(i)[1];
            if (!tokens.contains(joined)) {
                throw new InvalidVocabularyException(
                        "merge " + i + ": '" + joined + "' is no token");
            }
            long pair = pair(number(pairs.get(i)[0]), number(pairs.get(i)[1]));
            merges.putIfAbsent(pair, new long[] {i, number(joined)});
        }
        special =
                specials.isEmpty()
                        ? null
                        : Pattern.compile(
                                String.join(
                                        "|",
                                        specials.stream()
                                                .sorted((a, b) -> b.length() - a.length())
                                                .map(Pattern::quote)
                                                .toList()));
        int most =
                specials.stream()
                        .mapToInt(s -> s.getBytes(StandardCharsets.UTF_8).length)
                        .max()
                        .orElse(1);
        longest = Math.max(most, tokens.stream().mapToInt(String::length).max().orElse(1));
    }

    private int number(String symbol) {
        return numbers.computeIfAbsent(symbol, s -> numbers.size());
    }

    private static long pair(int left, int right) {
        return (long) left << 32 | right;
    }

    /**
     * The published byte-level alphabet: printable bytes are themselves, the others follow from 256
     * on.
     */
    static char alphabet(int value) {
        if (isPlain(value)) {
            return (char) value;
        }
        int before = 0;
        for (int i = 0; i < value; i++) {
            before += isPlain(i) ? 0 : 1;
        }
        return (char) (256 + before);
    }

    private static boolean isPlain(int value) {
        return (value >= '!' && value <= '~')
                || (value >= 0xA1 && value <= 0xAC)
                || (value >= 0xAE && value <= 0xFF);
    }

    @Override
    public String name() {
        return name;
    }

    @Override
    public int longestTokenBytes() {
        return longest;
    }

    @Override
    public int count(String text) {
        String all = normalized ? Normalizer.normalize(text, Normalizer.Form.NFC) : text;
        if (special == null) {
            return ordinary(all);
        }
        int count = 0;
        int from = 0;
        Matcher mark = special.matcher(all);
        while (mark.find()) {
            count += ordinary(all.substring(from, mark.start())) + 1;
            from = mark.end();
        }
        return count + ordinary(all.substring(from));
    }

    private int ordinary(String text) {
        int count = 0;
        Matcher piece = split.matcher(text);
        int from = 0;
        while (piece.find()) {
            // What no piece takes stands alone between two.
            count += piece.start() > from ? merged(text.substring(from, piece.start())) : 0;
            count += merged(piece.group());
            from = piece.end();
        }
        return count + (from < text.length() ? merged(text.substring(from)) : 0);
    }

    /** A place where two neighbours may be merged; lower ranks first, then the left one. */
    private record Spot(long rank, int left, int right, int into, int leftIs, int rightIs)
            implements Comparable<Spot> {
        @Override
        public int compareTo(Spot other) {
            return rank != other.rank
                    ? Long.compare(rank, other.rank)
                    : Integer.compare(left, other.left);
        }
    }

    private int merged(String piece) {
        byte[] raw = piece.getBytes(StandardCharsets.UTF_8);
        if (raw.length < 2 || (wholePieces && tokens.contains(spelled(raw)))) {
            return Math.min(1, raw.length);
        }
        int[] symbols = new int[raw.length];
        int[] next = new int[raw.length];
        int[] before = new int[raw.length];
        for (int i = 0; i < raw.length; i++) {
            symbols[i] = bytes[raw[i] & 255];
            next[i] = i + 1 < raw.length ? i + 1 : -1;
            before[i] = i - 1;
        }
        PriorityQueue<Spot> spots = new PriorityQueue<>();
        for (int i = 0; i + 1 < raw.length; i++) {
            spot(spots, symbols, i, i + 1);
        }
        int count = raw.length;
        while (!spots.isEmpty()) {
            Spot endpoint = spots.poll();
            // One of the two may have been merged since, or the left one has another neighbour.
            if (symbols[endpoint.left] != endpoint.leftIs
                    || next[endpoint.left] != endpoint.right
                    || symbols[endpoint.right] != endpoint.rightIs) {
                continue;
            }
            symbols[endpoint.left] = endpoint.into;
            symbols[endpoint.right] = -1;
            next[endpoint.left] = next[endpoint.right];
            if (next[endpoint.left] >= 0) {
                before[next[endpoint.left]] = endpoint.left;
                spot(spots, symbols, endpoint.left, next[endpoint.left]);
            }
            if (before[endpoint.left] >= 0) {
                spot(spots, symbols, before[endpoint.left], endpoint.left);
            }
            count--;
        }
        return count;
    }

    private void spot(PriorityQueue<Spot> spots, int[] symbols, int left, int right) {
        long[] merge = merges.get(pair(symbols[left], symbols[right]));
        if (merge != null) {
            spots.add(
                    new Spot(merge[0], left, right, (int) merge[1], symbols[left], symbols[right]));
        }
    }

    private static String spelled(byte[] raw) {
        char[] text = new char[raw.length];
        for (int i = 0; i < raw.length; i++) {
            text[i] = alphabet(raw[i] & 255);
        }
        return new String(text);
    }
}
