package larchridge.node.upstream;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import larchridge.node.transport.ConnectFailure;
import larchridge.state.AttemptOutcome;
import larchridge.upstream.AttemptListener;
import larchridge.upstream.AttemptRequest;
import larchridge.upstream.Completion;
import larchridge.upstream.ForwardedRequest;
import larchridge.upstream.SendRejection;
import larchridge.upstream.StateHandle;
import larchridge.upstream.UpstreamClient.AttemptHandle;

/**
 * One attempt in flight, from the choice of its connection to the last call of its listener. See
 * {@link AttemptState} for its states; pausing is independent of them.
 */
final class ForwardedAttempt
        implements UpstreamExchange, AttemptHandle, StateReservation.ReleaseListener {
    private static final int NOT_WRITTEN = -1;

    /** Nothing but the end itself is known of an answer whose events are not parsed. */
    private static final Completion UNPARSED_COMPLETION =
            new Completion(
                    Completion.FinishReason.END_OF_TURN, null, Completion.TOKENS_UNREPORTED, 0);

    private static final HeldAtEngine HELD_AT_ENGINE = new HeldAtEngine();

    private final UpstreamContext context;
    private final AttemptRequest attemptRequest;
    private final AttemptListener listener;
    private final AttemptKind kind;
    private final StateReservation reservation;
    private final ConnectionPool pool;
    private final ForwardedAttemptClassifier classifier = new ForwardedAttemptClassifier();
    private final AttemptResponseDecoder decoder;
    private AttemptState state = AttemptState.AWAITING_RESPONSE;

    /** Null if there was no room for a connection. */
    private UpstreamConnection connection;

    private boolean paused;

    /** The number that {@link larchridge.audit.RequestEvents} gave the attempt. */
    private int eventNumber = NOT_WRITTEN;

    /** A read state is held under the request's own id, so that a handle has nothing to name. */
    private static final class HeldAtEngine implements StateHandle {}

    ForwardedAttempt(
            UpstreamContext context,
            AttemptRequest attemptRequest,
            AttemptListener listener,
            AttemptKind kind) {
        this.context = context;
        this.attemptRequest = attemptRequest;
        this.listener = listener;
        this.kind = kind;
        reservation = context.releaser().attemptStarted(attemptRequest.forwardedRequest().id());
        pool = context.pools().pool(attemptRequest.endpoint());
        decoder = new AttemptResponseDecoder(context.loadReports());
    }

    /** Starts it on a connection, or rejects it if there is no room for one. */
    void start() {
        pool.attemptStarted();
        if (kind == AttemptKind.WRITE) {
            reservation.setReleaseListener(this);
        } else {
            reservation.clearReleaseListener();
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
        eventNumber =
                context.events()
                        .attemptSent(
                                forwarded.id(),
                                attemptRequest.endpoint(),
                                kind == AttemptKind.READ,
                                (long) remainingMs);
        return request;
    }

    /** Why it must not be written any more, or null if it may. */
    private SendRejection rejection(double remainingMs) {
        if (state == AttemptState.ENDED) {
            return SendRejection.CANCELLED;
        }
        return remainingMs < 1
                ? SendRejection.DEADLINE_EXCEEDED
                : attemptRequest.sendCheck().rejection();
    }

    /** It is not written, for a reason that says nothing about the engine. */
    private void reject(SendRejection reason) {
        classifier.rejected();
        if (state != AttemptState.ENDED) {
            listener.notSent(reason);
        }
        endLater();
    }

    @Override
    public void requestWritten() {
        classifier.written();
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
    public boolean responseHead(HttpResponse response) {
        classifier.responseHead(
                response.status().code(), AttemptResponseDecoder.isDeclined(response));
        decoder.responseHead(response);
        // Guards against: a stream without chunks has no end of its own, so that the end of the
        // connection would pass for it.
        return !classifier.isAnswer()
                || (kind == AttemptKind.WRITE && HttpUtil.isTransferEncodingChunked(response));
    }

    @Override
    public boolean responseBody(ByteBuf content) {
        if (classifier.isCompletedRead()) {
            return decoder.appendReadBody(content);
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
            context.releaser().responseStarted(reservation);
            context.events().responseStarted(reservation.requestId(), eventNumber);
            listener.responseStarted();
        }
        if (state != AttemptState.ENDED) {
            listener.eventsReceived(events);
        }
    }

    @Override
    public void readBatchCompleted() {
        if (state == AttemptState.STREAMING) {
            listener.batchCompleted();
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
            classifier.malformed();
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
        classifier.malformed();
        end();
    }

    @Override
    public void disconnected() {
        endLater();
    }

    // ------------------------------------------------------------------ the sender's calls

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
            classifier.expired();
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
     * The state that it is to fetch has been released; its engine keeps the state nevertheless for
     * a request in its queue.
     */
    @Override
    public void releasedBesideAttempt() {
        if (state != AttemptState.ENDED) {
            listener.stateReleased();
        }
    }

    /** Guards against: the listener must not be called from inside a call of the sender's. */
    private void endLater() {
        context.scheduler().execute(this::end);
    }

    /** A read has ended well: its engine holds the state. */
    private void endRead(int cachedTokens) {
        state = AttemptState.ENDED;
        leavePool();
        context.events().readCompleted(reservation.requestId(), eventNumber);
        context.releaser().readCompleted(reservation);
        listener.readCompleted(HELD_AT_ENGINE, cachedTokens, 0, decoder.loadReport());
    }

    /** The attempt has ended in any other way. */
    private void end() {
        if (state == AttemptState.ENDED) {
            return;
        }
        state = AttemptState.ENDED;
        if (paused && connection != null) {
            connection.setAutoRead(true);
        }
        if (classifier.isUnusable()) {
            listener.requestUnprocessable();
        }
        leavePool();
        AttemptOutcome outcome = classifier.outcome();
        boolean responseReceived = classifier.hasResponse();
        context.events()
                .attemptEnded(
                        reservation.requestId(),
                        eventNumber,
                        outcome.name(),
                        outcome.provesNotRun,
                        responseReceived);
        context.releaser().attemptEnded(reservation, responseReceived);
        listener.attemptEnded(outcome, decoder.loadReport(), UNPARSED_COMPLETION);
    }

    private void leavePool() {
        pool.attemptEnded();
        if (classifier.hasResponse()) {
            pool.recordReceived(context.scheduler().nowMs());
        }
    }
}
