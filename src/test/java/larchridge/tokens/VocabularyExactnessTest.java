package larchridge.tokens;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class VocabularyExactnessTest {
    @TempDir Path folder;

    @ParameterizedTest
    @CsvSource({"cl100k_base,26000", "o200k_base,26000", "r50k_base,26000", "p50k_base,26000"})
    void chunkCountsAddUpToTheTextCountAtEveryBoundary(String encoding, int texts)
            throws Exception {
        Vocabulary vocabulary = VocabularyReader.forEncoding("v", encoding);
        long seed = 20261201;
        Random random = new Random(seed);
        int boundaries = 0;
        for (int n = 0; n < texts; n++) {
            String text = Corpus.randomText(random, 1 + random.nextInt(20));
            int textCount = vocabulary.count(text);
            boolean checkEveryBoundary = n % 20 == 0;
            for (int at = 1; at < text.length(); at++) {
                if (TextChunker.isChunkBoundary(text, at)
                        && (checkEveryBoundary || random.nextInt(12) == 0)) {
                    boundaries++;
                    int chunkCounts =
                            vocabulary.count(text.substring(0, at))
                                    + vocabulary.count(text.substring(at));
                    assertEquals(
                            textCount,
                            chunkCounts,
                            "seed " + seed + ", text " + n + ", boundary at " + at + ": " + text);
                }
            }
        }
        assertTrue(boundaries > texts / 4, boundaries + " boundaries checked");
    }

    @ParameterizedTest
    @CsvSource({"cl100k_base,CL100K", "o200k_base,O200K", "r50k_base,GPT2"})
    void rankFileCountsLikeTheLibraryEncoding(String encoding, PretokenizerPattern split)
            throws Exception {
        Vocabulary library = VocabularyReader.forEncoding("v", encoding);
        Vocabulary fromFile =
                VocabularyReader.readFile("w", Corpus.writeRankFile(folder, encoding), split);
        Random random = new Random(7);
        for (int n = 0; n < 4000; n++) {
            String text = Corpus.randomText(random, 1 + random.nextInt(20));
            assertEquals(library.count(text), fromFile.count(text), "text " + n + ": " + text);
        }
    }

    /** Derives the merges that the ranks imply; the library counts the ranks themselves. */
    @Test
    void mergesCountLikeTheRanksTheyAreDerivedFrom() throws Exception {
        List<String> lines =
                Files.readAllLines(Corpus.writeRankFile(folder, "r50k_base")).subList(0, 6000);
        Path ranks = folder.resolve("small.tiktoken");
        Files.writeString(ranks, String.join("\n", lines) + "\n");
        Map<String, Integer> rankOf = new HashMap<>();
        StringBuilder vocab = new StringBuilder();
        StringBuilder merges = new StringBuilder();
        for (String line : lines) {
            byte[] token = Base64.getDecoder().decode(line.split(" ")[0]);
            int rank = Integer.parseInt(line.split(" ")[1]);
            StringBuilder byteLevelToken = new StringBuilder();
            List<String> parts = new ArrayList<>();
            for (byte b : token) {
                byteLevelToken.append(MergesVocabulary.byteLevelChar(b & 255));
                parts.add(String.valueOf(MergesVocabulary.byteLevelChar(b & 255)));
            }
            while (parts.size() > 2) {
                int best = -1;
                for (int i = 0; i + 1 < parts.size(); i++) {
                    Integer joined = rankOf.get(parts.get(i) + parts.get(i + 1));
                    if (joined != null
                            && (best < 0
                                    || joined
                                            < rankOf.get(parts.get(best) + parts.get(best + 1)))) {
                        best = i;
                    }
                }
                parts.set(best, parts.get(best) + parts.remove(best + 1));
            }
            rankOf.put(byteLevelToken.toString(), rank);
            vocab.append(vocab.length() == 0 ? "" : ",")
                    .append(json(byteLevelToken.toString()))
                    .append(':')
                    .append(rank);
            if (parts.size() == 2) {
                merges.append(merges.length() == 0 ? "" : ",")
                        .append(json(parts.get(0) + " " + parts.get(1)));
            }
        }
        Path file = folder.resolve("tokenizer.json");
        Files.writeString(
                file,
                "{\"pre_tokenizer\":{\"type\":\"ByteLevel\",\"add_prefix_space\":false},\"model\":{"
                        + "\"type\":\"BPE\",\"vocab\":{"
                        + vocab
                        + "},\"merges\":["
                        + merges
                        + "]}}");
        Vocabulary reference = VocabularyReader.readFile("r", ranks, PretokenizerPattern.GPT2);
        Vocabulary fromFile = VocabularyReader.readFile("m", file, null);
        Random random = new Random(11);
        for (int n = 0; n < 8000; n++) {
            String text = Corpus.randomText(random, 1 + random.nextInt(20));
            assertEquals(reference.count(text), fromFile.count(text), "text " + n + ": " + text);
        }
    }

    private static String json(String text) {
        return '"' + text.replace("\\", "\\\\").replace("\"", "\\\"") + '"';
    }

    @ParameterizedTest
    @CsvSource({"a", "' '", "ñ", "\uD83C", "7", "'\n'", "ab ", "👩‍👩‍👧"})
    void pathologicalTextsAreCountedExactly(String unit) throws Exception {
        Vocabulary vocabulary = VocabularyReader.forEncoding("v", "cl100k_base");
        String text = unit.repeat(200_000 / unit.length());
        TokenCountCache cache = new TokenCountCache(1 << 20);
        TokenCountTask task = new TokenCountTask(text, 0, vocabulary, cache);
        CountingStatistics statistics = new CountingStatistics(0.25);
        assertTrue(task.countMissing(statistics));
        TokenCount count = task.tokenCount(statistics.tokensPerChar());
        assertTrue(
                count.lowerBound() <= count.tokens() && count.tokens() <= count.upperBound(),
                count.toString());
        assertTrue(count.exact());
        assertEquals(vocabulary.count(text), count.tokens());
    }
}
