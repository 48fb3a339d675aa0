package larchridge.tokens;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * What the fronts of one process share for counting: the cache, the threads aside, and each
 * vocabulary's pace.
 */
public final class TokenCounters implements AutoCloseable {
    public final CountCache cache;
    public final CountingWorkers workers;
    private final double tokensAChar;
    private final Map<String, CountingRate> paces = new ConcurrentHashMap<>();

    public TokenCounters(long cacheBytes, int threads, int mostWaiting, double bytesPerToken) {
        cache = new CountCache(cacheBytes);
        workers = new CountingWorkers(threads, mostWaiting);
        tokensAChar = 1 / bytesPerToken;
    }

    public CountingRate pace(Vocabulary vocabulary) {
        return paces.computeIfAbsent(vocabulary.name(), name -> new CountingRate(tokensAChar));
    }

    @Override
    public void close() {
        workers.close();
    }
}
