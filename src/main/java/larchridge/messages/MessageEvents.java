package larchridge.messages;

import com.fasterxml.jackson.core.io.JsonStringEncoder;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import larchridge.upstream.AnswerSummary;

/** The JSON that the API speaks: messages, the events of a stream, and errors. */
final class MessageEvents {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private MessageEvents() {}

    static ObjectNode message(
            String id, String model, int inputTokens, int keptTokens, int createdTokens) {
        ObjectNode message = MAPPER.createObjectNode();
        message.put("id", "msg_" + id)
                .put("type", "message")
                .put("role", "assistant")
                .put("model", model);
        message.putArray("content");
        message.putNull("stop_reason").putNull("stop_sequence");
        message.putObject("usage")
                .put("input_tokens", Math.max(0, inputTokens - keptTokens - createdTokens))
                .put("cache_creation_input_tokens", createdTokens)
                .put("cache_read_input_tokens", keptTokens)
                .put("output_tokens", 0);
        return message;
    }

    /** Fills in what is known only when the answer is whole. */
    static ObjectNode whole(ObjectNode message, String text, AnswerSummary ending) {
        message.withArray("content").addObject().put("type", "text").put("text", text);
        message.put("stop_reason", stopReason(ending)).put("stop_sequence", ending.stopSequence());
        message.withObject("/usage").put("output_tokens", ending.outputTokens());
        return message;
    }

    static String messageStart(ObjectNode message) {
        ObjectNode event = event("message_start");
        event.set("message", message);
        return framed("message_start", event);
    }

    static String blockStart() {
        ObjectNode event = event("content_block_start").put("index", 0);
        event.putObject("content_block").put("type", "text").put("text", "");
        return framed("content_block_start", event);
    }

    /** Written by hand but for the text: it is most of what a front writes. */
    static void textDelta(StringBuilder to, String text) {
        to.append(
                        "event: content_block_delta\ndata: {\"type\":\"content_block_delta\",\"index\":0,\"delta\":")
                .append("{\"type\":\"text_delta\",\"text\":\"");
        JsonStringEncoder.getInstance().quoteAsString(text, to);
        to.append("\"}}\n\n");
    }

    static String blockStop() {
        return framed("content_block_stop", event("content_block_stop").put("index", 0));
    }

    static String messageDelta(AnswerSummary ending) {
        ObjectNode event = event("message_delta");
        ObjectNode delta = event.putObject("delta").put("stop_reason", stopReason(ending));
        delta.put("stop_sequence", ending.stopSequence());
        event.putObject("usage").put("output_tokens", ending.outputTokens());
        return framed("message_delta", event);
    }

    static String messageStop() {
        return framed("message_stop", event("message_stop"));
    }

    static String ping() {
        return framed("ping", event("ping"));
    }

    static ObjectNode error(ApiException fault, String requestId) {
        ObjectNode error = event("error");
        error.putObject("error").put("type", fault.type).put("message", fault.getMessage());
        return error.put("request_id", requestId);
    }

    static String errorEvent(ApiException fault, String requestId) {
        return framed("error", error(fault, requestId));
    }

    static String stopReason(AnswerSummary ending) {
        return switch (ending.finishReason()) {
            case END_OF_TURN -> "end_turn";
            case MAX_TOKENS -> "max_tokens";
            case STOP_SEQUENCE -> "stop_sequence";
        };
    }

    private static ObjectNode event(String type) {
        return MAPPER.createObjectNode().put("type", type);
    }

    private static String framed(String name, ObjectNode data) {
        return "event: " + name + "\ndata: " + data + "\n\n";
    }
}
