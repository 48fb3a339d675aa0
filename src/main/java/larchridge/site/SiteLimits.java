package larchridge.site;

/** Bounds of the doors, the links and the waits. Times are milliseconds, sizes bytes. */
public final class SiteLimits {
    public int openGenerations;
    public int connections;
    public long countCacheBytes;
    public int countThreads;
    public int countWaits;
    public long bodyBytes;
    public int headerBytes;
    public int nesting;
    public int messages;
    public double bodyMs;
    public double idleConnectionMs;
    public double slowClientMs;
    public double pingMs;
    public double quietStreamMs;
    public double stopMs;
    public int answerBytes;
    public double bytesPerToken;
    public double connectMs;
    public double keepAliveMs;
    public int connectionsPerEngine;
    public int connectionWaits;
    public double probeMs;
}
