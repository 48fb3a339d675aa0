package larchridge.site;

import java.nio.file.Path;

/** How batches are served. Times are milliseconds, sizes bytes. */
public final class BatchSettings {
    public String host;
    public int port;
    public Path folder;
    public long maxFileBytes;
    public int maxLineBytes;
    public long maxLines;
    public long maxTenantBytes;
    public long maxTenantFiles;
    public int maxOpenLines;
    public int maxAttempts;
    public double lineTimeoutMs;

    /** What a line is worth in the wait, beside 1 of its product. */
    public double revenueFactor;

    public int requestThreads;
}
