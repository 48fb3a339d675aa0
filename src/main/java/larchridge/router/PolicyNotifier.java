package larchridge.router;

import java.util.List;
import larchridge.policy.PolicyEvents;
import larchridge.state.AttemptOutcome;
import larchridge.state.EndpointUpdate;
import larchridge.state.Engine;
import larchridge.state.LoadReport;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Passes events on to the routing policy. Guards against: an exception in the policy would lose the
 * request that it was handling; that request fails instead.
 */
final class PolicyNotifier {
    private static final Logger LOG = LoggerFactory.getLogger(PolicyNotifier.class);

    private final RouterContext context;
    private final FinalResponseSender finalResponses;
    private PolicyEvents policy;

    PolicyNotifier(RouterContext context, FinalResponseSender finalResponses) {
        this.context = context;
        this.finalResponses = finalResponses;
    }

    /**
     * Sets the policy before the first event. The policy is created last, since its constructor
     * already calls the router.
     */
    void attach(PolicyEvents routingPolicy) {
        policy = routingPolicy;
    }

    void requestArrived(InFlightRequest request) {
        runGuarded(request, () -> policy.requestArrived(request.generation()));
    }

    void clientDisconnected(InFlightRequest request) {
        runGuarded(request, () -> policy.generationAbandoned(request.generation()));
    }

    void readCompleted(InFlightRequest request, InFlightAttempt attempt, LoadReport report) {
        runGuarded(
                request,
                () ->
                        policy.readCompleted(
                                attempt.policyAttempt(),
                                attempt.cachedTokens(),
                                report,
                                request.responseGuard().isFinished()));
    }

    void responseStarted(InFlightRequest request, InFlightAttempt attempt) {
        runGuarded(request, () -> policy.responseStarted(attempt.policyAttempt()));
    }

    void stateReleased(InFlightRequest request, InFlightAttempt attempt) {
        runGuarded(request, () -> policy.stateReleased(attempt.policyAttempt()));
    }

    void attemptEnded(
            InFlightRequest request,
            InFlightAttempt attempt,
            AttemptOutcome outcome,
            LoadReport report) {
        boolean finished = request.responseGuard().isFinished();
        runGuarded(
                request,
                () -> policy.attemptEnded(attempt.policyAttempt(), outcome, report, finished));
    }

    void loadProbed(Engine engine, boolean answered, LoadReport report) {
        runGuarded(null, () -> policy.loadProbed(engine, answered, report));
    }

    void endpointsChanged(List<EndpointUpdate> updates) {
        runGuarded(null, () -> policy.endpointsChanged(updates, true));
    }

    void wakeUp() {
        runGuarded(null, policy::wakeUp);
    }

    /**
     * Delivers one event; {@code request} is null for an event that does not concern a single
     * request.
     */
    private void runGuarded(InFlightRequest request, Runnable event) {
        try {
            event.run();
        } catch (RuntimeException e) {
            context.metrics.policyFailed(context.routerNumber);
            LOG.error("routing policy threw an exception", e);
            if (request != null) {
                finalResponses.fail(request, ResponseSink.FailureCause.INTERNAL);
                request.generation().finish();
            }
        }
    }
}
