package larchridge.tokens;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * What the routers of one process share for counting: the cache, the worker threads and the
 * counting statistics of each vocabulary.
 */
public final class CountingResources implements AutoCloseable {
    /** The counts of chunks. */
    public final TokenCountCache cache;

    /** The threads for tasks that would block an event loop. */
    public final BlockingTaskPool workers;

    private final double tokensPerChar;
    private final Map<String, CountingStatistics> statistics = new ConcurrentHashMap<>();

    /**
     * Creates an empty cache and the worker threads.
     *
     * @param queueCapacity how many tasks may wait for a thread
     * @param bytesPerToken gives the initial estimate of the tokens per character; a character is
     *     taken to be one byte
     */
    public CountingResources(
            long cacheBytes, int threads, int queueCapacity, double bytesPerToken) {
        cache = new TokenCountCache(cacheBytes);
        workers = new BlockingTaskPool(threads, queueCapacity);
        tokensPerChar = 1 / bytesPerToken;
    }

    /** The counting statistics of a vocabulary, common to all routers. */
    public CountingStatistics statistics(Vocabulary vocabulary) {
        return statistics.computeIfAbsent(
                vocabulary.name(), name -> new CountingStatistics(tokensPerChar));
    }

    @Override
    public void close() {
        workers.close();
    }
}
