package larchridge.router;

import java.util.List;
import java.util.function.IntConsumer;
import larchridge.site.ProductOffering;
import larchridge.site.Site;
import larchridge.upstream.AttemptRequest;
import larchridge.upstream.ForwardedRequest;

/**
 * What a dialect has read from its client.
 *
 * @param model the model's name for the engines
 * @param sharedTokens tokens of the beginning that the prefix names
 * @param sharedPrefixId digest of the beginning that other sessions share, or null
 * @param sessionId digest of the session's first turn: the same at every front for all of a
 *     session's turns
 * @param previousTurnDigest digest of the prompt of the session's turn before, or null for a first
 *     turn
 * @param turnDigest digest of this prompt, under which the next turn will find it
 * @param unstreamed whether the client takes the answer in one piece
 * @param clientTimeoutMs how long the client waits, or infinity if it does not tell
 * @param idempotencyKey the client's key of a deduplicated generation, or null
 * @param queuedMs how long its body has waited to be read and counted
 * @param promptTokensReported told on the front's loop what an engine reports of the prompt's
 *     length
 * @param forwardedRequest what goes on to engines as it came, or null where the link words its own
 *     requests; the generation then bears the client's id
 */
public record GenerationRequest(
        ProductOffering offering,
        Site.Tenant tenant,
        String model,
        String prompt,
        int promptTokens,
        int sharedTokens,
        int maxTokens,
        List<String> stops,
        AttemptRequest.Sampling sampling,
        String sharedPrefixId,
        String sessionId,
        String previousTurnDigest,
        String turnDigest,
        boolean unstreamed,
        boolean clientRetry,
        double clientTimeoutMs,
        String idempotencyKey,
        double queuedMs,
        IntConsumer promptTokensReported,
        ForwardedRequest forwardedRequest) {

    /**
     * Of a request that goes on as it came; a session and a prefix by the client's own names,
     * either may be null.
     */
    public static GenerationRequest forwarding(
            ProductOffering offer,
            Site.Tenant tenant,
            ForwardedRequest passage,
            int promptTokens,
            int sharedTokens,
            int maxTokens,
            String prefix,
            String session,
            boolean resent,
            double patienceMs,
            double waitedMs) {
        return new GenerationRequest(
                offer,
                tenant,
                "",
                "",
                promptTokens,
                sharedTokens,
                maxTokens,
                List.of(),
                null,
                prefix,
                session,
                null,
                session,
                false,
                resent,
                patienceMs,
                null,
                waitedMs,
                tokens -> {},
                passage);
    }
}
