package larchridge.messages;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.concurrent.Executor;
import larchridge.router.GenerationRequest;
import larchridge.site.ProductOffering;
import larchridge.site.Site;
import larchridge.tokens.TokenCounters;
import larchridge.upstream.AnswerSummary;

/**
 * Bodies of the API that come otherwise than through its door, and their answers in one piece.
 * Their prompts are always counted where there is a vocabulary: nobody waits for them. All on one
 * thread.
 */
public final class MessageBodies {
    private final MessagesReader reader;
    private final PromptLengths lengths;
    private final Executor thread;

    /** Thread: runs what engines report of lengths where all else here runs. */
    public MessageBodies(Site site, TokenCounters counters, Executor thread) {
        reader = new MessagesReader(site);
        lengths = new PromptLengths(counters);
        this.thread = thread;
    }

    /** How an offer is taken. */
    public interface Terms {
        ProductOffering of(ProductOffering offer);
    }

    /** Reads a body into what a front is asked. */
    public GenerationRequest ask(
            JsonNode json,
            double mostTemperature,
            Site.Tenant tenant,
            Terms terms,
            String repeatKey)
            throws ApiException {
        MessagesReader.Body read = reader.read(json, false, mostTemperature);
        PromptLengths.Measuring measuring =
                read.countable() == null ? null : lengths.new Measuring(read);
        int expected = -1;
        if (measuring != null) {
            measuring.finish();
            read = lengths.measured(measuring, false);
            expected = PromptLengths.expected(measuring);
        }
        int due = expected;
        String model = read.engineModel();
        return GenerationRequest.builder()
                .offering(terms.of(read.offer()), tenant)
                .model(model)
                .prompt(read.prompt(), read.promptTokens())
                .sharedPrefix(read.prefix(), read.sharedTokens())
                .limits(read.maxTokens(), read.stops())
                .sampling(read.sampling())
                .session(read.opening(), read.talkBefore(), read.talkNow())
                .nonStreaming(true)
                // Like a client's late retry it goes to readers with short queues only: others wait
                // there for their first token.
                .clientRetry(true)
                .idempotencyKey(repeatKey)
                .onPromptTokensReported(
                        tokens -> thread.execute(() -> lengths.reported(model, due, tokens)))
                .build();
    }

    /** A whole answer as the API words it. */
    public static ObjectNode message(
            String id,
            String model,
            GenerationRequest ask,
            int keptTokens,
            String text,
            AnswerSummary ending) {
        int kept = Math.min(keptTokens, ask.promptTokens());
        int created =
                ask.sharedPrefixId() == null ? 0 : Math.max(0, ask.sharedPrefixTokens() - kept);
        return MessageEvents.whole(
                MessageEvents.message(id, model, ask.promptTokens(), kept, created), text, ending);
    }
}
