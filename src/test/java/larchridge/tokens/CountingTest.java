package larchridge.tokens;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;

class CountingTest {
    private final CountCache cache = new CountCache(1 << 20);
    private final CountingRate pace = new CountingRate(0.25);

    /** A token a word, so that tests see what was counted. */
    private static final class Words implements Vocabulary {
        int chars;

        @Override
        public String name() {
            return "words";
        }

        @Override
        public int count(String text) {
            chars += text.length();
            return (int) text.chars().filter(c -> c == ' ').count();
        }

        @Override
        public int longestTokenBytes() {
            return 20;
        }
    }

    private static String words(int count, String seed) {
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < count; i++) {
            text.append(seed).append(' ');
        }
        return text.toString();
    }

    @Test
    void nextTurnCountsOnlyWhatWasAdded() {
        Words vocabulary = new Words();
        String first = words(20_000, "caudal");
        assertTrue(new Counting(first, 0, vocabulary, cache).finish(pace));
        int before = vocabulary.chars;
        String second = first + words(100, "nivel");
        Counting next = new Counting(second, 0, vocabulary, cache);
        assertTrue(next.missingChars() < 2 * TextChunker.CHARS, next.missingChars() + " missing");
        next.finish(pace);
        assertTrue(vocabulary.chars - before < 2 * TextChunker.CHARS);
        assertEquals(20_100, next.count(0.25).tokens());
    }

    @Test
    void beginningIsCountedUpToItsMark() {
        String text = words(3000, "umbral");
        for (int mark :
                new int[] {0, 1, 4096, 4097, 4102, 9000, text.length() - 1, text.length()}) {
            Counting counting = new Counting(text, mark, new Words(), new CountCache(1 << 20));
            counting.finish(pace);
            assertEquals(3000, counting.count(0).tokens());
            assertEquals(
                    (int) text.substring(0, mark).chars().filter(c -> c == ' ').count(),
                    counting.beginning(0).tokens(),
                    "mark " + mark);
        }
    }

    @Test
    void guessStaysWithinItsBounds() {
        Counting counting = new Counting("x".repeat(300_000), 0, new Words(), cache);
        counting.finish(pace);
        TokenCount low = counting.count(0);
        TokenCount high = counting.count(99);
        assertFalse(low.exact());
        assertEquals(15_000, low.tokens());
        assertEquals(300_000, high.tokens());
    }

    @Test
    void countThatIsCalledOffEndsAtTheNextPart() {
        Words vocabulary = new Words();
        Counting counting = new Counting(words(50_000, "aviso"), 0, vocabulary, cache);
        counting.callOff();
        assertFalse(counting.finish(pace));
        assertEquals(0, vocabulary.chars);
    }

    /**
     * Guards against: with plain LRU a flood of prompts that come once would push out what comes
     * all the time.
     */
    @Test
    void floodOfUniqueTextsLeavesWhatIsHot() {
        CountCache small = new CountCache(500L * CountCache.ENTRY_BYTES);
        Map<Integer, Integer> lru =
                new LinkedHashMap<>(16, 0.75f, true) {
                    private static final long serialVersionUID = 1;

                    @Override
                    protected boolean removeEldestEntry(Map.Entry<Integer, Integer> eldest) {
                        return size() > 500;
                    }
                };
        Random random = new Random(3);
        int asked = 0;
        int hits = 0;
        int lruHits = 0;
        for (int i = 0; i < 60_000; i++) {
            // One in ten asks for one of 400 hot texts, nine for one that never comes again.
            boolean isHot = random.nextInt(10) == 0;
            int text = isHot ? random.nextInt(400) : 1000 + i;
            CountCache.Key key = new CountCache.Key(text, text, "v");
            boolean has = small.get(key) >= 0;
            boolean lruHas = lru.containsKey(text);
            small.put(key, 1);
            lru.put(text, 1);
            lru.get(text);
            if (i % 64 == 0) {
                small.cleanUp();
            }
            if (isHot && i > 30_000) {
                asked++;
                hits += has ? 1 : 0;
                lruHits += lruHas ? 1 : 0;
            }
        }
        small.cleanUp();
        System.out.println(
                "hot texts found of "
                        + asked
                        + ": "
                        + hits
                        + ", plain LRU "
                        + lruHits
                        + " (seed 3)");
        assertTrue(
                hits > 2 * lruHits && hits > asked / 2, hits + " and " + lruHits + " of " + asked);
        assertTrue(small.size() <= 500);
    }

    @Test
    void workersTakeSoManyAndNoMore() throws Exception {
        CountDownLatch gate = new CountDownLatch(1);
        CountDownLatch done = new CountDownLatch(3);
        try (CountingWorkers workers = new CountingWorkers(1, 2)) {
            for (int i = 0; i < 3; i++) {
                assertTrue(
                        workers.take(
                                10,
                                () -> {
                                    try {
                                        gate.await();
                                    } catch (InterruptedException e) {
                                        Thread.currentThread().interrupt();
                                    }
                                    done.countDown();
                                }));
            }
            assertFalse(workers.take(10, () -> {}));
            assertEquals(30, workers.waitMs());
            gate.countDown();
            done.await();
        }
    }
}
