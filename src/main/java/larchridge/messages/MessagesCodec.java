package larchridge.messages;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.concurrent.Executor;
import larchridge.router.GenerationRequest;
import larchridge.site.ProductOffering;
import larchridge.site.Site;
import larchridge.tokens.TokenCounters;
import larchridge.upstream.Completion;

/**
 * Bodies of the API that come otherwise than through its door, and their answers in one piece.
 * Their prompts are always counted where there is a vocabulary: nobody waits for them. All on one
 * thread.
 */
public final class MessagesCodec {
    private final MessagesReader reader;
    private final PromptLengths lengths;
    private final Executor executor;

    /** Thread: runs what engines report of lengths where all else here runs. */
    public MessagesCodec(Site site, TokenCounters counters, Executor executor) {
        reader = new MessagesReader(site);
        lengths = new PromptLengths(counters);
        this.executor = executor;
    }

    /** How an offer is taken. */
    public interface OfferingAdapter {
        ProductOffering adapt(ProductOffering offering);
    }

    /** Reads a body into what a front is asked. */
    public GenerationRequest toGenerationRequest(
            JsonNode json,
            double maxTemperature,
            Site.Tenant tenant,
            OfferingAdapter adapter,
            String idempotencyKey)
            throws ApiException {
        MessagesReader.Body body = reader.read(json, false, maxTemperature);
        PromptLengths.Measurement measurement =
                body.countInput() == null ? null : lengths.new Measurement(body);
        int countedTokens = -1;
        if (measurement != null) {
            measurement.finish();
            body = lengths.withLengths(measurement, false);
            countedTokens = PromptLengths.expectedEngineTokens(measurement);
        }
        int expectedTokens = countedTokens;
        String model = body.engineModel();
        return GenerationRequest.builder()
                .product(adapter.adapt(body.offering()), tenant)
                .model(model)
                .prompt(body.prompt(), body.promptTokens())
                .sharedPrefix(body.sharedPrefixId(), body.sharedPrefixTokens())
                .limits(body.maxTokens(), body.stopSequences())
                .sampling(body.sampling())
                .session(body.sessionId(), body.previousTurnDigest(), body.turnDigest())
                .nonStreaming(true)
                // Like a client's late retry it goes to readers with short queues only: others wait
                // there for their first token.
                .clientRetry(true)
                .idempotencyKey(idempotencyKey)
                .onPromptTokensReported(
                        tokens -> executor.execute(() -> lengths.tokensReported(model, expectedTokens, tokens)))
                .build();
    }

    /** A whole answer as the API words it. */
    public static ObjectNode toMessage(
            String id,
            String model,
            GenerationRequest generationRequest,
            int cachedTokens,
            String text,
            Completion completion) {
        int cached = Math.min(cachedTokens, generationRequest.promptTokens());
        int created =
                generationRequest.sharedPrefixId() == null ? 0 : Math.max(0, generationRequest.sharedPrefixTokens() - cached);
        return MessageEvents.withResponse(
                MessageEvents.message(id, model, generationRequest.promptTokens(), cached, created), text, completion);
    }
}
