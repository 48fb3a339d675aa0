package larchridge.tokens;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * What the fronts of one process share for counting: the cache, the threads aside, and each
 * vocabulary's pace.
 */
public final class Counters implements AutoCloseable {
    public final CountCache cache;
    public final Workers workers;
    private final double toksAChar;
    private final Map<String, Pace> paces = new ConcurrentHashMap<>();

    public Counters(long cacheBytes, int threads, int mostWaiting, double bytesPerTok) {
        cache = new CountCache(cacheBytes);
        workers = new Workers(threads, mostWaiting);
        toksAChar = 1 / bytesPerTok;
    }

    public Pace pace(Vocabulary vocabulary) {
        return paces.computeIfAbsent(vocabulary.name(), name -> new Pace(toksAChar));
    }

    @Override
    public void close() {
        workers.close();
    }
}
