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
 * Reads the body of {@code POST /v1/messages} by the public specification into a prompt and what
 * the router has to know of it. The prompt is rendered with one plain template, tools first, then
 * system, then the turns, so that equal beginnings of bodies are equal beginnings of prompts.
 */
final class MessagesReader {
    private static final int MOST_TOOLS = 512;
    private static final int MOST_STOPS = 64;
    private static final Set<String> BLOCKS =
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

    /** A body as read: the front's ask without what the headers tell. */
    record Body(
            ProductOffering offer,
            String model,
            String engineModel,
            String prompt,
            int promptTokens,
            int sharedTokens,
            int maxTokens,
            List<String> stops,
            AttemptRequest.Sampling sampling,
            String prefix,
            String opening,
            String talkBefore,
            String talkNow,
            boolean stream,
            Countable countable) {
        /** The same with lengths that are known better. */
        Body withTokens(int prompt, int shared) {
            return new Body(
                    offer,
                    model,
                    engineModel,
                    this.prompt,
                    Math.max(1, prompt),
                    Math.min(shared, prompt),
                    maxTokens,
                    stops,
                    sampling,
                    prefix,
                    opening,
                    talkBefore,
                    talkNow,
                    stream,
                    null);
        }
    }

    /**
     * What is to be counted: the prompt without images, how much of it is shared, and the images
     * beside it.
     */
    record Countable(String prompt, int sharedChars, int images, int sharedImages, int messages) {}

    MessagesReader(Site site) {
        this.site = site;
        SiteLimits limit = site.limits;
        JsonFactory factory =
                JsonFactory.builder()
                        .streamReadConstraints(
                                StreamReadConstraints.builder()
                                        .maxNestingDepth(limit.maxNesting)
                                        .maxStringLength(
                                                (int) Math.min(Integer.MAX_VALUE, limit.maxBodyBytes))
                                        .maxNumberLength(100)
                                        .maxNameLength(10_000)
                                        .build())
                        .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
                        .build();
        mapper = new ObjectMapper(factory).enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);
    }

    Body read(byte[] bytes) throws ApiException {
        return read(bytes, false);
    }

    /** Reads a body; one that is only to be counted needs no max_tokens. */
    Body read(byte[] bytes, boolean onlyCounted) throws ApiException {
        return read(parse(bytes), onlyCounted, 1);
    }

    JsonNode parse(byte[] bytes) throws ApiException {
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

    Body read(JsonNode root, boolean onlyCounted, double mostTemperature) throws ApiException {
        if (root == null || !root.isObject()) {
            throw ApiException.invalid("body: expected a JSON object");
        }
        String model = text(root, "model", "model");
        ProductOffering offer = site.offeringsByModel.get(model);
        if (offer == null) {
            throw ApiException.notFound("model: " + model);
        }
        int most = onlyCounted ? 1 : whole(root, "max_tokens", 1, Integer.MAX_VALUE);
        if (most > offer.maxTokens) {
            throw ApiException.invalid(
                    "max_tokens: " + most + " > " + offer.maxTokens + ", the most of " + model);
        }
        Rendered rendered = new Rendered();
        tools(root.path("tools"), rendered);
        choice(root.path("tool_choice"), root.has("tools"));
        system(root.path("system"), rendered);
        rendered.markHead();
        String opener = messages(root.path("messages"), rendered);
        metadata(root.path("metadata"));
        AttemptRequest.Sampling sampling =
                new AttemptRequest.Sampling(
                        decimal(root, "temperature", 0, mostTemperature),
                        decimal(root, "top_p", 0, 1),
                        root.has("top_k") ? whole(root, "top_k", 0, 1_000_000) : null);
        boolean stream = flag(root, "stream");
        String prompt = rendered.text.toString();
        int shared = rendered.sharedEnd();
        return new Body(
                offer,
                model,
                offer.engineModel.isEmpty() ? model : offer.engineModel,
                prompt + opener,
                tokens(prompt, prompt.length()),
                tokens(prompt, shared),
                most,
                stops(root.path("stop_sequences")),
                sampling,
                shared == 0 ? null : Site.sha256(prompt.substring(0, shared)),
                Site.sha256(prompt.substring(0, rendered.openingEnd)),
                rendered.beforeAssistant < 0
                        ? null
                        : Site.sha256(prompt.substring(0, rendered.beforeAssistant)),
                Site.sha256(prompt),
                stream,
                offer.measure.vocabulary() == null
                        ? null
                        : new Countable(
                                rendered.withoutImages(prompt + opener),
                                rendered.charsWithoutImages(shared),
                                rendered.images(Integer.MAX_VALUE),
                                rendered.images(shared),
                                root.path("messages").size()));
    }

    /** Tokens of the first chars of a prompt, by the site's bytes a token. */
    private int tokens(String prompt, int chars) {
        if (chars == 0) {
            return 0;
        }
        int bytes = prompt.substring(0, chars).getBytes(StandardCharsets.UTF_8).length;
        return Math.max(1, (int) Math.ceil(bytes / site.limits.bytesPerToken));
    }

    /** The prompt as it grows, with the places that name prefix and session. */
    private static final class Rendered {
        final StringBuilder text = new StringBuilder();
        int headEnd;
        int markedEnd;
        int openingEnd;
        int beforeAssistant = -1;

        /** Where images and documents begin and end, in pairs. */
        final List<Integer> images = new ArrayList<>();

        String withoutImages(String prompt) {
            if (images.isEmpty()) {
                return prompt;
            }
            StringBuilder rest = new StringBuilder();
            int from = 0;
            for (int i = 0; i < images.size(); i += 2) {
                rest.append(prompt, from, images.get(i));
                from = images.get(i + 1);
            }
            return rest.append(prompt, from, prompt.length()).toString();
        }

        /**
         * How much of the first chars is left without images; none is cut by a mark, which stands
         * after a block.
         */
        int charsWithoutImages(int chars) {
            int left = chars;
            for (int i = 0; i < images.size() && images.get(i) < chars; i += 2) {
                left -= images.get(i + 1) - images.get(i);
            }
            return left;
        }

        int images(int end) {
            int count = 0;
            for (int i = 0; i < images.size() && images.get(i) < end; i += 2) {
                count++;
            }
            return count;
        }

        void markHead() {
            headEnd = text.length();
        }

        /**
         * Where the shared beginning ends: with tools and system; where there are none, with the
         * last mark in the first turn. Marks in later turns move with the talk; they name no
         * beginning that other sessions share.
         */
        int sharedEnd() {
            return headEnd > 0 ? headEnd : Math.min(markedEnd, openingEnd);
        }
    }

    private void tools(JsonNode tools, Rendered rendered) throws ApiException {
        if (tools.isMissingNode() || tools.isNull()) {
            return;
        }
        List<JsonNode> items = items(tools, "tools", MOST_TOOLS);
        for (int i = 0; i < items.size(); i++) {
            String path = "tools." + i;
            object(items.get(i), path);
            text(items.get(i), "name", path + ".name");
            if (!items.get(i).path("type").isTextual()
                    && !items.get(i).path("input_schema").isObject()) {
                throw ApiException.invalid(path + ".input_schema: Field required");
            }
            cache(items.get(i), path, rendered);
        }
        if (!items.isEmpty()) {
            rendered.text.append("<|tools|>\n").append(tools).append('\n');
        }
    }

    private void choice(JsonNode choice, boolean tools) throws ApiException {
        if (choice.isMissingNode() || choice.isNull()) {
            return;
        }
        object(choice, "tool_choice");
        String type = text(choice, "type", "tool_choice.type");
        if (!Set.of("auto", "any", "tool", "none").contains(type)) {
            throw ApiException.invalid(
                    "tool_choice.type: '" + type + "' is not auto, any, tool or none");
        }
        if (type.equals("tool")) {
            text(choice, "name", "tool_choice.name");
        }
        if (!tools) {
            throw ApiException.invalid("tool_choice: needs tools");
        }
    }

    private void system(JsonNode system, Rendered rendered) throws ApiException {
        if (system.isMissingNode() || system.isNull()) {
            return;
        }
        rendered.text.append("<|system|>\n");
        if (system.isTextual()) {
            rendered.text.append(system.asText());
        } else {
            List<JsonNode> items = items(system, "system", site.limits.maxMessages);
            for (int i = 0; i < items.size(); i++) {
                String path = "system." + i;
                object(items.get(i), path);
                if (!text(items.get(i), "type", path + ".type").equals("text")) {
                    throw ApiException.invalid(path + ".type: expected 'text'");
                }
                rendered.text.append(text(items.get(i), "text", path + ".text"));
                cache(items.get(i), path, rendered);
            }
        }
        rendered.text.append('\n');
    }

    /**
     * Renders the turns; returns what opens the turn to be written, which no later prompt repeats.
     */
    private String messages(JsonNode messages, Rendered rendered) throws ApiException {
        if (messages.isMissingNode()) {
            throw ApiException.invalid("messages: Field required");
        }
        List<JsonNode> items = items(messages, "messages", site.limits.maxMessages);
        if (items.isEmpty()) {
            throw ApiException.invalid("messages: at least one message is required");
        }
        for (int i = 0; i < items.size(); i++) {
            String path = "messages." + i;
            JsonNode message = items.get(i);
            object(message, path);
            String role = text(message, "role", path + ".role");
            if (!role.equals("user") && !role.equals("assistant")) {
                throw ApiException.invalid(path + ".role: '" + role + "' is not user or assistant");
            }
            if (i == 0 && !role.equals("user")) {
                throw ApiException.invalid(path + ".role: first message must use the 'user' role");
            }
            if (role.equals("assistant")) {
                rendered.beforeAssistant = rendered.text.length();
            }
            rendered.text.append("<|").append(role).append("|>\n");
            content(message.path("content"), path + ".content", rendered);
            rendered.text.append('\n');
            if (i == 0) {
                rendered.openingEnd = rendered.text.length();
            }
        }
        boolean prefilled = items.get(items.size() - 1).path("role").asText().equals("assistant");
        if (prefilled) {
            rendered.text.setLength(rendered.text.length() - 1);
        }
        return prefilled ? "" : "<|assistant|>\n";
    }

    private void content(JsonNode content, String path, Rendered rendered) throws ApiException {
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
        List<JsonNode> blocks = items(content, path, site.limits.maxMessages);
        for (int i = 0; i < blocks.size(); i++) {
            block(blocks.get(i), path + "." + i, rendered);
        }
    }

    private void block(JsonNode block, String path, Rendered rendered) throws ApiException {
        object(block, path);
        String type = text(block, "type", path + ".type");
        if (!BLOCKS.contains(type)) {
            throw ApiException.invalid(path + ".type: '" + type + "' is not a known block");
        }
        switch (type) {
            case "text" -> {
                String text = text(block, "text", path + ".text");
                if (text.isEmpty()) {
                    throw ApiException.invalid(path + ".text: must not be empty");
                }
                rendered.text.append(text);
            }
            case "tool_use" -> {
                text(block, "id", path + ".id");
                text(block, "name", path + ".name");
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
                        .append(text(block, "tool_use_id", path + ".tool_use_id"))
                        .append(' ');
                if (block.hasNonNull("content")) {
                    content(block.path("content"), path + ".content", rendered);
                }
            }
            case "image", "document" -> {
                JsonNode source = block.path("source");
                object(source, path + ".source");
                text(source, "type", path + ".source.type");
                rendered.images.add(rendered.text.length());
                rendered.text.append("<|").append(type).append("|>").append(source);
                rendered.images.add(rendered.text.length());
            }
            default ->
                    rendered.text
                            .append("<|")
                            .append(type)
                            .append("|>")
                            .append(block.path("thinking").asText(block.path("data").asText("")));
        }
        cache(block, path, rendered);
    }

    private static void cache(JsonNode holder, String path, Rendered rendered) throws ApiException {
        JsonNode mark = holder.path("cache_control");
        if (mark.isMissingNode() || mark.isNull()) {
            return;
        }
        if (!mark.path("type").asText().equals("ephemeral")) {
            throw ApiException.invalid(path + ".cache_control.type: expected 'ephemeral'");
        }
        rendered.markedEnd = rendered.text.length();
    }

    private static void metadata(JsonNode metadata) throws ApiException {
        if (metadata.isMissingNode() || metadata.isNull()) {
            return;
        }
        object(metadata, "metadata");
        JsonNode user = metadata.path("user_id");
        if (!user.isMissingNode()
                && !user.isNull()
                && (!user.isTextual() || user.asText().length() > 256)) {
            throw ApiException.invalid(
                    "metadata.user_id: expected a text of at most 256 characters");
        }
    }

    private static List<String> stops(JsonNode stops) throws ApiException {
        List<String> read = new ArrayList<>();
        if (stops.isMissingNode() || stops.isNull()) {
            return read;
        }
        for (JsonNode stop : items(stops, "stop_sequences", MOST_STOPS)) {
            if (!stop.isTextual() || stop.asText().isBlank()) {
                throw ApiException.invalid(
                        "stop_sequences." + read.size() + ": each must contain non-whitespace");
            }
            read.add(stop.asText());
        }
        return read;
    }

    private static List<JsonNode> items(JsonNode node, String path, int most) throws ApiException {
        if (!node.isArray()) {
            throw ApiException.invalid(path + ": expected an array");
        }
        if (node.size() > most) {
            throw ApiException.invalid(path + ": " + node.size() + " items; at most " + most);
        }
        List<JsonNode> items = new ArrayList<>(node.size());
        node.forEach(items::add);
        return items;
    }

    private static void object(JsonNode node, String path) throws ApiException {
        if (!node.isObject()) {
            throw ApiException.invalid(
                    path + (node.isMissingNode() ? ": Field required" : ": expected an object"));
        }
    }

    private static String text(JsonNode holder, String field, String path) throws ApiException {
        JsonNode value = holder.path(field);
        if (value.isMissingNode()) {
            throw ApiException.invalid(path + ": Field required");
        }
        if (!value.isTextual()) {
            throw ApiException.invalid(path + ": expected a text");
        }
        return value.asText();
    }

    private static int whole(JsonNode holder, String field, int least, int most)
            throws ApiException {
        JsonNode value = holder.path(field);
        if (value.isMissingNode()) {
            throw ApiException.invalid(field + ": Field required");
        }
        if (!value.isIntegralNumber()
                || !value.canConvertToInt()
                || value.asInt() < least
                || value.asInt() > most) {
            throw ApiException.invalid(field + ": expected a whole number of at least " + least);
        }
        return value.asInt();
    }

    private static Double decimal(JsonNode holder, String field, double least, double most)
            throws ApiException {
        JsonNode value = holder.path(field);
        if (value.isMissingNode() || value.isNull()) {
            return null;
        }
        if (!value.isNumber() || value.asDouble() < least || value.asDouble() > most) {
            throw ApiException.invalid(field + ": expected a number from " + least + " to " + most);
        }
        return value.asDouble();
    }

    private static boolean flag(JsonNode holder, String field) throws ApiException {
        JsonNode value = holder.path(field);
        if (!value.isMissingNode() && !value.isBoolean()) {
            throw ApiException.invalid(field + ": expected true or false");
        }
        return value.asBoolean(false);
    }
}
