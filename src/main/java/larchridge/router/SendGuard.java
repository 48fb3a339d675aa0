package larchridge.router;

import larchridge.policy.IdempotencyRule;
import larchridge.state.Attempt;
import larchridge.state.EndpointState;
import larchridge.upstream.SendCheck;
import larchridge.upstream.SendRejection;

/**
 * The one guard through which every attempt goes when it is written. Between the decision and that
 * moment a connection may have had to come up: the engine may have been told to drain, the client
 * may have closed, the window for repeats be over.
 */
final class SendGuard implements SendCheck {
    private final Attempt attempt;
    private final InFlightRequest open;
    private final Scheduler ground;
    private final boolean copiesAllowed;

    SendGuard(Attempt attempt, InFlightRequest open, Scheduler ground, boolean copiesAllowed) {
        this.attempt = attempt;
        this.open = open;
        this.ground = ground;
        this.copiesAllowed = copiesAllowed;
    }

    @Override
    public SendRejection rejection() {
        if (attempt.engine.state != EndpointState.READY) {
            return SendRejection.ENDPOINT_UNAVAILABLE;
        }
        if (open.duty.isDone() || open.duty.isBegun()) {
            return SendRejection.ALREADY_ANSWERED;
        }
        if (!IdempotencyRule.mayWrite(attempt, ground.nowMs(), copiesAllowed)) {
            return SendRejection.DUPLICATE_RISK;
        }
        return open.client.isDisconnected() ? SendRejection.CLIENT_DISCONNECTED : null;
    }
}
