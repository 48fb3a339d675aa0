package larchridge.router;

import larchridge.state.AttemptOutcome;
import larchridge.state.LoadReport;
import larchridge.upstream.AttemptListener;
import larchridge.upstream.Completion;
import larchridge.upstream.SendRejection;
import larchridge.upstream.StateHandle;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Handles the events of one attempt: passes its answer on to the client, meters it, and notifies
 * the policy.
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
        request.generationRequest().promptTokensReported().accept(promptTokens);
        context.metrics.attemptEnded(context.routerNumber, attempt.stage(), "READ");
        logStep("READ");
        services.policy().readCompleted(request, attempt, report);
        services.closer().closeIfOver(request);
    }

    @Override
    public void responseStarted() {
        RouterContext context = services.context();
        context.updateClock();
        if (!request.responseGuard().begin()) {
            return;
        }
        double nowMs = context.nowMs();
        request.startStreaming(attempt, nowMs);
        logStep("BEGUN");
        context.metrics.firstToken(
                context.routerNumber,
                request.generation().trafficClass.name,
                request.elapsedMs(nowMs));
        context.latency.responseStarted(request, nowMs);
        meterPrompt();
        services.policy().responseStarted(request, attempt);
        services.readStates().releaseUnclaimed(request.generation());
        services.timeouts().watchStream(request);
        if (!request.responseGuard().isDone()) {
            InFlightAttempt source = attempt.source();
            request.responseSink().responseStarted(source == null ? 0 : source.cachedTokens());
        }
    }

    private void meterPrompt() {
        InFlightAttempt source = attempt.source();
        if (source == null) {
            request.usageMeter().responseStartedInPlace(request.generationRequest().promptTokens());
        } else {
            // The state has been fetched: nothing of it is left at its reader.
            source.stateRemoved();
            request.usageMeter()
                    .responseStartedFromRead(source.readTokens(), source.cachedTokens());
        }
    }

    @Override
    public void textReceived(String text) {
        RouterContext context = services.context();
        if (request.streamsFrom(attempt)) {
            context.updateClock();
            request.pieceReceived(context.nowMs());
            context.metrics.pieceReceived();
            if (request.responseSink().textReceived(text)) {
                request.usageMeter().pieceSent();
            }
        }
    }

    @Override
    public void eventsReceived(byte[] events) {
        RouterContext context = services.context();
        if (request.streamsFrom(attempt)) {
            context.updateClock();
            request.pieceReceived(context.nowMs());
            request.responseSink().eventsReceived(events);
        }
    }

    @Override
    public void batchCompleted() {
        if (request.streamsFrom(attempt)) {
            request.responseSink().flush();
        }
    }

    @Override
    public void stateReleased() {
        services.context().updateClock();
        logStep("STATE_RELEASED");
        services.policy().stateReleased(request, attempt);
    }

    @Override
    public void notSent(SendRejection reason) {
        RouterContext context = services.context();
        context.metrics.notSent(context.routerNumber, reason.tag());
        LOG.atDebug()
                .addKeyValue("generation", request.id())
                .addKeyValue("attempt", attempt.policyAttempt().number)
                .addKeyValue("reason", reason)
                .log("not sent");
    }

    @Override
    public void requestUnprocessable() {
        services.context().updateClock();
        // Guards against: retried, the request would use up its attempts and make every engine that
        // rightly rejects it look unhealthy.
        attempt.end();
        services.closer().failAndAbandon(request, ResponseSink.FailureCause.UNUSABLE_ANSWER);
    }

    @Override
    public void attemptEnded(AttemptOutcome outcome, LoadReport report, Completion completion) {
        RouterContext context = services.context();
        context.updateClock();
        attempt.end();
        context.metrics.attemptEnded(context.routerNumber, attempt.stage(), outcome.name());
        if (attempt.holdsState()) {
            removeState(outcome);
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
        services.closer().closeIfOver(request);
    }

    private void removeState(AttemptOutcome outcome) {
        if (outcome.provesNotRun) {
            attempt.stateRemoved();
        } else {
            // Guards against: its state may be held there though its answer did not come.
            services.readStates().release(attempt);
        }
    }

    private void streamEnded(AttemptOutcome outcome, Completion completion) {
        boolean completed =
                outcome == AttemptOutcome.STREAMED
                        && services.finalAnswers().complete(request, completion);
        if (!completed) {
            // A stream that breaks is lost: the client has seen part of it, so no other attempt can
            // continue it.
            services.finalAnswers().fail(request, ResponseSink.FailureCause.UPSTREAM_FAILED);
        }
    }

    private void logStep(String step) {
        LOG.atDebug()
                .addKeyValue("generation", request.id())
                .addKeyValue("attempt", attempt.policyAttempt().number)
                .addKeyValue("engine", attempt.policyAttempt().engine.id)
                .addKeyValue("prompt_tokens", request.generation().promptTokens)
                .addKeyValue("cached_tokens", attempt.cachedTokens())
                .addKeyValue("sent", Math.round(request.elapsedMs(attempt.policyAttempt().sentMs)))
                .addKeyValue("ms", Math.round(request.elapsedMs(services.context().nowMs())))
                .log(step);
    }
}
