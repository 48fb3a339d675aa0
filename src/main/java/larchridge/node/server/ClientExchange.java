package larchridge.node.server;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.LastHttpContent;
import larchridge.audit.CloseReason;
import larchridge.budget.BudgetDecision;
import larchridge.router.InFlightRequest;
import larchridge.router.ResponseSink;
import larchridge.upstream.AnswerSummary;
import larchridge.upstream.ForwardedRequest;

/**
 * An admitted request and its response on a client connection. It holds the request's id, the
 * memory of its head and body, and its admission by the router until it finishes: with the final
 * response, or when the client disconnects.
 */
final class ClientExchange implements ResponseSink {
    private static final String STREAMED = "streamed";
    private static final String THROTTLED = "throttled";
    private static final String CUT = "cut";

    private final ClientConnection connection;
    private final ServerContext server;
    private final String id;
    private final int reservedBytes;
    private final double receivedMs;
    private final ConnectionPersistence requestedPersistence;

    /** The router's handle of the request; null until the router has accepted it. */
    private InFlightRequest inFlight;

    private boolean responseStarted;
    private boolean finished;

    /** What the head of a streamed response has announced. */
    private ConnectionPersistence announcedPersistence = ConnectionPersistence.KEEP_ALIVE;

    /**
     * Creates the exchange of an admitted request.
     *
     * @param connection the client connection
     * @param forwarded the request
     * @param reservedBytes the memory of its head and body, which the exchange releases at its end
     * @param receivedMs when its head was received
     * @param requestedPersistence whether the client wants the connection to stay open
     */
    ClientExchange(
            ClientConnection connection,
            ForwardedRequest forwarded,
            int reservedBytes,
            double receivedMs,
            ConnectionPersistence requestedPersistence) {
        this.connection = connection;
        this.reservedBytes = reservedBytes;
        this.receivedMs = receivedMs;
        this.requestedPersistence = requestedPersistence;
        server = connection.server();
        id = forwarded.id();
    }

    double receivedMs() {
        return receivedMs;
    }

    boolean isFinished() {
        return finished;
    }

    /** Called when the router has accepted the request. */
    void accepted(InFlightRequest request) {
        inFlight = request;
    }

    /** Called when the client's connection is closed. */
    void clientDisconnected() {
        if (finished) {
            return;
        }
        server.events.clientDisconnected(id);
        if (inFlight != null) {
            inFlight.clientDisconnected();
        }
        finish();
    }

    /** Called when the connection's write buffer is full. */
    void pause() {
        if (inFlight != null) {
            inFlight.pause();
        }
    }

    /** Called when the connection's write buffer has room again. */
    void resume() {
        if (inFlight != null) {
            inFlight.resume();
        }
    }

    /** Releases what the exchange holds; returns false if it had finished before. */
    private boolean finish() {
        if (finished) {
            return false;
        }
        finished = true;
        server.requestIds.markEnded(id);
        server.requestMemory.release(reservedBytes);
        server.router.exchangeEnded();
        return true;
    }

    @Override
    public void responseStarted(int cachedTokens) {
        responseStarted = true;
        HttpResponse response = Responses.streamHead();
        announcedPersistence = connection.decidePersistence(requestedPersistence);
        if (announcedPersistence == ConnectionPersistence.CLOSE) {
            Responses.setConnectionClose(response);
        }
        connection.write(response);
    }

    @Override
    public boolean textReceived(String text) {
        throw new UnsupportedOperationException(
                "a forwarding exchange receives complete events only");
    }

    @Override
    public void eventsReceived(byte[] events) {
        connection.write(new DefaultHttpContent(Unpooled.wrappedBuffer(events)));
    }

    @Override
    public void flush() {
        connection.flush();
    }

    @Override
    public boolean isDisconnected() {
        return connection.readAndCheckPeerClosed();
    }

    @Override
    public void rejectedOverBudget(BudgetDecision budget) {
        rejected(0);
    }

    @Override
    public void completed(AnswerSummary completion) {
        if (finish()) {
            server.events.finalResponseSent(id, STREAMED);
            connection.finishResponse(
                    LastHttpContent.EMPTY_LAST_CONTENT,
                    connection.decidePersistence(announcedPersistence));
        }
    }

    @Override
    public void rejected(double retryAfterMs) {
        if (finish()) {
            server.events.finalResponseSent(id, THROTTLED);
            connection.respond(
                    Responses.error(
                            HttpResponseStatus.SERVICE_UNAVAILABLE, "not now", retryAfterMs),
                    requestedPersistence);
        }
    }

    @Override
    public void failed(FailureCause cause, boolean mayRetry) {
        if (responseStarted) {
            aborted();
        } else if (finish()) {
            server.events.finalResponseSent(id, cause.name());
            connection.respond(
                    Responses.error(statusOf(cause), "failed"),
                    cause == FailureCause.UNUSABLE_ANSWER
                            ? ConnectionPersistence.CLOSE
                            : requestedPersistence);
        }
    }

    private static HttpResponseStatus statusOf(FailureCause cause) {
        if (cause == FailureCause.DEADLINE_EXCEEDED) {
            return HttpResponseStatus.GATEWAY_TIMEOUT;
        }
        return cause == FailureCause.UNUSABLE_ANSWER
                ? HttpResponseStatus.BAD_REQUEST
                : HttpResponseStatus.INTERNAL_SERVER_ERROR;
    }

    @Override
    public void aborted() {
        if (finish()) {
            server.events.finalResponseSent(id, CUT);
            // No last chunk is sent, so that the client does not take the response for complete.
            connection.halfClose(CloseReason.STREAM_CUT);
        }
    }
}
