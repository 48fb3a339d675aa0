package larchridge.upstream;

import java.util.List;

/**
 * The request of one attempt to an engine.
 *
 * @param attemptId identifies the attempt at the engine, also when its state is released
 * @param endpoint the engine's address
 * @param model the model name at the engine
 * @param prompt the prompt text
 * @param maxTokens the maximum number of output tokens
 * @param stopSequences texts that end the answer
 * @param sampling sampling parameters
 * @param state the read state to fetch; null if the engine reads the prompt itself
 * @param idempotencyKey the key by which engines detect duplicates, or null
 * @param forwardedRequest the client's request if it is forwarded unchanged, or null
 * @param sendCheck called immediately before the attempt is written
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
     * Sampling parameters; the engine's default applies to those that are null.
     *
     * @param temperature the sampling temperature
     * @param topP the cumulative probability of the candidates to sample from
     * @param topK the number of most probable candidates to sample from
     */
    public record Sampling(Double temperature, Double topP, Integer topK) {}
}
