package larchridge.batch;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import larchridge.messages.ApiException;
import larchridge.messages.MessagesCodec;
import larchridge.router.GenerationRequest;
import larchridge.upstream.Completion;

/**
 * The words of lines: bodies of chat completions as messages, answers of either kind, and the
 * records of both files.
 */
final class BatchLineCodec {
    static final String CHAT = "/v1/chat/completions";
    static final String MESSAGES = "/v1/messages";
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private BatchLineCodec() {}

    /**
     * A chat body as the messages API would have it; what it can't have is a fault that names the
     * field.
     */
    static ObjectNode messages(JsonNode chat) throws ApiException {
        ObjectNode body = MAPPER.createObjectNode();
        copy(chat, body, "model", "model");
        copy(chat, body, "temperature", "temperature");
        copy(chat, body, "top_p", "top_p");
        copy(chat, body, "max_tokens", "max_tokens");
        copy(chat, body, "max_completion_tokens", "max_tokens");
        if (!body.has("max_tokens")) {
            throw ApiException.invalid("max_completion_tokens: Field required");
        }
        JsonNode stop = chat.path("stop");
        if (stop.isTextual()) {
            body.putArray("stop_sequences").add(stop.asText());
        } else if (stop.isArray()) {
            body.set("stop_sequences", stop);
        }
        if (chat.path("n").asInt(1) != 1) {
            throw ApiException.invalid("n: only 1 is served");
        }
        if (chat.path("stream").asBoolean(false)) {
            throw ApiException.invalid("stream: a batch answers in one piece");
        }
        if (chat.hasNonNull("tools")) {
            throw ApiException.invalid("tools: not served here");
        }
        if (!chat.path("messages").isArray()) {
            throw ApiException.invalid("messages: expected an array");
        }
        ArrayNode system = MAPPER.createArrayNode();
        ArrayNode turns = MAPPER.createArrayNode();
        for (int i = 0; i < chat.path("messages").size(); i++) {
            JsonNode message = chat.path("messages").get(i);
            String role = message.path("role").asText();
            boolean head = role.equals("system") || role.equals("developer");
            if (!head && !role.equals("user") && !role.equals("assistant")) {
                throw ApiException.invalid(
                        "messages."
                                + i
                                + ".role: '"
                                + role
                                + "' is not system, developer, user or assistant");
            }
            JsonNode content = content(message.path("content"), "messages." + i + ".content");
            if (!head) {
                turns.addObject().put("role", role).set("content", content);
            } else if (content.isTextual()) {
                system.addObject().put("type", "text").put("text", content.asText());
            } else {
                system.addAll((ArrayNode) content);
            }
        }
        if (!system.isEmpty()) {
            body.set("system", system);
        }
        body.set("messages", turns);
        return body;
    }

    private static JsonNode content(JsonNode content, String path) throws ApiException {
        if (content.isTextual()) {
            return content;
        }
        if (!content.isArray()) {
            throw ApiException.invalid(path + ": expected a text or an array");
        }
        ArrayNode blocks = MAPPER.createArrayNode();
        for (int i = 0; i < content.size(); i++) {
            if (!content.get(i).path("type").asText().equals("text")) {
                throw ApiException.invalid(path + "." + i + ".type: only text is served here");
            }
            blocks.addObject()
                    .put("type", "text")
                    .put("text", content.get(i).path("text").asText());
        }
        return blocks;
    }

    private static void copy(JsonNode from, ObjectNode to, String name, String as) {
        if (from.hasNonNull(name)) {
            to.set(as, from.get(name));
        }
    }

    /** The body of an answer. */
    static ObjectNode answer(
            String endpoint,
            String id,
            String model,
            GenerationRequest ask,
            int keptTokens,
            String text,
            Completion ending,
            long nowMs) {
        if (endpoint.equals(MESSAGES)) {
            return MessagesCodec.toMessage(id, model, ask, keptTokens, text, ending);
        }
        ObjectNode chat =
                MAPPER.createObjectNode()
                        .put("id", "chatcmpl-" + id)
                        .put("object", "chat.completion")
                        .put("created", nowMs / 1000)
                        .put("model", model);
        ObjectNode choice = chat.putArray("choices").addObject().put("index", 0);
        choice.putObject("message")
                .put("role", "assistant")
                .put("content", text)
                .putNull("refusal");
        choice.putNull("logprobs")
                .put(
                        "finish_reason",
                        ending.finishReason() == Completion.FinishReason.MAX_TOKENS
                                ? "length"
                                : "stop");
        ObjectNode usage =
                chat.putObject("usage")
                        .put("prompt_tokens", ask.promptTokens())
                        .put("completion_tokens", ending.outputTokens())
                        .put("total_tokens", ask.promptTokens() + ending.outputTokens());
        usage.putObject("prompt_tokens_details")
                .put("cached_tokens", Math.min(keptTokens, ask.promptTokens()));
        return chat;
    }

    /** The record of a line that was answered, well or with a fault of its own. */
    static String response(String lineId, String customId, int status, JsonNode body) {
        ObjectNode record = record(lineId, customId);
        ObjectNode response =
                record.putObject("response")
                        .put("status_code", status)
                        .put("request_id", "req_" + lineId);
        response.set("body", body);
        return record.putNull("error").toString();
    }

    static ObjectNode fault(String endpoint, ApiException fault) {
        ObjectNode body = MAPPER.createObjectNode();
        if (endpoint.equals(MESSAGES)) {
            body.put("type", "error")
                    .putObject("error")
                    .put("type", fault.type)
                    .put("message", fault.getMessage());
        } else {
            body.putObject("error")
                    .put("message", fault.getMessage())
                    .put("type", fault.type)
                    .putNull("param")
                    .putNull("code");
        }
        return body;
    }

    /** The record of a line that has no answer. */
    static String error(String lineId, String customId, String code, String text) {
        ObjectNode record = record(lineId, customId).putNull("response");
        record.putObject("error").put("code", code).put("message", text);
        return record.toString();
    }

    private static ObjectNode record(String lineId, String customId) {
        return MAPPER.createObjectNode()
                .put("id", "batch_req_" + lineId)
                .put("custom_id", customId);
    }
}
