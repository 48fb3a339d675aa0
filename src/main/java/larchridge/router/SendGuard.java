package larchridge.router;

import larchridge.policy.IdempotencyRule;
import larchridge.state.Attempt;
import larchridge.state.EndpointState;
import larchridge.upstream.SendCheck;
import larchridge.upstream.SendRejection;

/**
 * The last check before an attempt is sent. Since the policy's decision a connection may have had
 * to be opened; in that time the engine may have started to drain, the client may have
 * disconnected, or the deduplication window may have ended.
 */
final class SendGuard implements SendCheck {
    private final Attempt policyAttempt;
    private final InFlightRequest request;
    private final Scheduler scheduler;
    private final boolean hedgingAllowed;

    SendGuard(
            Attempt policyAttempt,
            InFlightRequest request,
            Scheduler scheduler,
            boolean hedgingAllowed) {
        this.policyAttempt = policyAttempt;
        this.request = request;
        this.scheduler = scheduler;
        this.hedgingAllowed = hedgingAllowed;
    }

    @Override
    public SendRejection rejection() {
        if (policyAttempt.engine.state() != EndpointState.READY) {
            return SendRejection.ENDPOINT_UNAVAILABLE;
        }
        if (request.responseGuard().isFinished() || request.responseGuard().isStarted()) {
            return SendRejection.ALREADY_ANSWERED;
        }
        if (!IdempotencyRule.maySend(policyAttempt, scheduler.nowMs(), hedgingAllowed)) {
            return SendRejection.DUPLICATE_RISK;
        }
        return request.responseSink().isDisconnected() ? SendRejection.CLIENT_DISCONNECTED : null;
    }
}
