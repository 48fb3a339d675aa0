package larchridge.upstream;

import java.util.List;

/**
 * What one attempt requests of an engine.
 *
 * @param attemptId identifies the attempt at the engine, also for the release of its state
 * @param endpoint where the engine listens
 * @param model the model's name as the engine knows it
 * @param prompt the prompt's text
 * @param maxTokens the most tokens that may be written
 * @param stopSequences texts that end the answer
 * @param sampling how tokens are sampled
 * @param state the read state to fetch, or null to read in place (or to read only)
 * @param idempotencyKey the key by which engines drop duplicates, or null
 * @param forwardedRequest the client's request where it is forwarded unchanged, or null
 * @param sendCheck consulted at the last moment before the attempt is written
 */
public record AttemptRequest(
        String attemptId,
        Endpoint endpoint,
        String model,
        String prompt,
        int maxTokens,
        List<String> stopSequences,
        Sampling sampling,
        StateHandle state,
        String idempotencyKey,
        ForwardedRequest forwardedRequest,
        SendCheck sendCheck) {

    /**
     * How tokens are sampled; null leaves a parameter to the engine's default.
     *
     * @param temperature the sampling temperature
     * @param topP the probability mass to sample from
     * @param topK the number of candidates to sample from
     */
    public record Sampling(Double temperature, Double topP, Integer topK) {}
}
