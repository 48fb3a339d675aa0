package larchridge.node.server;

/**
 * Records when the parts of a connection's requests arrived, and checks which are overdue. Times
 * are in milliseconds of the event loop's clock.
 */
final class RequestTiming {
    private final ServerLimits limits;
    private final double acceptedMs;

    /** Number of decoded heads, including that of the current request. */
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

    /** Whether the connection has been without any part of a request for too long. */
    boolean isIdleTooLong(double nowMs) {
        return nowMs - idleSinceMs > limits.idleTimeoutMs();
    }

    /** Whether a head that is not decoded yet is overdue. */
    boolean isHeadOverdue(double nowMs) {
        double startMs = requestCount == 0 ? acceptedMs : laterRequestStartMs();
        return isOverdue(nowMs, startMs, startMs);
    }

    /** Whether the body of a request, or the whole request, is overdue. */
    boolean isBodyOverdue(double nowMs) {
        double startMs = requestCount <= 1 ? acceptedMs : laterRequestStartMs();
        return isOverdue(nowMs, headReceivedMs, startMs);
    }

    /**
     * The start of a request after the first. The time in which a pipelined request arrives while
     * the previous one is served does not count.
     */
    private double laterRequestStartMs() {
        return Math.max(firstByteMs, idleSinceMs);
    }

    /**
     * Head and body have a time limit each, and the whole request has one that starts at the
     * accept, or at the first byte of a later request: without it, a client that is slow with its
     * head and then stops in its body would use up both limits.
     */
    private boolean isOverdue(double nowMs, double partStartMs, double requestStartMs) {
        return nowMs - partStartMs > limits.requestPartTimeoutMs()
                || nowMs - requestStartMs > limits.requestTimeoutMs();
    }
}
