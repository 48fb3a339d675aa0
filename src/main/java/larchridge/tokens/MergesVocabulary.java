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
 * Byte-pair encoding by an ordered list of merges, the form of {@code tokenizer.json} files.
 * JTokkit merges any two adjacent symbols whose joined bytes are a token, which gives other counts
 * where the list has no such pair.
 */
final class MergesVocabulary implements Vocabulary {
    private final String name;
    private final Pattern pretokenizer;
    private final boolean normalizesToNfc;
    private final boolean ignoreMerges;

    /**
     * Ids of the symbols by their text in the byte-level alphabet. A symbol is a single byte or the
     * result of a merge.
     */
    private final Map<String, Integer> symbolIds;

    private final Set<String> tokens;

    /** By {@link #pairKey}: the rank of the pair's merge and the id of the resulting symbol. */
    private final Map<Long, long[]> merges = new HashMap<>();

    /** The symbol id of each byte. */
    private final int[] byteSymbols = new int[256];

    private final Pattern specialTokenPattern;
    private final int maxTokenBytes;

    /**
     * A vocabulary given by its merges.
     *
     * @param ignoreMerges whether a piece that is itself a token counts as one without any merges
     * @param tokens all tokens, each byte written as a character of the byte-level alphabet
     * @param pairs the pairs in the order in which they are merged
     * @param specialTokens texts that are one token wherever they occur
     */
    MergesVocabulary(
            String name,
            Pattern pretokenizer,
            boolean normalizesToNfc,
            boolean ignoreMerges,
            Set<String> tokens,
            List<String[]> pairs,
            List<String> specialTokens)
            throws InvalidVocabularyException {
        this.name = name;
        this.pretokenizer = pretokenizer;
        this.normalizesToNfc = normalizesToNfc;
        this.ignoreMerges = ignoreMerges;
        this.tokens = tokens;
        symbolIds = new HashMap<>();
        for (int i = 0; i < 256; i++) {
            byteSymbols[i] = symbolId(String.valueOf(byteLevelChar(i)));
        }
        for (int i = 0; i < pairs.size(); i++) {
            String joined = pairs.get(i)[0] + pairs.get(i)[1];
            if (!tokens.contains(joined)) {
                throw new InvalidVocabularyException(
                        "merges[" + i + "]: '" + joined + "' is not in vocab");
            }
            long pairKey = pairKey(symbolId(pairs.get(i)[0]), symbolId(pairs.get(i)[1]));
            merges.putIfAbsent(pairKey, new long[] {i, symbolId(joined)});
        }
        specialTokenPattern =
                specialTokens.isEmpty()
                        ? null
                        : Pattern.compile(
                                String.join(
                                        "|",
                                        specialTokens.stream()
                                                .sorted((a, b) -> b.length() - a.length())
                                                .map(Pattern::quote)
                                                .toList()));
        int maxSpecialTokenBytes =
                specialTokens.stream()
                        .mapToInt(s -> s.getBytes(StandardCharsets.UTF_8).length)
                        .max()
                        .orElse(1);
        maxTokenBytes =
                Math.max(
                        maxSpecialTokenBytes,
                        tokens.stream().mapToInt(String::length).max().orElse(1));
    }

    private int symbolId(String symbol) {
        return symbolIds.computeIfAbsent(symbol, s -> symbolIds.size());
    }

    /** Packs the ids of two symbols into a key of {@link #merges}. */
    private static long pairKey(int left, int right) {
        return (long) left << 32 | right;
    }

    /**
     * The character of a byte in GPT-2's byte-level alphabet: printable bytes stand for themselves,
     * the others are numbered from 256.
     */
    static char byteLevelChar(int value) {
        if (isPrintable(value)) {
            return (char) value;
        }
        int unprintableBelow = 0;
        for (int i = 0; i < value; i++) {
            unprintableBelow += isPrintable(i) ? 0 : 1;
        }
        return (char) (256 + unprintableBelow);
    }

    private static boolean isPrintable(int value) {
        return (value >= '!' && value <= '~')
                || (value >= 0xA1 && value <= 0xAC)
                || (value >= 0xAE && value <= 0xFF);
    }

    @Override
    public String name() {
        return name;
    }

    @Override
    public int maxTokenBytes() {
        return maxTokenBytes;
    }

    @Override
    public int count(String text) {
        String normalizedText =
                normalizesToNfc ? Normalizer.normalize(text, Normalizer.Form.NFC) : text;
        if (specialTokenPattern == null) {
            return countOrdinary(normalizedText);
        }
        int count = 0;
        int from = 0;
        Matcher specialToken = specialTokenPattern.matcher(normalizedText);
        while (specialToken.find()) {
            count += countOrdinary(normalizedText.substring(from, specialToken.start())) + 1;
            from = specialToken.end();
        }
        return count + countOrdinary(normalizedText.substring(from));
    }

    private int countOrdinary(String text) {
        int count = 0;
        Matcher piece = pretokenizer.matcher(text);
        int from = 0;
        while (piece.find()) {
            // Text between two matches of the pattern is a piece of its own.
            count += piece.start() > from ? countPiece(text.substring(from, piece.start())) : 0;
            count += countPiece(piece.group());
            from = piece.end();
        }
        return count + (from < text.length() ? countPiece(text.substring(from)) : 0);
    }

    /**
     * Two adjacent symbols that may be merged; ordered by rank, then from left to right. Left and
     * right are the indexes of their first bytes in the piece; symbols are given by their ids.
     */
    private record MergeCandidate(
            long rank, int left, int right, int mergedSymbol, int leftSymbol, int rightSymbol)
            implements Comparable<MergeCandidate> {
        @Override
        public int compareTo(MergeCandidate other) {
            return rank != other.rank
                    ? Long.compare(rank, other.rank)
                    : Integer.compare(left, other.left);
        }
    }

    private int countPiece(String piece) {
        byte[] utf8 = piece.getBytes(StandardCharsets.UTF_8);
        if (utf8.length < 2 || (ignoreMerges && tokens.contains(toByteLevel(utf8)))) {
            return Math.min(1, utf8.length);
        }
        // Ids of the symbols by the index of their first byte; -1 marks a symbol that was merged
        // into the one on its left.
        int[] symbols = new int[utf8.length];
        int[] next = new int[utf8.length];
        int[] previous = new int[utf8.length];
        for (int i = 0; i < utf8.length; i++) {
            symbols[i] = byteSymbols[utf8[i] & 255];
            next[i] = i + 1 < utf8.length ? i + 1 : -1;
            previous[i] = i - 1;
        }
        PriorityQueue<MergeCandidate> candidates = new PriorityQueue<>();
        for (int i = 0; i + 1 < utf8.length; i++) {
            addCandidate(candidates, symbols, i, i + 1);
        }
        int count = utf8.length;
        while (!candidates.isEmpty()) {
            MergeCandidate candidate = candidates.poll();
            // Outdated if one of the symbols was merged meanwhile or the left one has another right
            // neighbour by now.
            if (symbols[candidate.left] != candidate.leftSymbol
                    || next[candidate.left] != candidate.right
                    || symbols[candidate.right] != candidate.rightSymbol) {
                continue;
            }
            symbols[candidate.left] = candidate.mergedSymbol;
            symbols[candidate.right] = -1;
            next[candidate.left] = next[candidate.right];
            if (next[candidate.left] >= 0) {
                previous[next[candidate.left]] = candidate.left;
                addCandidate(candidates, symbols, candidate.left, next[candidate.left]);
            }
            if (previous[candidate.left] >= 0) {
                addCandidate(candidates, symbols, previous[candidate.left], candidate.left);
            }
            count--;
        }
        return count;
    }

    private void addCandidate(
            PriorityQueue<MergeCandidate> candidates, int[] symbols, int left, int right) {
        long[] merge = merges.get(pairKey(symbols[left], symbols[right]));
        if (merge != null) {
            candidates.add(
                    new MergeCandidate(
                            merge[0], left, right, (int) merge[1], symbols[left], symbols[right]));
        }
    }

    private static String toByteLevel(byte[] utf8) {
        char[] text = new char[utf8.length];
        for (int i = 0; i < utf8.length; i++) {
            text[i] = byteLevelChar(utf8[i] & 255);
        }
        return new String(text);
    }
}
