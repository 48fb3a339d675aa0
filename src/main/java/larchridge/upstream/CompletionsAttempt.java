package larchridge.upstream;

import static java.net.HttpURLConnection.HTTP_OK;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vertx.core.AsyncResult;
import io.vertx.core.Context;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.parsetools.RecordParser;
import larchridge.state.AttemptOutcome;
import larchridge.state.LoadReport;

/**
 * One in-flight attempt over the completions API: writes the request, decodes the response and
 * notifies the listener. All events are handled on the client's event loop.
 */
final class CompletionsAttempt implements UpstreamClient.AttemptHandle {
    /** What an attempt requests from its engine. */
    enum Kind {
        /** Reads the prompt and leaves its state at the engine; the response is one JSON body. */
        READ,
        /** Writes the answer; the response is a stream of server-sent events. */
        WRITE
    }

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final int MAX_BODY_OR_LINE_BYTES = 1 << 20;
    private static final String DATA_PREFIX = "data:";
    private static final String END_OF_STREAM = "[DONE]";

    private final AttemptRequest attemptRequest;
    private final AttemptListener listener;
    private final Kind kind;
    private final Context loop;
    private final CompletionsAttemptClassifier classifier = new CompletionsAttemptClassifier();
    private HttpClientRequest request;
    private HttpClientResponse response;
    private LoadReport loadReport;

    /** Whether the last listener call has been made or scheduled. */
    private boolean ended;

    private boolean paused;
    private boolean responseStarted;
    private boolean socketReadNotificationScheduled;
    private AnswerSummary.FinishReason finishReason = AnswerSummary.FinishReason.END_OF_TURN;
    private String stopSequence;
    private int promptTokens = AnswerSummary.TOKENS_UNREPORTED;
    private int outputTokens = AnswerSummary.TOKENS_UNREPORTED;
    private int textEvents;

    /** The part received so far of the body of a response that is not streamed. */
    private Buffer aggregatedBody;

    CompletionsAttempt(
            AttemptRequest attemptRequest, AttemptListener listener, Kind kind, Context loop) {
        this.attemptRequest = attemptRequest;
        this.listener = listener;
        this.kind = kind;
        this.loop = loop;
    }

    /** Acquires a connection and sends the request over it. */
    void start(HttpClient client, RequestOptionsFactory requestOptions, ObjectNode body) {
        RequestOptions options =
                requestOptions.create(
                        attemptRequest.endpoint(), HttpMethod.POST, "/v1/completions");
        options.putHeader("content-type", "application/json")
                .putHeader("x-request-id", attemptRequest.attemptId());
        if (attemptRequest.idempotencyKey() != null) {
            options.putHeader("idempotency-key", attemptRequest.idempotencyKey());
        }
        client.request(options)
                .onComplete(requestResult -> connectionResultReceived(requestResult, body));
    }

    private void connectionResultReceived(
            AsyncResult<HttpClientRequest> requestResult, ObjectNode body) {
        if (ended) {
            // Cancelled while waiting for a connection; nothing was written.
            if (requestResult.succeeded()) {
                requestResult.result().reset();
            }
            return;
        }
        if (requestResult.failed()) {
            finishLater(CompletionsAttemptClassifier.connectionFailed(requestResult.cause()));
            return;
        }
        request = requestResult.result();
        // Guards against: an attempt that waited for a connection would be sent to an engine that
        // started draining in the meantime.
        if (attemptRequest.sendCheck().rejection() != null) {
            classifier.sendRejected();
            request.reset();
            finishLater(classifier.outcome());
            return;
        }
        request.exceptionHandler(e -> connectionLost());
        request.response()
                .onComplete(
                        responseResult -> {
                            if (responseResult.succeeded()) {
                                responseReceived(responseResult.result());
                            } else {
                                connectionLost();
                            }
                        });
        classifier.writeStarted();
        request.end(Buffer.buffer(body.toString()));
    }

    private void responseReceived(HttpClientResponse received) {
        if (ended) {
            return;
        }
        response = received;
        classifier.responseReceived(response.statusCode());
        loadReport =
                CompletionsLoadReportParser.fromHeader(
                        response.getHeader(CompletionsLoadReportParser.HEADER));
        response.exceptionHandler(e -> connectionLost());
        if (kind == Kind.READ || response.statusCode() != HTTP_OK) {
            aggregateBody();
        } else {
            decodeEvents();
        }
    }

    private void aggregateBody() {
        aggregatedBody = Buffer.buffer();
        response.handler(
                part -> {
                    aggregatedBody.appendBuffer(part);
                    if (aggregatedBody.length() > MAX_BODY_OR_LINE_BYTES) {
                        malformed();
                    }
                });
        response.endHandler(end -> bodyCompleted());
    }

    private void decodeEvents() {
        RecordParser lines = RecordParser.newDelimited("\n", line -> lineReceived(line.toString()));
        lines.maxRecordSize(MAX_BODY_OR_LINE_BYTES);
        lines.exceptionHandler(e -> malformed());
        response.handler(
                part -> {
                    if (!ended) {
                        lines.handle(part);
                        scheduleSocketReadNotification();
                    }
                });
        response.endHandler(
                end -> {
                    if (!ended) {
                        classifier.bodyEnded();
                        finish(classifier.outcome());
                    }
                });
        if (paused) {
            response.pause();
        }
    }

    /**
     * Notifies the listener after the event loop has handled all chunks of one socket read: an
     * engine sends each token as a separate chunk, and many of them arrive together.
     */
    private void scheduleSocketReadNotification() {
        if (responseStarted && !ended && !socketReadNotificationScheduled) {
            socketReadNotificationScheduled = true;
            loop.runOnContext(
                    v -> {
                        socketReadNotificationScheduled = false;
                        if (!ended) {
                            listener.socketReadCompleted();
                        }
                    });
        }
    }

    private void bodyCompleted() {
        if (ended) {
            return;
        }
        classifier.bodyEnded();
        JsonNode body = parseObject(aggregatedBody.toString());
        if (response.statusCode() != HTTP_OK) {
            classifier.errorCodeReceived(
                    body == null ? null : body.path("error").path("code").asText(null));
            finish(classifier.outcome());
            return;
        }
        JsonNode parameters =
                body == null ? null : body.get(CompletionsRequestEncoder.TRANSFER_PARAMETERS_FIELD);
        if (parameters == null || !parameters.isObject()) {
            classifier.responseMalformed();
            finish(classifier.outcome());
            return;
        }
        ended = true;
        JsonNode usage = body.path("usage");
        listener.readCompleted(
                new CompletionsRequestEncoder.TransferHandle(parameters),
                usage.path("prompt_tokens_details").path("cached_tokens").asInt(0),
                usage.path("prompt_tokens").asInt(AnswerSummary.TOKENS_UNREPORTED),
                loadReport);
    }

    private void lineReceived(String line) {
        if (ended || !line.startsWith(DATA_PREFIX)) {
            return;
        }
        String data = line.substring(DATA_PREFIX.length()).strip();
        if (data.equals(END_OF_STREAM)) {
            if (responseStarted) {
                classifier.answerCompleted();
            }
            return;
        }
        JsonNode event = parseObject(data);
        if (event == null || event.has("error")) {
            malformed();
            return;
        }
        JsonNode usage = event.path("usage");
        if (usage.isObject()) {
            promptTokens = usage.path("prompt_tokens").asInt(AnswerSummary.TOKENS_UNREPORTED);
            outputTokens = usage.path("completion_tokens").asInt(AnswerSummary.TOKENS_UNREPORTED);
        }
        choiceReceived(event.path("choices").path(0));
    }

    private void choiceReceived(JsonNode choice) {
        String text = choice.path("text").asText("");
        String reason = choice.path("finish_reason").asText("");
        if (!responseStarted && (!text.isEmpty() || !reason.isEmpty())) {
            responseStarted = true;
            listener.responseStarted();
        }
        if (!text.isEmpty() && !ended) {
            textEvents++;
            listener.textReceived(text);
        }
        if (!reason.isEmpty() && !reason.equals("null")) {
            JsonNode stopReason = choice.path("stop_reason");
            stopSequence = stopReason.isTextual() ? stopReason.asText() : null;
            finishReason = finishReason(reason);
            classifier.answerCompleted();
        }
    }

    private AnswerSummary.FinishReason finishReason(String reason) {
        if (reason.equals("length")) {
            return AnswerSummary.FinishReason.MAX_TOKENS;
        }
        return stopSequence != null
                ? AnswerSummary.FinishReason.STOP_SEQUENCE
                : AnswerSummary.FinishReason.END_OF_TURN;
    }

    /** Parses a JSON object; returns null if the text is not one. */
    private static JsonNode parseObject(String text) {
        try {
            JsonNode json = MAPPER.readTree(text);
            return json != null && json.isObject() ? json : null;
        } catch (JsonProcessingException e) {
            return null;
        }
    }

    private void malformed() {
        if (!ended) {
            classifier.responseMalformed();
            request.reset();
            finish(classifier.outcome());
        }
    }

    private void connectionLost() {
        if (!ended) {
            finish(classifier.outcome());
        }
    }

    private void finish(AttemptOutcome outcome) {
        ended = true;
        listener.attemptEnded(
                outcome, loadReport, outcome == AttemptOutcome.STREAMED ? answerSummary() : null);
    }

    private AnswerSummary answerSummary() {
        return new AnswerSummary(
                finishReason,
                stopSequence,
                promptTokens,
                outputTokens >= 0 ? outputTokens : textEvents);
    }

    /**
     * Ends the attempt in a separate task on the event loop, because the caller that sends or
     * cancels it must not be re-entered.
     */
    private void finishLater(AttemptOutcome outcome) {
        ended = true;
        loop.runOnContext(v -> finish(outcome));
    }

    @Override
    public void cancel() {
        if (!ended) {
            classifier.cancelled();
            abort();
        }
    }

    @Override
    public void expire() {
        if (!ended) {
            classifier.deadlineExpired();
            abort();
        }
    }

    private void abort() {
        // Set before the reset, whose events would otherwise end the attempt a second time.
        ended = true;
        if (request != null) {
            request.reset();
        }
        finishLater(classifier.outcome());
    }

    @Override
    public void pause() {
        paused = true;
        if (response != null) {
            response.pause();
        }
    }

    @Override
    public void resume() {
        paused = false;
        if (response != null) {
            response.resume();
        }
    }
}
