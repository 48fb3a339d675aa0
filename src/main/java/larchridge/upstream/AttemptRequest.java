package larchridge.upstream;

import java.util.List;

/**
 * What one attempt asks of an engine.
 *
 * @param rid names the attempt at the engine, also for its release
 * @param spot where the engine listens
 * @param state the read state to fetch, or null to read in place (or to read only)
 * @param repeatKey what engines drop repeats by, or null
 * @param passage what goes on as it came, or null
 * @param check asked at the last moment before the attempt is written; a refusal keeps it from
 *     being sent
 */
public record AttemptRequest(
        String rid,
        Endpoint spot,
        String model,
        String prompt,
        int maxToks,
        List<String> stops,
        Sampling sampling,
        StateHandle state,
        String repeatKey,
        ForwardedRequest passage,
        SendCheck check) {

    /** How tokens are drawn; null leaves a figure to the engine. */
    public record Sampling(Double temperature, Double topP, Integer topK) {}
}
