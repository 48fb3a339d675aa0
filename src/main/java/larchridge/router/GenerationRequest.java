package larchridge.router;

import java.util.List;
import java.util.function.IntConsumer;
import larchridge.site.ProductOffering;
import larchridge.site.Site;
import larchridge.upstream.AttemptRequest;
import larchridge.upstream.ForwardedRequest;

/**
 * A generation as a server has read it from its client.
 *
 * @param offering the product that the client asks for
 * @param tenant whose budget and bill it is
 * @param model the model's name for the engines
 * @param prompt the prompt as engines take it
 * @param promptTokens how many tokens it has
 * @param sharedPrefixTokens how many tokens the shared prefix has
 * @param maxTokens how many tokens the answer has at most
 * @param stopSequences texts that end the answer
 * @param sampling how tokens are drawn
 * @param sharedPrefixId digest of the prefix that other sessions share, or null
 * @param sessionId digest of the session's first turn: the same at every router for all of a
 *     session's turns
 * @param previousTurnDigest digest of the prompt of the session's previous turn, or null for a
 *     first turn
 * @param turnDigest digest of this prompt, by which the next turn finds its session
 * @param nonStreaming whether the client takes the answer in one piece
 * @param clientRetry whether the client has sent it before
 * @param clientTimeoutMs how long the client waits, or infinity if it does not say
 * @param idempotencyKey the client's key for its retries, or null
 * @param queuedMs how long its body has waited to be read and counted
 * @param onPromptTokensReported receives on the router's loop the prompt's length as an engine
 *     reports it
 * @param forwardedRequest what is forwarded to engines as it came, or null where the upstream
 *     client encodes its own requests; a forwarded generation has the client's id
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
        double queuedMs,
        IntConsumer onPromptTokensReported,
        ForwardedRequest forwardedRequest) {

    /**
     * For a request that is forwarded as it came.
     *
     * @param sharedPrefixId the client's own name for the shared prefix, or null
     * @param sessionId the client's own name for the session, or null
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
            double queuedMs) {
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
                sessionId,
                false,
                clientRetry,
                clientTimeoutMs,
                null,
                queuedMs,
                tokens -> {},
                forwardedRequest);
    }

    /** A builder of a generation that the upstream client encodes for the engines. */
    public static Builder builder() {
        return new Builder();
    }

    /** Collects what a server reads of a generation; what may be absent has a default. */
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
        private double queuedMs;
        private IntConsumer onPromptTokensReported = tokens -> {};

        private Builder() {}

        /** The product that the client asks for, and the tenant that pays for it. */
        public Builder product(ProductOffering newOffering, Site.Tenant newTenant) {
            offering = newOffering;
            tenant = newTenant;
            return this;
        }

        /** The model's name for the engines. */
        public Builder model(String newModel) {
            model = newModel;
            return this;
        }

        /** The prompt as engines take it, and how many tokens it has. */
        public Builder prompt(String newPrompt, int newPromptTokens) {
            prompt = newPrompt;
            promptTokens = newPromptTokens;
            return this;
        }

        /** The prefix that other sessions share, null for none, and how many tokens it has. */
        public Builder sharedPrefix(String newSharedPrefixId, int newSharedPrefixTokens) {
            sharedPrefixId = newSharedPrefixId;
            sharedPrefixTokens = newSharedPrefixTokens;
            return this;
        }

        /** How long the answer may be, and which texts end it. */
        public Builder limits(int newMaxTokens, List<String> newStopSequences) {
            maxTokens = newMaxTokens;
            stopSequences = newStopSequences;
            return this;
        }

        /** How tokens are drawn. */
        public Builder sampling(AttemptRequest.Sampling newSampling) {
            sampling = newSampling;
            return this;
        }

        /** The session, its previous turn, null for none, and this turn. */
        public Builder session(
                String newSessionId, String newPreviousTurnDigest, String newTurnDigest) {
            sessionId = newSessionId;
            previousTurnDigest = newPreviousTurnDigest;
            turnDigest = newTurnDigest;
            return this;
        }

        /** Whether the client takes the answer in one piece. */
        public Builder nonStreaming(boolean newNonStreaming) {
            nonStreaming = newNonStreaming;
            return this;
        }

        /** Whether the client has sent it before. */
        public Builder clientRetry(boolean newClientRetry) {
            clientRetry = newClientRetry;
            return this;
        }

        /** How long the client waits; without a limit unless set. */
        public Builder clientTimeoutMs(double newClientTimeoutMs) {
            clientTimeoutMs = newClientTimeoutMs;
            return this;
        }

        /** The client's key for its retries, or null. */
        public Builder idempotencyKey(String newIdempotencyKey) {
            idempotencyKey = newIdempotencyKey;
            return this;
        }

        /** How long its body has waited to be read and counted. */
        public Builder queuedMs(double newQueuedMs) {
            queuedMs = newQueuedMs;
            return this;
        }

        /** Receives the prompt's length as an engine reports it. */
        public Builder onPromptTokensReported(IntConsumer listener) {
            onPromptTokensReported = listener;
            return this;
        }

        /** The generation with all that was set. */
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
                    queuedMs,
                    onPromptTokensReported,
                    null);
        }
    }
}
