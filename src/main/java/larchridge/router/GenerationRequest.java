package larchridge.router;

import java.util.List;
import java.util.function.IntConsumer;
import larchridge.site.ProductOffering;
import larchridge.site.Site;
import larchridge.upstream.AttemptRequest;
import larchridge.upstream.ForwardedRequest;

/**
 * A generation request as a server has read it from its client.
 *
 * @param offering the product that the client requests
 * @param tenant the tenant that is billed
 * @param model the model's name for the engines
 * @param prompt the prompt in the form that engines accept
 * @param promptTokens length of the prompt in tokens
 * @param sharedPrefixTokens length of the shared prefix in tokens
 * @param maxTokens maximum length of the response in tokens
 * @param stopSequences texts that end the response
 * @param sampling sampling parameters
 * @param sharedPrefixId id of the prefix that is shared with other sessions, or null: its digest,
 *     or the client's own name if the request is forwarded
 * @param sessionId id of the session, the same at every router for all its turns: the digest of its
 *     first turn, or the client's own name if the request is forwarded
 * @param previousTurnDigest digest of the prompt of the session's previous turn, or null for a
 *     first turn
 * @param turnDigest digest of this prompt, by which the next turn finds its session; the session's
 *     id if the request is forwarded
 * @param nonStreaming whether the client receives the response as a whole
 * @param clientRetry whether the client has sent the request before
 * @param clientTimeoutMs how long the client waits, or infinity if unknown
 * @param idempotencyKey the client's key for its retries, or null
 * @param sinceArrivalMs time since the request's arrival at the server, spent on receiving its body
 *     or counting its tokens
 * @param onPromptTokensReported called on the router's loop with the prompt length that an engine
 *     reports, or a value of at most 0 if it reports none
 * @param forwardedRequest the request that is forwarded to engines unchanged, or null if the
 *     upstream client encodes its own requests; a forwarded generation has the client's id
 */
public record GenerationRequest(
        ProductOffering offering,
        Site.Tenant tenant,
        String model,
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
        boolean nonStreaming,
        boolean clientRetry,
        double clientTimeoutMs,
        String idempotencyKey,
        double sinceArrivalMs,
        IntConsumer onPromptTokensReported,
        ForwardedRequest forwardedRequest) {

    /**
     * Creates a request that is forwarded to engines unchanged.
     *
     * @param sharedPrefixId the client's own name for the shared prefix, or null
     * @param sessionId the client's own name for the session; the request's id if it has none
     */
    public static GenerationRequest forwarding(
            ProductOffering offering,
            Site.Tenant tenant,
            ForwardedRequest forwardedRequest,
            int promptTokens,
            int sharedPrefixTokens,
            int maxTokens,
            String sharedPrefixId,
            String sessionId,
            boolean clientRetry,
            double clientTimeoutMs,
            double sinceArrivalMs) {
        return new GenerationRequest(
                offering,
                tenant,
                "",
                "",
                promptTokens,
                sharedPrefixTokens,
                maxTokens,
                List.of(),
                null,
                sharedPrefixId,
                sessionId,
                null,
                // The turn digest: every turn finds its session by the session's id.
                sessionId,
                false,
                clientRetry,
                clientTimeoutMs,
                null,
                sinceArrivalMs,
                tokens -> {},
                forwardedRequest);
    }

    /** Returns a builder of a generation that the upstream client encodes for the engines. */
    public static Builder builder() {
        return new Builder();
    }

    /** Builds a generation request; optional values have defaults. */
    public static final class Builder {
        private ProductOffering offering;
        private Site.Tenant tenant;
        private String model;
        private String prompt;
        private int promptTokens;
        private int sharedPrefixTokens;
        private int maxTokens;
        private List<String> stopSequences = List.of();
        private AttemptRequest.Sampling sampling;
        private String sharedPrefixId;
        private String sessionId;
        private String previousTurnDigest;
        private String turnDigest;
        private boolean nonStreaming;
        private boolean clientRetry;
        private double clientTimeoutMs = Double.POSITIVE_INFINITY;
        private String idempotencyKey;
        private double sinceArrivalMs;
        private IntConsumer onPromptTokensReported = tokens -> {};

        private Builder() {}

        /** Sets the product that the client requests and the tenant that pays for it. */
        public Builder offering(ProductOffering newOffering, Site.Tenant newTenant) {
            offering = newOffering;
            tenant = newTenant;
            return this;
        }

        /** Sets the model's name for the engines. */
        public Builder model(String newModel) {
            model = newModel;
            return this;
        }

        /** Sets the prompt in the form that engines accept, and its length in tokens. */
        public Builder prompt(String newPrompt, int newPromptTokens) {
            prompt = newPrompt;
            promptTokens = newPromptTokens;
            return this;
        }

        /**
         * Sets the prefix that is shared with other sessions, or null, and its length in tokens.
         */
        public Builder sharedPrefix(String newSharedPrefixId, int newSharedPrefixTokens) {
            sharedPrefixId = newSharedPrefixId;
            sharedPrefixTokens = newSharedPrefixTokens;
            return this;
        }

        /** Sets the maximum length of the response and the texts that end it. */
        public Builder limits(int newMaxTokens, List<String> newStopSequences) {
            maxTokens = newMaxTokens;
            stopSequences = newStopSequences;
            return this;
        }

        /** Sets the sampling parameters. */
        public Builder sampling(AttemptRequest.Sampling newSampling) {
            sampling = newSampling;
            return this;
        }

        /** Sets the session, its previous turn, or null for a first turn, and this turn. */
        public Builder session(
                String newSessionId, String newPreviousTurnDigest, String newTurnDigest) {
            sessionId = newSessionId;
            previousTurnDigest = newPreviousTurnDigest;
            turnDigest = newTurnDigest;
            return this;
        }

        /** Sets whether the client receives the response as a whole. */
        public Builder nonStreaming(boolean newNonStreaming) {
            nonStreaming = newNonStreaming;
            return this;
        }

        /** Sets whether the client has sent the request before. */
        public Builder clientRetry(boolean newClientRetry) {
            clientRetry = newClientRetry;
            return this;
        }

        /** Sets how long the client waits; unlimited by default. */
        public Builder clientTimeoutMs(double newClientTimeoutMs) {
            clientTimeoutMs = newClientTimeoutMs;
            return this;
        }

        /** Sets the client's key for its retries, or null. */
        public Builder idempotencyKey(String newIdempotencyKey) {
            idempotencyKey = newIdempotencyKey;
            return this;
        }

        /** Sets the time since the request's arrival at the server; 0 by default. */
        public Builder sinceArrivalMs(double newSinceArrivalMs) {
            sinceArrivalMs = newSinceArrivalMs;
            return this;
        }

        /**
         * Sets the listener for the prompt length that an engine reports; it gets a value of at
         * most 0 if the engine reports none.
         */
        public Builder onPromptTokensReported(IntConsumer listener) {
            onPromptTokensReported = listener;
            return this;
        }

        /** Builds the request. */
        public GenerationRequest build() {
            return new GenerationRequest(
                    offering,
                    tenant,
                    model,
                    prompt,
                    promptTokens,
                    sharedPrefixTokens,
                    maxTokens,
                    stopSequences,
                    sampling,
                    sharedPrefixId,
                    sessionId,
                    previousTurnDigest,
                    turnDigest,
                    nonStreaming,
                    clientRetry,
                    clientTimeoutMs,
                    idempotencyKey,
                    sinceArrivalMs,
                    onPromptTokensReported,
                    null);
        }
    }
}
