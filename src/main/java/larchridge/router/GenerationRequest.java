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
 * @param sharedToks tokens of the beginning that the prefix names
 * @param prefix digest of the beginning that other sessions share, or null
 * @param opening digest of the session's first turn: the same at every front for all of a session's
 *     turns
 * @param talkBefore digest of the prompt of the session's turn before, or null for a first turn
 * @param talkNow digest of this prompt, under which the next turn will find it
 * @param whole whether the client takes the answer in one piece
 * @param patienceMs how long the client waits, or infinity if it does not tell
 * @param repeatKey the client's key of a deduplicated generation, or null
 * @param waitedMs how long its body has waited to be read and counted
 * @param reported told on the front's loop what an engine reports of the prompt's length
 * @param passage what goes on to engines as it came, or null where the link words its own requests;
 *     the generation then bears the client's id
 */
public record GenerationRequest(
        ProductOffering offer,
        Site.Tenant tenant,
        String model,
        String prompt,
        int promptToks,
        int sharedToks,
        int maxToks,
        List<String> stops,
        AttemptRequest.Sampling sampling,
        String prefix,
        String opening,
        String talkBefore,
        String talkNow,
        boolean whole,
        boolean resent,
        double patienceMs,
        String repeatKey,
        double waitedMs,
        IntConsumer reported,
        ForwardedRequest passage) {

    /**
     * Of a request that goes on as it came; a session and a prefix by the client's own names,
     * either may be null.
     */
    public static GenerationRequest passing(
            ProductOffering offer,
            Site.Tenant tenant,
            ForwardedRequest passage,
            int promptToks,
            int sharedToks,
            int maxToks,
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
                promptToks,
                sharedToks,
                maxToks,
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
                toks -> {},
                passage);
    }
}
