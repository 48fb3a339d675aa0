package larchridge.node.upstream;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import larchridge.node.transport.ConnectFailure;
import larchridge.state.AttemptOutcome;
import larchridge.upstream.AnswerSummary;
import larchridge.upstream.AttemptListener;
import larchridge.upstream.AttemptRequest;
import larchridge.upstream.ForwardedRequest;
import larchridge.upstream.SendRejection;
import larchridge.upstream.StateHandle;
import larchridge.upstream.UpstreamClient.AttemptHandle;

/**
 * One in-flight attempt, from the choice of a connection to the last listener call. Pausing is
 * independent of its {@link AttemptState}.
 */
final class ForwardedAttempt
        implements UpstreamExchange, AttemptHandle, TrackedRequest.ReleaseListener {
    private static final int NO_ATTEMPT_NUMBER = -1;

    /**
     * Passed for every attempt: the finish reason and token counts are placeholders, because
     * forwarded events are not parsed for them.
     */
    private static final AnswerSummary PLACEHOLDER_SUMMARY =
            new AnswerSummary(
                    AnswerSummary.FinishReason.END_OF_TURN,
                    null,
                    AnswerSummary.TOKENS_UNREPORTED,
                    0);

    private static final EmptyStateHandle EMPTY_STATE_HANDLE = new EmptyStateHandle();

    private final UpstreamContext context;
    private final AttemptRequest attemptRequest;
    private final AttemptListener listener;
    private final AttemptKind kind;
    private final TrackedRequest trackedRequest;
    private final ConnectionPool pool;
    private final ForwardedAttemptClassifier classifier = new ForwardedAttemptClassifier();
    private final AttemptResponseDecoder decoder;
    private AttemptState state = AttemptState.AWAITING_RESPONSE;

    /** Null if no connection was available. */
    private UpstreamConnection connection;

    private boolean paused;

    /** The attempt's number in {@link larchridge.audit.RequestEvents}. */
    private int attemptNumber = NO_ATTEMPT_NUMBER;

    /** Carries nothing, because engines identify a read state by the request id. */
    private static final class EmptyStateHandle implements StateHandle {}

    ForwardedAttempt(
            UpstreamContext context,
            AttemptRequest attemptRequest,
            AttemptListener listener,
            AttemptKind kind) {
        this.context = context;
        this.attemptRequest = attemptRequest;
        this.listener = listener;
        this.kind = kind;
        trackedRequest = context.releaser().attemptStarted(attemptRequest.forwardedRequest().id());
        pool = context.pools().pool(attemptRequest.endpoint());
        decoder = new AttemptResponseDecoder(context.loadReportParser(), context.eventMemory());
    }

    /** Starts the attempt on a connection, or rejects it if none is available. */
    void start() {
        pool.attemptStarted();
        if (kind == AttemptKind.WRITE) {
            trackedRequest.setReleaseListener(this);
        } else {
            trackedRequest.clearReleaseListener();
        }
        connection = context.pools().startExchange(pool, this);
        if (connection == null) {
            reject(SendRejection.NO_CONNECTION);
        }
    }

    // ------------------------------------------------------------------ request

    @Override
    public FullHttpRequest encodeRequest() {
        ForwardedRequest forwarded = attemptRequest.forwardedRequest();
        double remainingMs = forwarded.firstTokenDeadlineMs() - context.scheduler().nowMs();
        SendRejection rejection = rejection(remainingMs);
        if (rejection != null) {
            reject(rejection);
            return null;
        }
        FullHttpRequest request =
                UpstreamRequestEncoder.encodeForwarded(
                        forwarded, attemptRequest.endpoint(), (long) remainingMs);
        attemptNumber =
                context.requestEvents()
                        .attemptSent(
                                forwarded.id(),
                                attemptRequest.endpoint(),
                                kind == AttemptKind.READ,
                                (long) remainingMs);
        return request;
    }

    /** Returns why the attempt must no longer be written, or null if it may be. */
    private SendRejection rejection(double remainingMs) {
        if (state == AttemptState.ENDED) {
            return SendRejection.CANCELLED;
        }
        return remainingMs < 1
                ? SendRejection.DEADLINE_EXCEEDED
                : attemptRequest.sendCheck().rejection();
    }

    /** Ends the attempt without writing it, for a reason that is not a failure of the engine. */
    private void reject(SendRejection reason) {
        classifier.sendRejected();
        if (state != AttemptState.ENDED) {
            listener.notSent(reason);
        }
        endLater();
    }

    @Override
    public void requestWritten() {
        classifier.requestWritten();
    }

    @Override
    public void connectFailed(ConnectFailure failure) {
        if (failure == ConnectFailure.LOCAL) {
            reject(SendRejection.LOCAL_FAILURE);
        } else {
            endLater();
        }
    }

    // ------------------------------------------------------------------ response

    @Override
    public boolean responseHeadReceived(HttpResponse response) {
        classifier.responseHeadReceived(
                response.status().code(), AttemptResponseDecoder.isDeclined(response));
        decoder.responseHeadReceived(response);
        // Guards against: without chunked encoding, a lost connection would be taken for the end of
        // the stream.
        return !classifier.isAnswer()
                || (kind == AttemptKind.WRITE && HttpUtil.isTransferEncodingChunked(response));
    }

    @Override
    public boolean responseBodyReceived(ByteBuf content) {
        if (classifier.isCompletedRead()) {
            return decoder.appendCompletedReadBody(content);
        }
        if (!classifier.isAnswer()) {
            return true;
        }
        byte[] events = decoder.appendEvents(content);
        if (events != null) {
            eventsReceived(events);
        }
        return !decoder.isMalformed();
    }

    private void eventsReceived(byte[] events) {
        if (state == AttemptState.AWAITING_RESPONSE) {
            state = AttemptState.STREAMING;
            context.releaser().responseStarted(trackedRequest);
            context.requestEvents().responseStarted(trackedRequest.requestId(), attemptNumber);
            listener.responseStarted();
        }
        if (state != AttemptState.ENDED) {
            listener.eventsReceived(events);
        }
    }

    @Override
    public void socketReadCompleted() {
        if (state == AttemptState.STREAMING) {
            listener.socketReadCompleted();
        }
    }

    @Override
    public boolean responseCompleted() {
        if (classifier.isAnswer()) {
            return streamCompleted();
        }
        if (classifier.isCompletedRead()
                && kind == AttemptKind.READ
                && state != AttemptState.ENDED) {
            int cachedTokens = decoder.cachedTokens();
            if (cachedTokens != AttemptResponseDecoder.NO_COUNT) {
                endRead(cachedTokens);
                return true;
            }
            classifier.responseMalformed();
        }
        end();
        return true;
    }

    private boolean streamCompleted() {
        if (decoder.isStreamComplete()) {
            classifier.streamCompleted();
        }
        decoder.streamEnded();
        end();
        return decoder.isStreamComplete();
    }

    @Override
    public void responseMalformed() {
        classifier.responseMalformed();
        end();
    }

    @Override
    public void disconnected() {
        endLater();
    }

    // ------------------------------------------------------------------ calls by the sender

    @Override
    public void cancel() {
        if (state != AttemptState.ENDED) {
            classifier.cancelled();
            abandon();
        }
    }

    @Override
    public void expire() {
        if (state != AttemptState.ENDED) {
            classifier.deadlineExpired();
            abandon();
        }
    }

    private void abandon() {
        if (connection != null) {
            connection.abandonExchange();
        }
        endLater();
    }

    @Override
    public void pause() {
        if (state == AttemptState.ENDED) {
            // Its connection may be idle, or serve another attempt.
            return;
        }
        paused = true;
        if (connection != null) {
            connection.setAutoRead(false);
        }
    }

    @Override
    public void resume() {
        paused = false;
        if (connection != null && state != AttemptState.ENDED) {
            connection.setAutoRead(true);
        }
    }

    // ------------------------------------------------------------------ end

    /**
     * Notifies the listener that a release of the state that this attempt fetches has been started.
     * The engines keep the state nevertheless if the attempt is already in an engine's queue.
     */
    @Override
    public void releaseStartedDuringAttempt() {
        if (state != AttemptState.ENDED) {
            listener.stateReleaseStarted();
        }
    }

    /** Guards against: the listener would be called from within a call by the sender. */
    private void endLater() {
        context.scheduler().execute(this::end);
    }

    /** Ends a completed read, whose state the engine holds. */
    private void endRead(int cachedTokens) {
        state = AttemptState.ENDED;
        recordEndInPool();
        context.requestEvents().readCompleted(trackedRequest.requestId(), attemptNumber);
        context.releaser().readCompleted(trackedRequest);
        listener.readCompleted(EMPTY_STATE_HANDLE, cachedTokens, 0, decoder.loadReport());
    }

    /** Ends the attempt other than by a completed read. */
    private void end() {
        if (state == AttemptState.ENDED) {
            return;
        }
        state = AttemptState.ENDED;
        decoder.release();
        if (paused && connection != null) {
            connection.setAutoRead(true);
        }
        if (classifier.isRequestUnprocessable()) {
            listener.requestUnprocessable();
        }
        recordEndInPool();
        AttemptOutcome outcome = classifier.outcome();
        boolean responseReceived = classifier.hasResponse();
        context.requestEvents()
                .attemptEnded(
                        trackedRequest.requestId(),
                        attemptNumber,
                        outcome.name(),
                        outcome.provesNotRun,
                        responseReceived);
        context.releaser().attemptEnded(trackedRequest, responseReceived);
        listener.attemptEnded(outcome, decoder.loadReport(), PLACEHOLDER_SUMMARY);
    }

    private void recordEndInPool() {
        pool.attemptEnded();
        if (classifier.hasResponse()) {
            pool.recordReceived(context.scheduler().nowMs());
        }
    }
}
