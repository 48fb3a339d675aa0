package larchridge.messages;

import com.fasterxml.jackson.core.io.JsonStringEncoder;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import larchridge.upstream.AnswerSummary;

/** Encodes messages, stream events and errors of the messages API as JSON. */
final class MessageEvents {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private MessageEvents() {}

    static ObjectNode message(
            String id, String model, int inputTokens, int cachedTokens, int cacheCreationTokens) {
        ObjectNode message = MAPPER.createObjectNode();
        message.put("id", "msg_" + id)
                .put("type", "message")
                .put("role", "assistant")
                .put("model", model);
        message.putArray("content");
        message.putNull("stop_reason").putNull("stop_sequence");
        message.putObject("usage")
                .put("input_tokens", Math.max(0, inputTokens - cachedTokens - cacheCreationTokens))
                .put("cache_creation_input_tokens", cacheCreationTokens)
                .put("cache_read_input_tokens", cachedTokens)
                .put("output_tokens", 0);
        return message;
    }

    /** Adds the text, the stop reason and the output tokens of a complete response. */
    static ObjectNode withResponse(ObjectNode message, String text, AnswerSummary summary) {
        message.withArray("content").addObject().put("type", "text").put("text", text);
        message.put("stop_reason", stopReason(summary))
                .put("stop_sequence", summary.stopSequence());
        message.withObject("/usage").put("output_tokens", summary.outputTokens());
        return message;
    }

    static String messageStart(ObjectNode message) {
        ObjectNode event = event("message_start");
        event.set("message", message);
        return formatEvent("message_start", event);
    }

    static String contentBlockStart() {
        ObjectNode event = event("content_block_start").put("index", 0);
        event.putObject("content_block").put("type", "text").put("text", "");
        return formatEvent("content_block_start", event);
    }

    /**
     * Appends a text event. Only the text is encoded by the library, since these events are most of
     * a router's output.
     */
    static void textDelta(StringBuilder out, String text) {
        out.append(
                        "event: content_block_delta\ndata: {\"type\":\"content_block_delta\",\"index\":0,\"delta\":")
                .append("{\"type\":\"text_delta\",\"text\":\"");
        JsonStringEncoder.getInstance().quoteAsString(text, out);
        out.append("\"}}\n\n");
    }

    static String contentBlockStop() {
        return formatEvent("content_block_stop", event("content_block_stop").put("index", 0));
    }

    static String messageDelta(AnswerSummary summary) {
        ObjectNode event = event("message_delta");
        ObjectNode delta = event.putObject("delta").put("stop_reason", stopReason(summary));
        delta.put("stop_sequence", summary.stopSequence());
        event.putObject("usage").put("output_tokens", summary.outputTokens());
        return formatEvent("message_delta", event);
    }

    static String messageStop() {
        return formatEvent("message_stop", event("message_stop"));
    }

    static String ping() {
        return formatEvent("ping", event("ping"));
    }

    static ObjectNode error(ApiException exception, String requestId) {
        ObjectNode error = event("error");
        error.putObject("error").put("type", exception.type).put("message", exception.getMessage());
        return error.put("request_id", requestId);
    }

    static String errorEvent(ApiException exception, String requestId) {
        return formatEvent("error", error(exception, requestId));
    }

    static String stopReason(AnswerSummary summary) {
        return switch (summary.finishReason()) {
            case END_OF_TURN -> "end_turn";
            case MAX_TOKENS -> "max_tokens";
            case STOP_SEQUENCE -> "stop_sequence";
        };
    }

    private static ObjectNode event(String type) {
        return MAPPER.createObjectNode().put("type", type);
    }

    private static String formatEvent(String name, ObjectNode data) {
        return "event: " + name + "\ndata: " + data + "\n\n";
    }
}
