package larchridge.site;

import java.nio.file.Path;

/** Settings of the batch API. Times are milliseconds, sizes bytes. */
public final class BatchSettings {
    public String host;
    public int port;
    public Path folder;
    public long maxFileBytes;
    public int maxLineBytes;
    public long maxLines;
    public long maxTenantBytes;
    public long maxTenantFiles;

    /** Upper bound of the adaptive limit on open lines, in lines of mean size. */
    public int maxOpenLines;

    public int maxAttempts;

    /** Time limit of one submission of a line. */
    public double attemptTimeoutMs;

    /** Revenue of a queued line, relative to 1 for a request of its product. */
    public double revenueFactor;

    public int requestThreads;
}
