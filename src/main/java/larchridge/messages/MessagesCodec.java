package larchridge.messages;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.concurrent.Executor;
import larchridge.router.GenerationRequest;
import larchridge.site.ProductOffering;
import larchridge.site.Site;
import larchridge.tokens.CountingResources;
import larchridge.upstream.AnswerSummary;

/**
 * Converts request bodies of the messages API that do not arrive at its endpoint, such as the lines
 * of a batch, to generation requests, and complete responses to JSON. Prompts are always counted if
 * the product has a vocabulary, however long that takes, since no client waits for them. Confined
 * to one thread.
 */
public final class MessagesCodec {
    private final MessagesParser parser;
    private final PromptLengths lengths;
    private final Executor executor;

    /**
     * Creates a codec.
     *
     * @param executor runs tasks on the codec's thread; prompt lengths that engines report are
     *     processed there
     */
    public MessagesCodec(Site site, CountingResources counters, Executor executor) {
        parser = new MessagesParser(site);
        lengths = new PromptLengths(counters);
        this.executor = executor;
    }

    /** Adapts the offering of a requested model, for example to batch work. */
    public interface OfferingAdapter {
        /** Returns the offering under which the request runs. */
        ProductOffering adapt(ProductOffering offering);
    }

    /**
     * Converts a body to a generation request.
     *
     * @param idempotencyKey the same each time the body is submitted
     */
    public GenerationRequest toGenerationRequest(
            JsonNode json,
            double maxTemperature,
            Site.Tenant tenant,
            OfferingAdapter adapter,
            String idempotencyKey)
            throws ApiException {
        MessagesParser.Body body = parser.parse(json, false, maxTemperature);
        PromptLengths.Measurement measurement =
                body.countInput() == null ? null : lengths.new Measurement(body);
        int countedTokens = -1;
        if (measurement != null) {
            measurement.countMissing();
            body = lengths.withLengths(measurement, false);
            countedTokens = PromptLengths.expectedEngineTokens(measurement);
        }
        int expectedTokens = countedTokens;
        String model = body.engineModel();
        return GenerationRequest.builder()
                .offering(adapter.adapt(body.offering()), tenant)
                .model(model)
                .prompt(body.prompt(), body.promptTokens())
                .sharedPrefix(body.sharedPrefixId(), body.sharedPrefixTokens())
                .limits(body.maxTokens(), body.stopSequences())
                .sampling(body.sampling())
                .session(body.sessionId(), body.previousTurnDigest(), body.turnDigest())
                .nonStreaming(true)
                // Sent only to readers with short queues, as a client's retry is, so that it does
                // not delay requests in longer queues, whose clients wait for the first token.
                .clientRetry(true)
                .idempotencyKey(idempotencyKey)
                .onPromptTokensReported(
                        tokens ->
                                executor.execute(
                                        () ->
                                                lengths.tokensReported(
                                                        model, expectedTokens, tokens)))
                .build();
    }

    /** Encodes a complete response as a message of the API. */
    public static ObjectNode toMessage(
            String id,
            String model,
            GenerationRequest generationRequest,
            int cachedTokens,
            String text,
            AnswerSummary summary) {
        int cached = Math.min(cachedTokens, generationRequest.promptTokens());
        int created =
                generationRequest.sharedPrefixId() == null
                        ? 0
                        : Math.max(0, generationRequest.sharedPrefixTokens() - cached);
        return MessageEvents.withResponse(
                MessageEvents.message(id, model, generationRequest.promptTokens(), cached, created),
                text,
                summary);
    }
}
