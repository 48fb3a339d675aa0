package larchridge.router;

import java.util.Locale;
import larchridge.state.Attempt;
import larchridge.state.Effect;
import larchridge.upstream.AttemptListener;
import larchridge.upstream.AttemptRequest;
import larchridge.upstream.Endpoint;
import larchridge.upstream.UpstreamClient;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Sends the attempts that the routing policy requests, and counts retries by reason. */
final class AttemptSender {
    private static final Logger LOG = LoggerFactory.getLogger(AttemptSender.class);

    /** Reason of an attempt that is the first of its stage. */
    private static final String FIRST_ATTEMPT = "first";

    /** Reason of an attempt that is sent while another of its stage is still in flight. */
    private static final String HEDGED = "beside";

    /** Reason of an attempt that follows one whose state was lost. */
    private static final String STATE_LOST = "state_lost";

    private final RequestServices services;
    private final RouterContext context;
    private final EndpointTable endpoints;
    private final boolean hedgingAllowed;

    AttemptSender(RequestServices services, EndpointTable endpoints, boolean hedgingAllowed) {
        this.services = services;
        this.context = services.context();
        this.endpoints = endpoints;
        this.hedgingAllowed = hedgingAllowed;
    }

    void send(Attempt policyAttempt) {
        InFlightRequest request = context.requests.get(policyAttempt.generation);
        Endpoint endpoint = endpoints.endpointOf(policyAttempt.engine);
        InFlightAttempt attempt =
                new InFlightAttempt(
                        policyAttempt,
                        endpoint,
                        policyAttempt.generation.id + "." + policyAttempt.number,
                        stateSourceOf(request, policyAttempt));
        request.addAttempt(attempt);
        AttemptRequest attemptRequest = attemptRequest(request, attempt);
        AttemptListener listener = new AttemptEventHandler(services, request, attempt);
        logAndCountSend(request, attempt);
        UpstreamClient upstream = context.upstream;
        attempt.setHandle(
                attempt.isRead()
                        ? upstream.read(attemptRequest, listener)
                        : upstream.write(attemptRequest, listener));
        if (request.isPaused()) {
            attempt.handle().pause();
        }
    }

    /** The read whose state the attempt is to fetch, or null. */
    private static InFlightAttempt stateSourceOf(InFlightRequest request, Attempt policyAttempt) {
        Attempt read = policyAttempt.generation.readWithHeldState();
        return policyAttempt.readsOnly || read == null ? null : request.attemptOf(read);
    }

    private AttemptRequest attemptRequest(InFlightRequest request, InFlightAttempt attempt) {
        GenerationRequest generationRequest = request.generationRequest();
        return new AttemptRequest(
                attempt.attemptId(),
                attempt.endpoint(),
                generationRequest.model(),
                generationRequest.prompt(),
                generationRequest.maxTokens(),
                generationRequest.stopSequences(),
                generationRequest.sampling(),
                attempt.stateSource() == null ? null : attempt.stateSource().state(),
                deduplicationKey(request),
                generationRequest.forwardedRequest(),
                new SendGuard(attempt.policyAttempt(), request, context.scheduler, hedgingAllowed));
    }

    /**
     * The key by which engines detect duplicates: the client's own key, or the generation's id if
     * the client sent none; null if engines do not detect duplicates.
     */
    private static String deduplicationKey(InFlightRequest request) {
        if (request.generation().trafficClass.effect != Effect.DEDUPLICATED) {
            return null;
        }
        String idempotencyKey = request.generationRequest().idempotencyKey();
        return idempotencyKey != null ? idempotencyKey : request.id();
    }

    /** Logs the send of an attempt, and counts it by reason if it is a retry within its stage. */
    private void logAndCountSend(InFlightRequest request, InFlightAttempt attempt) {
        InFlightAttempt previous = null;
        for (InFlightAttempt earlier : request.attempts()) {
            if (earlier != attempt && earlier.isRead() == attempt.isRead()) {
                previous = earlier;
            }
        }
        String reason = sendReason(previous);
        if (previous != null) {
            context.metrics.retried(context.routerNumber, attempt.stage(), reason);
        }
        LOG.atDebug()
                .addKeyValue("generation", request.id())
                .addKeyValue("attempt", attempt.policyAttempt().number)
                .addKeyValue("engine", attempt.policyAttempt().engine.id)
                .addKeyValue("stage", attempt.stage())
                .addKeyValue("reason", reason)
                .log("SENT");
    }

    /**
     * The reason for sending an attempt: how the previous attempt of its stage ended, or that it is
     * in flight; {@code previous} may be null.
     */
    private static String sendReason(InFlightAttempt previous) {
        if (previous == null) {
            return FIRST_ATTEMPT;
        }
        Attempt policyAttempt = previous.policyAttempt();
        if (policyAttempt.isInFlight()) {
            return HEDGED;
        }
        return policyAttempt.outcome() == null
                ? STATE_LOST
                : policyAttempt.outcome().name().toLowerCase(Locale.ROOT);
    }
}
