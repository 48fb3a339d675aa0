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
    private final double toksAChar;
    private final Map<String, CountingRate> paces = new ConcurrentHashMap<>();

    public TokenCounters(long cacheBytes, int threads, int mostWaiting, double bytesPerTok) {
        cache = new CountCache(cacheBytes);
        workers = new CountingWorkers(threads, mostWaiting);
        toksAChar = 1 / bytesPerTok;
    }

    public CountingRate pace(Vocabulary vocabulary) {
        return paces.computeIfAbsent(vocabulary.name(), name -> new CountingRate(toksAChar));
    }

    @Override
    public void close() {
        workers.close();
    }
}
