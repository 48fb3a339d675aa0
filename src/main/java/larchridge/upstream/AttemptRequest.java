package larchridge.upstream;

import java.util.List;

/**
 * What one attempt asks of an engine.
 *
 * @param attemptId names the attempt at the engine, also for its release
 * @param endpoint where the engine listens
 * @param state the read state to fetch, or null to read in place (or to read only)
 * @param idempotencyKey what engines drop repeats by, or null
 * @param forwardedRequest what goes on as it came, or null
 * @param sendCheck asked at the last moment before the attempt is written; a refusal keeps it from
 *     being sent
 */
public record AttemptRequest(
        String attemptId,
        Endpoint endpoint,
        String model,
        String prompt,
        int maxTokens,
        List<String> stops,
        Sampling sampling,
        StateHandle state,
        String idempotencyKey,
        ForwardedRequest forwardedRequest,
        SendCheck sendCheck) {

    /** How tokens are drawn; null leaves a figure to the engine. */
    public record Sampling(Double temperature, Double topP, Integer topK) {}
}
