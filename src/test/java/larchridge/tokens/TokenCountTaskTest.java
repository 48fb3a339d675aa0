package larchridge.tokens;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;

class TokenCountTaskTest {
    private final TokenCountCache cache = new TokenCountCache(1 << 20);
    private final CountingStatistics statistics = new CountingStatistics(0.25);

    /** Counts one token per space; records how many characters it was asked to count. */
    private static final class WordVocabulary implements Vocabulary {
        int countedChars;

        @Override
        public String name() {
            return "words";
        }

        @Override
        public int count(String text) {
            countedChars += text.length();
            return (int) text.chars().filter(c -> c == ' ').count();
        }

        @Override
        public int maxTokenBytes() {
            return 20;
        }
    }

    private static String repeatWord(int count, String word) {
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < count; i++) {
            text.append(word).append(' ');
        }
        return text.toString();
    }

    @Test
    void nextTurnCountsOnlyTheAddedText() {
        WordVocabulary vocabulary = new WordVocabulary();
        String first = repeatWord(20_000, "caudal");
        assertTrue(new TokenCountTask(first, 0, vocabulary, cache).countMissing(statistics));
        int charsOfFirst = vocabulary.countedChars;
        String second = first + repeatWord(100, "nivel");
        TokenCountTask nextTask = new TokenCountTask(second, 0, vocabulary, cache);
        assertTrue(
                nextTask.charsToCount() < 2 * TextChunker.MIN_CHUNK_CHARS,
                nextTask.charsToCount() + " characters not counted");
        nextTask.countMissing(statistics);
        assertTrue(vocabulary.countedChars - charsOfFirst < 2 * TextChunker.MIN_CHUNK_CHARS);
        assertEquals(20_100, nextTask.tokenCount(0.25).tokens());
    }

    @Test
    void prefixIsCountedUpToItsLength() {
        String text = repeatWord(3000, "umbral");
        for (int prefixChars :
                new int[] {0, 1, 4096, 4097, 4102, 9000, text.length() - 1, text.length()}) {
            TokenCountTask task =
                    new TokenCountTask(
                            text, prefixChars, new WordVocabulary(), new TokenCountCache(1 << 20));
            task.countMissing(statistics);
            assertEquals(3000, task.tokenCount(0).tokens());
            assertEquals(
                    (int) text.substring(0, prefixChars).chars().filter(c -> c == ' ').count(),
                    task.prefixTokenCount(0).tokens(),
                    "prefix of " + prefixChars + " characters");
        }
    }

    @Test
    void estimateStaysWithinItsBounds() {
        TokenCountTask task =
                new TokenCountTask("x".repeat(300_000), 0, new WordVocabulary(), cache);
        task.countMissing(statistics);
        TokenCount low = task.tokenCount(0);
        TokenCount high = task.tokenCount(99);
        assertFalse(low.exact());
        assertEquals(15_000, low.tokens());
        assertEquals(300_000, high.tokens());
    }

    @Test
    void cancelledCountEndsAtTheNextChunk() {
        WordVocabulary vocabulary = new WordVocabulary();
        TokenCountTask task = new TokenCountTask(repeatWord(50_000, "aviso"), 0, vocabulary, cache);
        task.cancel();
        assertFalse(task.countMissing(statistics));
        assertEquals(0, vocabulary.countedChars);
    }

    /**
     * Guards against: with plain LRU, a flood of prompts that occur once would evict the prompts
     * that occur all the time.
     */
    @Test
    void floodOfUniqueTextsDoesNotEvictHotTexts() {
        TokenCountCache smallCache = new TokenCountCache(500L * TokenCountCache.ENTRY_BYTES);
        Map<Integer, Integer> lru =
                new LinkedHashMap<>(16, 0.75f, true) {
                    private static final long serialVersionUID = 1;

                    @Override
                    protected boolean removeEldestEntry(Map.Entry<Integer, Integer> eldest) {
                        return size() > 500;
                    }
                };
        Random random = new Random(3);
        int hotRequests = 0;
        int hits = 0;
        int lruHits = 0;
        for (int i = 0; i < 60_000; i++) {
            // One request in ten is for one of 400 hot texts, the others are for unique texts.
            boolean isHot = random.nextInt(10) == 0;
            int text = isHot ? random.nextInt(400) : 1000 + i;
            TokenCountCache.Key key = new TokenCountCache.Key(text, text, "v");
            boolean isCached = smallCache.get(key) >= 0;
            boolean isCachedByLru = lru.containsKey(text);
            smallCache.put(key, 1);
            lru.put(text, 1);
            lru.get(text);
            if (i % 64 == 0) {
                smallCache.cleanUp();
            }
            if (isHot && i > 30_000) {
                hotRequests++;
                hits += isCached ? 1 : 0;
                lruHits += isCachedByLru ? 1 : 0;
            }
        }
        smallCache.cleanUp();
        System.out.println(
                "requests for hot texts: "
                        + hotRequests
                        + ", cache hits: "
                        + hits
                        + ", hits of plain LRU: "
                        + lruHits
                        + " (seed 3)");
        assertTrue(
                hits > 2 * lruHits && hits > hotRequests / 2,
                hits + " and " + lruHits + " of " + hotRequests);
        assertTrue(smallCache.size() <= 500);
    }

    @Test
    void workersRejectTasksOverTheQueueCapacity() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        CountDownLatch done = new CountDownLatch(3);
        try (BlockingTaskPool workers = new BlockingTaskPool(1, 2)) {
            for (int i = 0; i < 3; i++) {
                assertTrue(
                        workers.trySubmit(
                                10,
                                () -> {
                                    try {
                                        release.await();
                                    } catch (InterruptedException e) {
                                        Thread.currentThread().interrupt();
                                    }
                                    done.countDown();
                                }));
            }
            assertFalse(workers.trySubmit(10, () -> {}));
            assertEquals(30, workers.expectedWaitMs());
            release.countDown();
            done.await();
        }
    }
}
