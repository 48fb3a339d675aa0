package larchridge.site;

import java.nio.file.Path;

/** How batches are served. Times are milliseconds, sizes bytes. */
public final class BatchSettings {
    public String host;
    public int port;
    public Path folder;
    public long fileBytes;
    public int lineBytes;
    public long lines;
    public long tenantBytes;
    public long tenantFiles;
    public int openLines;
    public int attempts;
    public double lineMs;

    /** What a line is worth in the wait, beside 1 of its product. */
    public double revenue;

    public int threads;
}
