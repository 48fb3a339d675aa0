package larchridge.messages;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import larchridge.site.ProductOffering;
import larchridge.site.Site;
import larchridge.site.SiteLimits;
import larchridge.upstream.AttemptRequest;

/**
 * Parses the body of {@code POST /v1/messages}, according to the public specification, into a
 * prompt and what the router needs to know about it. All prompts are rendered with one template:
 * tools, then system, then the turns, so that bodies that begin alike give prompts that begin
 * alike.
 */
final class MessagesParser {
    private static final int MAX_TOOLS = 512;
    private static final int MAX_STOP_SEQUENCES = 64;
    private static final Set<String> BLOCK_TYPES =
            Set.of(
                    "text",
                    "image",
                    "document",
                    "tool_use",
                    "tool_result",
                    "thinking",
                    "redacted_thinking");

    private final Site site;
    private final ObjectMapper mapper;

    /**
     * A parsed body: the generation request without the values from the headers.
     *
     * <p>{@code sessionId} is the digest of the prompt through the first turn. {@code turnDigest}
     * is the digest of the whole prompt. {@code previousTurnDigest} is the digest of the prompt
     * before the last assistant message, or null if there is none; it equals the {@code turnDigest}
     * of the request that this one continues.
     */
    record Body(
            ProductOffering offering,
            String model,
            String engineModel,
            String prompt,
            int promptTokens,
            int sharedPrefixTokens,
            int maxTokens,
            List<String> stopSequences,
            AttemptRequest.Sampling sampling,
            String sharedPrefixId,
            String sessionId,
            String previousTurnDigest,
            String turnDigest,
            boolean stream,
            CountInput countInput) {
        /** Returns a copy with measured instead of estimated lengths. */
        Body withTokens(int newPromptTokens, int newSharedPrefixTokens) {
            return new Body(
                    offering,
                    model,
                    engineModel,
                    this.prompt,
                    Math.max(1, newPromptTokens),
                    Math.min(newSharedPrefixTokens, newPromptTokens),
                    maxTokens,
                    stopSequences,
                    sampling,
                    sharedPrefixId,
                    sessionId,
                    previousTurnDigest,
                    turnDigest,
                    stream,
                    null);
        }
    }

    /**
     * What is counted of a body: the prompt without images and documents, how many of its
     * characters belong to the shared prefix, the number of images and documents in all and in the
     * prefix, and the number of messages.
     */
    record CountInput(String prompt, int sharedChars, int images, int sharedImages, int messages) {}

    MessagesParser(Site site) {
        this.site = site;
        SiteLimits limits = site.limits;
        JsonFactory factory =
                JsonFactory.builder()
                        .streamReadConstraints(
                                StreamReadConstraints.builder()
                                        .maxNestingDepth(limits.maxNesting)
                                        .maxStringLength(
                                                (int)
                                                        Math.min(
                                                                Integer.MAX_VALUE,
                                                                limits.maxBodyBytes))
                                        .maxNumberLength(100)
                                        .maxNameLength(10_000)
                                        .build())
                        .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
                        .build();
        mapper = new ObjectMapper(factory).enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);
    }

    Body parse(byte[] bytes) throws ApiException {
        return parse(bytes, false);
    }

    /** Parses a body; {@code max_tokens} is not required if its tokens are only counted. */
    Body parse(byte[] bytes, boolean countOnly) throws ApiException {
        return parse(parseJson(bytes), countOnly, 1);
    }

    JsonNode parseJson(byte[] bytes) throws ApiException {
        try {
            return mapper.readTree(bytes);
        } catch (JsonProcessingException e) {
            int line = e.getLocation() == null ? 0 : e.getLocation().getLineNr();
            int column = e.getLocation() == null ? 0 : e.getLocation().getColumnNr();
            throw ApiException.invalid(
                    "body: not valid JSON at line "
                            + line
                            + ", column "
                            + column
                            + ": "
                            + e.getOriginalMessage());
        } catch (IOException e) {
            throw ApiException.invalid("body: can't be read");
        }
    }

    Body parse(JsonNode root, boolean countOnly, double maxTemperature) throws ApiException {
        if (root == null || !root.isObject()) {
            throw ApiException.invalid("body: expected a JSON object");
        }
        String model = requireString(root, "model", "model");
        ProductOffering offering = site.offeringsByModel.get(model);
        if (offering == null) {
            throw ApiException.notFound("model: " + model);
        }
        int maxTokens = countOnly ? 1 : requireInt(root, "max_tokens", 1, Integer.MAX_VALUE);
        if (maxTokens > offering.maxTokens) {
            throw ApiException.invalid(
                    "max_tokens: "
                            + maxTokens
                            + " > "
                            + offering.maxTokens
                            + ", the most of "
                            + model);
        }
        RenderedPrompt rendered = new RenderedPrompt();
        renderTools(root.path("tools"), rendered);
        checkToolChoice(root.path("tool_choice"), root.has("tools"));
        renderSystem(root.path("system"), rendered);
        rendered.markMessagesStart();
        String assistantHeader = renderMessages(root.path("messages"), rendered);
        checkMetadata(root.path("metadata"));
        AttemptRequest.Sampling sampling =
                new AttemptRequest.Sampling(
                        optionalNumber(root, "temperature", 0, maxTemperature),
                        optionalNumber(root, "top_p", 0, 1),
                        root.has("top_k") ? requireInt(root, "top_k", 0, 1_000_000) : null);
        boolean stream = optionalBoolean(root, "stream");
        String prompt = rendered.text.toString();
        int sharedChars = rendered.sharedEnd();
        return new Body(
                offering,
                model,
                offering.engineModel.isEmpty() ? model : offering.engineModel,
                prompt + assistantHeader,
                estimateTokens(prompt, prompt.length()),
                estimateTokens(prompt, sharedChars),
                maxTokens,
                readStopSequences(root.path("stop_sequences")),
                sampling,
                sharedChars == 0 ? null : Site.sha256(prompt.substring(0, sharedChars)),
                Site.sha256(prompt.substring(0, rendered.firstTurnEnd)),
                rendered.lastAssistantStart < 0
                        ? null
                        : Site.sha256(prompt.substring(0, rendered.lastAssistantStart)),
                Site.sha256(prompt),
                stream,
                offering.lengthSettings.vocabulary() == null
                        ? null
                        : new CountInput(
                                rendered.withoutImages(prompt + assistantHeader),
                                rendered.charsWithoutImages(sharedChars),
                                rendered.imagesBefore(Integer.MAX_VALUE),
                                rendered.imagesBefore(sharedChars),
                                root.path("messages").size()));
    }

    /** Estimates the tokens of a prompt's first characters from the site's bytes per token. */
    private int estimateTokens(String prompt, int chars) {
        if (chars == 0) {
            return 0;
        }
        int bytes = prompt.substring(0, chars).getBytes(StandardCharsets.UTF_8).length;
        return Math.max(1, (int) Math.ceil(bytes / site.limits.bytesPerToken));
    }

    /** The prompt while it is rendered, with the offsets that delimit shared prefix and turns. */
    private static final class RenderedPrompt {
        final StringBuilder text = new StringBuilder();

        /** Where tools and system end and the messages start; 0 without tools and system. */
        int messagesStart;

        int cacheControlEnd;
        int firstTurnEnd;
        int lastAssistantStart = -1;

        /** Start and end offsets of images and documents, in pairs. */
        final List<Integer> imageBounds = new ArrayList<>();

        String withoutImages(String prompt) {
            if (imageBounds.isEmpty()) {
                return prompt;
            }
            StringBuilder rest = new StringBuilder();
            int from = 0;
            for (int i = 0; i < imageBounds.size(); i += 2) {
                rest.append(prompt, from, imageBounds.get(i));
                from = imageBounds.get(i + 1);
            }
            return rest.append(prompt, from, prompt.length()).toString();
        }

        /**
         * How many of the first {@code chars} characters are not part of an image or document. None
         * of these is cut in two, since the offset is always at the end of a block.
         */
        int charsWithoutImages(int chars) {
            int remaining = chars;
            for (int i = 0; i < imageBounds.size() && imageBounds.get(i) < chars; i += 2) {
                remaining -= imageBounds.get(i + 1) - imageBounds.get(i);
            }
            return remaining;
        }

        int imagesBefore(int end) {
            int count = 0;
            for (int i = 0; i < imageBounds.size() && imageBounds.get(i) < end; i += 2) {
                count++;
            }
            return count;
        }

        void markMessagesStart() {
            messagesStart = text.length();
        }

        /**
         * Where the shared prefix ends: after tools and system or, without these, at the last
         * {@code cache_control} marker, but not after the first turn. Markers in later turns move
         * as the conversation grows, so they do not mark the end of a prefix that sessions share.
         */
        int sharedEnd() {
            return messagesStart > 0 ? messagesStart : Math.min(cacheControlEnd, firstTurnEnd);
        }
    }

    private void renderTools(JsonNode tools, RenderedPrompt rendered) throws ApiException {
        if (tools.isMissingNode() || tools.isNull()) {
            return;
        }
        List<JsonNode> items = requireArray(tools, "tools", MAX_TOOLS);
        for (int i = 0; i < items.size(); i++) {
            String path = "tools." + i;
            requireObject(items.get(i), path);
            requireString(items.get(i), "name", path + ".name");
            if (!items.get(i).path("type").isTextual()
                    && !items.get(i).path("input_schema").isObject()) {
                throw ApiException.invalid(path + ".input_schema: Field required");
            }
            markCacheControl(items.get(i), path, rendered);
        }
        if (!items.isEmpty()) {
            rendered.text.append("<|tools|>\n").append(tools).append('\n');
        }
    }

    private void checkToolChoice(JsonNode toolChoice, boolean hasTools) throws ApiException {
        if (toolChoice.isMissingNode() || toolChoice.isNull()) {
            return;
        }
        requireObject(toolChoice, "tool_choice");
        String type = requireString(toolChoice, "type", "tool_choice.type");
        if (!Set.of("auto", "any", "tool", "none").contains(type)) {
            throw ApiException.invalid(
                    "tool_choice.type: '" + type + "' is not auto, any, tool or none");
        }
        if (type.equals("tool")) {
            requireString(toolChoice, "name", "tool_choice.name");
        }
        if (!hasTools) {
            throw ApiException.invalid("tool_choice: needs tools");
        }
    }

    private void renderSystem(JsonNode system, RenderedPrompt rendered) throws ApiException {
        if (system.isMissingNode() || system.isNull()) {
            return;
        }
        rendered.text.append("<|system|>\n");
        if (system.isTextual()) {
            rendered.text.append(system.asText());
        } else {
            List<JsonNode> items = requireArray(system, "system", site.limits.maxMessages);
            for (int i = 0; i < items.size(); i++) {
                String path = "system." + i;
                requireObject(items.get(i), path);
                if (!requireString(items.get(i), "type", path + ".type").equals("text")) {
                    throw ApiException.invalid(path + ".type: expected 'text'");
                }
                rendered.text.append(requireString(items.get(i), "text", path + ".text"));
                markCacheControl(items.get(i), path, rendered);
            }
        }
        rendered.text.append('\n');
    }

    /**
     * Renders the turns. Returns the header of the assistant's turn that is to be generated, empty
     * if the last message is the assistant's. The header is left out of {@code turnDigest}, so that
     * it equals {@code previousTurnDigest} of the session's next request.
     */
    private String renderMessages(JsonNode messages, RenderedPrompt rendered) throws ApiException {
        if (messages.isMissingNode()) {
            throw ApiException.invalid("messages: Field required");
        }
        List<JsonNode> items = requireArray(messages, "messages", site.limits.maxMessages);
        if (items.isEmpty()) {
            throw ApiException.invalid("messages: at least one message is required");
        }
        for (int i = 0; i < items.size(); i++) {
            String path = "messages." + i;
            JsonNode message = items.get(i);
            requireObject(message, path);
            String role = requireString(message, "role", path + ".role");
            if (!role.equals("user") && !role.equals("assistant")) {
                throw ApiException.invalid(path + ".role: '" + role + "' is not user or assistant");
            }
            if (i == 0 && !role.equals("user")) {
                throw ApiException.invalid(path + ".role: first message must use the 'user' role");
            }
            if (role.equals("assistant")) {
                rendered.lastAssistantStart = rendered.text.length();
            }
            rendered.text.append("<|").append(role).append("|>\n");
            renderContent(message.path("content"), path + ".content", rendered);
            rendered.text.append('\n');
            if (i == 0) {
                rendered.firstTurnEnd = rendered.text.length();
            }
        }
        boolean prefilled = items.get(items.size() - 1).path("role").asText().equals("assistant");
        if (prefilled) {
            rendered.text.setLength(rendered.text.length() - 1);
        }
        return prefilled ? "" : "<|assistant|>\n";
    }

    private void renderContent(JsonNode content, String path, RenderedPrompt rendered)
            throws ApiException {
        if (content.isTextual()) {
            if (content.asText().isEmpty()) {
                throw ApiException.invalid(path + ": text content must not be empty");
            }
            rendered.text.append(content.asText());
            return;
        }
        if (content.isMissingNode()) {
            throw ApiException.invalid(path + ": Field required");
        }
        List<JsonNode> blocks = requireArray(content, path, site.limits.maxMessages);
        for (int i = 0; i < blocks.size(); i++) {
            renderBlock(blocks.get(i), path + "." + i, rendered);
        }
    }

    private void renderBlock(JsonNode block, String path, RenderedPrompt rendered)
            throws ApiException {
        requireObject(block, path);
        String type = requireString(block, "type", path + ".type");
        if (!BLOCK_TYPES.contains(type)) {
            throw ApiException.invalid(path + ".type: '" + type + "' is not a known block");
        }
        switch (type) {
            case "text" -> {
                String text = requireString(block, "text", path + ".text");
                if (text.isEmpty()) {
                    throw ApiException.invalid(path + ".text: must not be empty");
                }
                rendered.text.append(text);
            }
            case "tool_use" -> {
                requireString(block, "id", path + ".id");
                requireString(block, "name", path + ".name");
                if (!block.path("input").isObject()) {
                    throw ApiException.invalid(path + ".input: expected an object");
                }
                rendered.text
                        .append("<|tool_use|>")
                        .append(block.path("id").asText())
                        .append(' ')
                        .append(block.path("name").asText())
                        .append(' ')
                        .append(block.path("input"));
            }
            case "tool_result" -> {
                rendered.text
                        .append("<|tool_result|>")
                        .append(requireString(block, "tool_use_id", path + ".tool_use_id"))
                        .append(' ');
                if (block.hasNonNull("content")) {
                    renderContent(block.path("content"), path + ".content", rendered);
                }
            }
            case "image", "document" -> {
                JsonNode source = block.path("source");
                requireObject(source, path + ".source");
                requireString(source, "type", path + ".source.type");
                rendered.imageBounds.add(rendered.text.length());
                rendered.text.append("<|").append(type).append("|>").append(source);
                rendered.imageBounds.add(rendered.text.length());
            }
            default ->
                    rendered.text
                            .append("<|")
                            .append(type)
                            .append("|>")
                            .append(block.path("thinking").asText(block.path("data").asText("")));
        }
        markCacheControl(block, path, rendered);
    }

    private static void markCacheControl(JsonNode parent, String path, RenderedPrompt rendered)
            throws ApiException {
        JsonNode cacheControl = parent.path("cache_control");
        if (cacheControl.isMissingNode() || cacheControl.isNull()) {
            return;
        }
        if (!cacheControl.path("type").asText().equals("ephemeral")) {
            throw ApiException.invalid(path + ".cache_control.type: expected 'ephemeral'");
        }
        rendered.cacheControlEnd = rendered.text.length();
    }

    private static void checkMetadata(JsonNode metadata) throws ApiException {
        if (metadata.isMissingNode() || metadata.isNull()) {
            return;
        }
        requireObject(metadata, "metadata");
        JsonNode user = metadata.path("user_id");
        if (!user.isMissingNode()
                && !user.isNull()
                && (!user.isTextual() || user.asText().length() > 256)) {
            throw ApiException.invalid(
                    "metadata.user_id: expected a text of at most 256 characters");
        }
    }

    private static List<String> readStopSequences(JsonNode stopSequences) throws ApiException {
        List<String> stopList = new ArrayList<>();
        if (stopSequences.isMissingNode() || stopSequences.isNull()) {
            return stopList;
        }
        for (JsonNode stop : requireArray(stopSequences, "stop_sequences", MAX_STOP_SEQUENCES)) {
            if (!stop.isTextual() || stop.asText().isBlank()) {
                throw ApiException.invalid(
                        "stop_sequences." + stopList.size() + ": each must contain non-whitespace");
            }
            stopList.add(stop.asText());
        }
        return stopList;
    }

    private static List<JsonNode> requireArray(JsonNode node, String path, int max)
            throws ApiException {
        if (!node.isArray()) {
            throw ApiException.invalid(path + ": expected an array");
        }
        if (node.size() > max) {
            throw ApiException.invalid(path + ": " + node.size() + " items; at most " + max);
        }
        List<JsonNode> items = new ArrayList<>(node.size());
        node.forEach(items::add);
        return items;
    }

    private static void requireObject(JsonNode node, String path) throws ApiException {
        if (!node.isObject()) {
            throw ApiException.invalid(
                    path + (node.isMissingNode() ? ": Field required" : ": expected an object"));
        }
    }

    private static String requireString(JsonNode parent, String field, String path)
            throws ApiException {
        JsonNode value = parent.path(field);
        if (value.isMissingNode()) {
            throw ApiException.invalid(path + ": Field required");
        }
        if (!value.isTextual()) {
            throw ApiException.invalid(path + ": expected a text");
        }
        return value.asText();
    }

    private static int requireInt(JsonNode parent, String field, int min, int max)
            throws ApiException {
        JsonNode value = parent.path(field);
        if (value.isMissingNode()) {
            throw ApiException.invalid(field + ": Field required");
        }
        if (!value.isIntegralNumber()
                || !value.canConvertToInt()
                || value.asInt() < min
                || value.asInt() > max) {
            throw ApiException.invalid(field + ": expected a whole number of at least " + min);
        }
        return value.asInt();
    }

    private static Double optionalNumber(JsonNode parent, String field, double min, double max)
            throws ApiException {
        JsonNode value = parent.path(field);
        if (value.isMissingNode() || value.isNull()) {
            return null;
        }
        if (!value.isNumber() || value.asDouble() < min || value.asDouble() > max) {
            throw ApiException.invalid(field + ": expected a number from " + min + " to " + max);
        }
        return value.asDouble();
    }

    private static boolean optionalBoolean(JsonNode parent, String field) throws ApiException {
        JsonNode value = parent.path(field);
        if (!value.isMissingNode() && !value.isBoolean()) {
            throw ApiException.invalid(field + ": expected true or false");
        }
        return value.asBoolean(false);
    }
}
