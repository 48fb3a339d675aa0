package larchridge.router;

import larchridge.state.AttemptOutcome;
import larchridge.state.LoadReport;
import larchridge.upstream.AnswerSummary;
import larchridge.upstream.AttemptListener;
import larchridge.upstream.SendRejection;
import larchridge.upstream.StateHandle;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Handles the events of one attempt: passes its response on to the client, meters its usage and
 * notifies the routing policy.
 */
final class AttemptEventHandler implements AttemptListener {
    private static final Logger LOG = LoggerFactory.getLogger(AttemptEventHandler.class);

    private final RequestServices services;
    private final InFlightRequest request;
    private final InFlightAttempt attempt;

    AttemptEventHandler(
            RequestServices services, InFlightRequest request, InFlightAttempt attempt) {
        this.services = services;
        this.request = request;
        this.attempt = attempt;
    }

    @Override
    public void readCompleted(
            StateHandle state, int cachedTokens, int promptTokens, LoadReport report) {
        RouterContext context = services.context();
        context.updateClock();
        attempt.readCompleted(state, request.usageMeter().promptRead(promptTokens), cachedTokens);
        request.generationRequest().onPromptTokensReported().accept(promptTokens);
        context.metrics.attemptEnded(context.routerNumber, attempt.stage(), "READ");
        logEvent("READ");
        services.policy().readCompleted(request, attempt, report);
        services.closer().closeIfFinished(request);
    }

    @Override
    public void responseStarted() {
        RouterContext context = services.context();
        context.updateClock();
        if (!request.responseGuard().start()) {
            return;
        }
        double nowMs = context.nowMs();
        request.startStreaming(attempt, nowMs);
        logEvent("BEGUN");
        context.metrics.firstTokenReceived(
                context.routerNumber,
                request.generation().trafficClass.name,
                request.elapsedMs(nowMs));
        context.latencyTracker.responseStarted(request, nowMs);
        meterPrompt();
        services.policy().responseStarted(request, attempt);
        services.readStateReleaser().releaseUnclaimed(request.generation());
        services.timeouts().watchStreamIdle(request);
        if (!request.responseGuard().isFinished()) {
            InFlightAttempt stateSource = attempt.stateSource();
            request.responseSink()
                    .responseStarted(stateSource == null ? 0 : stateSource.cachedTokens());
        }
    }

    private void meterPrompt() {
        InFlightAttempt stateSource = attempt.stateSource();
        if (stateSource == null) {
            request.usageMeter()
                    .responseStartedAtReadingEngine(request.generationRequest().promptTokens());
        } else {
            // The state was fetched, so the reader no longer holds it.
            stateSource.markStateRemoved();
            request.usageMeter()
                    .responseStartedFromRead(
                            stateSource.meteredReadTokens(), stateSource.cachedTokens());
        }
    }

    @Override
    public void textReceived(String text) {
        RouterContext context = services.context();
        if (request.streamsFrom(attempt)) {
            context.updateClock();
            request.chunkReceived(context.nowMs());
            context.metrics.textChunkReceived();
            if (request.responseSink().textReceived(text)) {
                request.usageMeter().chunkSent();
            }
        }
    }

    @Override
    public void eventsReceived(byte[] events) {
        RouterContext context = services.context();
        if (request.streamsFrom(attempt)) {
            context.updateClock();
            request.chunkReceived(context.nowMs());
            request.responseSink().eventsReceived(events);
        }
    }

    @Override
    public void socketReadCompleted() {
        if (request.streamsFrom(attempt)) {
            request.responseSink().flush();
        }
    }

    @Override
    public void stateReleaseStarted() {
        services.context().updateClock();
        logEvent("STATE_RELEASED");
        services.policy().stateReleased(request, attempt);
    }

    @Override
    public void notSent(SendRejection reason) {
        RouterContext context = services.context();
        context.metrics.attemptNotSent(context.routerNumber, reason.tag());
        LOG.atDebug()
                .addKeyValue("generation", request.id())
                .addKeyValue("attempt", attempt.policyAttempt().number)
                .addKeyValue("reason", reason)
                .log("attempt not sent");
    }

    @Override
    public void requestUnprocessable() {
        services.context().updateClock();
        // Guards against: retrying the request would use up its attempts and make every engine that
        // correctly rejects it appear unhealthy.
        attempt.markEnded();
        services.closer().failAndAbandon(request, ResponseSink.FailureCause.UNUSABLE_ANSWER);
    }

    @Override
    public void attemptEnded(AttemptOutcome outcome, LoadReport report, AnswerSummary completion) {
        RouterContext context = services.context();
        context.updateClock();
        attempt.markEnded();
        context.metrics.attemptEnded(context.routerNumber, attempt.stage(), outcome.name());
        if (attempt.mayHoldState()) {
            dropOrReleaseState(outcome);
        }
        if (request.streamingAttempt() == attempt) {
            streamEnded(outcome, completion);
        }
        LOG.atDebug()
                .addKeyValue("generation", request.id())
                .addKeyValue("attempt", attempt.policyAttempt().number)
                .addKeyValue("engine", attempt.policyAttempt().engine.id)
                .log(outcome.name());
        services.policy().attemptEnded(request, attempt, outcome, report);
        services.closer().closeIfFinished(request);
    }

    private void dropOrReleaseState(AttemptOutcome outcome) {
        if (outcome.provesNotRun) {
            attempt.markStateRemoved();
        } else {
            // Guards against: the engine may hold the state even though its response did not
            // arrive.
            services.readStateReleaser().release(attempt);
        }
    }

    private void streamEnded(AttemptOutcome outcome, AnswerSummary completion) {
        boolean completed =
                outcome == AttemptOutcome.STREAMED
                        && services.finalResponses().complete(request, completion);
        if (!completed) {
            // A broken stream cannot be resumed: the client has already received part of it, so no
            // other attempt can continue it.
            services.finalResponses().fail(request, ResponseSink.FailureCause.UPSTREAM_FAILED);
        }
    }

    private void logEvent(String event) {
        LOG.atDebug()
                .addKeyValue("generation", request.id())
                .addKeyValue("attempt", attempt.policyAttempt().number)
                .addKeyValue("engine", attempt.policyAttempt().engine.id)
                .addKeyValue("prompt_tokens", request.generation().promptTokens)
                .addKeyValue("cached_tokens", attempt.cachedTokens())
                .addKeyValue("sent", Math.round(request.elapsedMs(attempt.policyAttempt().sentMs)))
                .addKeyValue("ms", Math.round(request.elapsedMs(services.context().nowMs())))
                .log(event);
    }
}
