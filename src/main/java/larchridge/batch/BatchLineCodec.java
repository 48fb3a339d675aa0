package larchridge.batch;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import larchridge.messages.ApiException;
import larchridge.messages.MessagesCodec;
import larchridge.router.GenerationRequest;
import larchridge.upstream.AnswerSummary;

/**
 * The JSON formats of batch lines: conversion of chat completion requests to the Messages API,
 * response bodies of both APIs, and the records of the output and error files.
 */
final class BatchLineCodec {
    static final String CHAT_COMPLETIONS_ENDPOINT = "/v1/chat/completions";
    static final String MESSAGES_ENDPOINT = "/v1/messages";
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private BatchLineCodec() {}

    /**
     * Converts the body of a chat completion request to that of a Messages API request. If it
     * cannot be converted, the exception names the field.
     */
    static ObjectNode chatToMessages(JsonNode chat) throws ApiException {
        ObjectNode body = MAPPER.createObjectNode();
        copyField(chat, body, "model", "model");
        copyField(chat, body, "temperature", "temperature");
        copyField(chat, body, "top_p", "top_p");
        copyField(chat, body, "max_tokens", "max_tokens");
        copyField(chat, body, "max_completion_tokens", "max_tokens");
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
            boolean isSystem = role.equals("system") || role.equals("developer");
            if (!isSystem && !role.equals("user") && !role.equals("assistant")) {
                throw ApiException.invalid(
                        "messages."
                                + i
                                + ".role: '"
                                + role
                                + "' is not system, developer, user or assistant");
            }
            JsonNode content = textContent(message.path("content"), "messages." + i + ".content");
            if (!isSystem) {
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

    private static JsonNode textContent(JsonNode content, String path) throws ApiException {
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

    private static void copyField(
            JsonNode source, ObjectNode target, String name, String targetName) {
        if (source.hasNonNull(name)) {
            target.set(targetName, source.get(name));
        }
    }

    /** The response body in the format of the endpoint. */
    static ObjectNode responseBody(
            String endpoint,
            String id,
            String model,
            GenerationRequest request,
            int cachedTokens,
            String text,
            AnswerSummary summary,
            long nowMs) {
        if (endpoint.equals(MESSAGES_ENDPOINT)) {
            return MessagesCodec.toMessage(id, model, request, cachedTokens, text, summary);
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
                        summary.finishReason() == AnswerSummary.FinishReason.MAX_TOKENS
                                ? "length"
                                : "stop");
        ObjectNode usage =
                chat.putObject("usage")
                        .put("prompt_tokens", request.promptTokens())
                        .put("completion_tokens", summary.outputTokens())
                        .put("total_tokens", request.promptTokens() + summary.outputTokens());
        usage.putObject("prompt_tokens_details")
                .put("cached_tokens", Math.min(cachedTokens, request.promptTokens()));
        return chat;
    }

    /** The record of a line that has a response, be it an error response to an invalid request. */
    static String responseRecord(String lineId, String customId, int status, JsonNode body) {
        ObjectNode record = newRecord(lineId, customId);
        ObjectNode response =
                record.putObject("response")
                        .put("status_code", status)
                        .put("request_id", "req_" + lineId);
        response.set("body", body);
        return record.putNull("error").toString();
    }

    /** The body of an error response in the format of the endpoint. */
    static ObjectNode errorBody(String endpoint, ApiException error) {
        ObjectNode body = MAPPER.createObjectNode();
        if (endpoint.equals(MESSAGES_ENDPOINT)) {
            body.put("type", "error")
                    .putObject("error")
                    .put("type", error.type)
                    .put("message", error.getMessage());
        } else {
            body.putObject("error")
                    .put("message", error.getMessage())
                    .put("type", error.type)
                    .putNull("param")
                    .putNull("code");
        }
        return body;
    }

    /** The record of a line that has no response. */
    static String errorRecord(String lineId, String customId, String code, String message) {
        ObjectNode record = newRecord(lineId, customId).putNull("response");
        record.putObject("error").put("code", code).put("message", message);
        return record.toString();
    }

    private static ObjectNode newRecord(String lineId, String customId) {
        return MAPPER.createObjectNode()
                .put("id", "batch_req_" + lineId)
                .put("custom_id", customId);
    }
}
