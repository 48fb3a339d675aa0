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
 * Passes events on to the routing policy. Guards against: a fault of the policy would lose the
 * request it was deciding on; that request fails instead.
 */
final class PolicyNotifier {
    private static final Logger LOG = LoggerFactory.getLogger(PolicyNotifier.class);

    private final RouterContext context;
    private final FinalAnswers finalAnswers;
    private PolicyEvents policy;

    PolicyNotifier(RouterContext context, FinalAnswers finalAnswers) {
        this.context = context;
        this.finalAnswers = finalAnswers;
    }

    /** Sets the policy, before the first event; it is made last, since it acts as it is made. */
    void attach(PolicyEvents routingPolicy) {
        policy = routingPolicy;
    }

    void requestArrived(InFlightRequest request) {
        guarded(request, () -> policy.requestArrived(request.generation()));
    }

    void clientDisconnected(InFlightRequest request) {
        guarded(request, () -> policy.clientDisconnected(request.generation()));
    }

    void readCompleted(InFlightRequest request, InFlightAttempt attempt, LoadReport report) {
        guarded(
                request,
                () ->
                        policy.readCompleted(
                                attempt.policyAttempt(),
                                attempt.cachedTokens(),
                                report,
                                request.responseGuard().isDone()));
    }

    void responseStarted(InFlightRequest request, InFlightAttempt attempt) {
        guarded(request, () -> policy.responseStarted(attempt.policyAttempt()));
    }

    void stateReleased(InFlightRequest request, InFlightAttempt attempt) {
        guarded(request, () -> policy.stateReleased(attempt.policyAttempt()));
    }

    void attemptEnded(
            InFlightRequest request,
            InFlightAttempt attempt,
            AttemptOutcome outcome,
            LoadReport report) {
        boolean answered = request.responseGuard().isDone();
        guarded(
                request,
                () -> policy.attemptEnded(attempt.policyAttempt(), outcome, report, answered));
    }

    void loadProbed(Engine engine, boolean answered, LoadReport report) {
        guarded(null, () -> policy.loadProbed(engine, answered, report));
    }

    void endpointsChanged(List<EndpointUpdate> updates) {
        guarded(null, () -> policy.endpointsChanged(updates, true));
    }

    void wakeUp() {
        guarded(null, policy::wakeUp);
    }

    /** Runs one event; request is null for an event that is no single request's. */
    private void guarded(InFlightRequest request, Runnable event) {
        try {
            event.run();
        } catch (RuntimeException e) {
            context.metrics.policyFault(context.routerNumber);
            LOG.error("the routing policy failed", e);
            if (request != null) {
                finalAnswers.fail(request, ResponseSink.FailureCause.INTERNAL);
                request.generation().finish();
            }
        }
    }
}
