package larchridge.node.server;

/**
 * When the parts of a connection's requests arrived, and which are overdue. Times are milliseconds
 * of the event loop's clock.
 */
final class RequestTiming {
    private final ServerLimits limits;
    private final double acceptedMs;

    /** Heads that were decoded, that of the current request included. */
    private int requestCount;

    private double idleSinceMs;
    private double firstByteMs;
    private double headReceivedMs;

    RequestTiming(ServerLimits limits, double acceptedMs) {
        this.limits = limits;
        this.acceptedMs = acceptedMs;
        idleSinceMs = acceptedMs;
    }

    void firstByteReceived(double nowMs) {
        firstByteMs = nowMs;
    }

    void headReceived(double nowMs) {
        headReceivedMs = nowMs;
        requestCount++;
    }

    void becameIdle(double nowMs) {
        idleSinceMs = nowMs;
    }

    boolean hasReceivedRequest() {
        return requestCount > 0;
    }

    /** When the head of the current request was decoded. */
    double headReceivedMs() {
        return headReceivedMs;
    }

    /** Whether a connection without any part of a request has been so for too long. */
    boolean isIdleTooLong(double nowMs) {
        return nowMs - idleSinceMs > limits.idleTimeoutMs();
    }

    /** Whether a head that has not been decoded yet is late. */
    boolean isHeadOverdue(double nowMs) {
        double startMs = requestCount == 0 ? acceptedMs : laterRequestStartMs();
        return isOverdue(nowMs, startMs, startMs);
    }

    /** Whether the body of a request, or the whole request, is late. */
    boolean isBodyOverdue(double nowMs) {
        double startMs = requestCount <= 1 ? acceptedMs : laterRequestStartMs();
        return isOverdue(nowMs, headReceivedMs, startMs);
    }

    /** A pipelined request arrives while the one before it is served; that time does not count. */
    private double laterRequestStartMs() {
        return Math.max(firstByteMs, idleSinceMs);
    }

    /**
     * Head and body have a time limit each, and both together one that is counted from the accept,
     * or from the first byte of a later request: a client that is slow with its head and then stops
     * would else stay for both.
     */
    private boolean isOverdue(double nowMs, double partStartMs, double requestStartMs) {
        return nowMs - partStartMs > limits.requestPartTimeoutMs()
                || nowMs - requestStartMs > limits.requestTimeoutMs();
    }
}
