package larchridge.site;

/** Limits of listeners, requests and engine connections. Times are milliseconds, sizes bytes. */
public final class SiteLimits {
    public int maxOpenExchanges;
    public int maxConnections;
    public long tokenCountCacheBytes;
    public int tokenCountThreads;
    public int maxQueuedTokenCounts;
    public long maxBodyBytes;
    public int maxHeaderBytes;
    public int maxNesting;
    public int maxMessages;
    public double bodyTimeoutMs;
    public double idleConnectionTimeoutMs;
    public double pausedStreamTimeoutMs;
    public double pingIntervalMs;
    public double streamIdleTimeoutMs;
    public double shutdownTimeoutMs;
    public int maxResponseBytes;
    public double bytesPerToken;
    public double connectTimeoutMs;
    public double keepAliveTimeoutMs;
    public int maxConnectionsPerEngine;
    public int maxWaitingForConnection;
    public double probeTimeoutMs;
}
