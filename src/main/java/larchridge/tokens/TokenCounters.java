package larchridge.tokens;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * What the fronts of one process share for counting: the cache, the threads aside, and each
 * vocabulary's pace.
 */
public final class TokenCounters implements AutoCloseable {
    public final TokenCountCache cache;
    public final CountingWorkers workers;
    private final double tokensPerChar;
    private final Map<String, CountingRate> rates = new ConcurrentHashMap<>();

    public TokenCounters(long cacheBytes, int threads, int queueCapacity, double bytesPerToken) {
        cache = new TokenCountCache(cacheBytes);
        workers = new CountingWorkers(threads, queueCapacity);
        tokensPerChar = 1 / bytesPerToken;
    }

    public CountingRate rate(Vocabulary vocabulary) {
        return rates.computeIfAbsent(vocabulary.name(), name -> new CountingRate(tokensPerChar));
    }

    @Override
    public void close() {
        workers.close();
    }
}
