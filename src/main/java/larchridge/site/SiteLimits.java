package larchridge.site;

/**
 * Limits of listeners, requests, token counting and engine connections, and the ratio from which
 * tokens are estimated. Times are milliseconds, sizes bytes.
 */
public final class SiteLimits {
    /**
     * Maximum open exchanges of a router, with token count requests, bodies that are still being
     * received and batch lines.
     */
    public int maxOpenExchanges;

    public int maxConnections;
    public long tokenCountCacheBytes;
    public int tokenCountThreads;
    public int maxQueuedTokenCounts;
    public long maxBodyBytes;
    public int maxHeaderBytes;
    public int maxNesting;

    /** Maximum messages of a request, blocks of a message and blocks of the system prompt. */
    public int maxMessages;

    public double bodyTimeoutMs;
    public double idleConnectionTimeoutMs;

    /** How long a client may leave a paused stream unread before its response is aborted. */
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
