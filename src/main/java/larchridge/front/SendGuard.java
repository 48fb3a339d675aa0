package larchridge.front;

import larchridge.enginelink.SendCheck;
import larchridge.enginelink.SendRefusal;
import larchridge.policy.IdempotencyRule;
import larchridge.state.Attempt;
import larchridge.state.EndpointState;

/**
 * The one guard through which every attempt goes when it is written. Between the decision and that
 * moment a connection may have had to come up: the engine may have been told to drain, the client
 * may have closed, the window for repeats be over.
 */
final class SendGuard implements SendCheck {
    private final Attempt attempt;
    private final Open open;
    private final Ground ground;
    private final boolean copiesAllowed;

    SendGuard(Attempt attempt, Open open, Ground ground, boolean copiesAllowed) {
        this.attempt = attempt;
        this.open = open;
        this.ground = ground;
        this.copiesAllowed = copiesAllowed;
    }

    @Override
    public SendRefusal refusal() {
        if (attempt.engine.mode != EndpointState.READY) {
            return SendRefusal.ENGINE_LEFT;
        }
        if (open.duty.isDone() || open.duty.isBegun()) {
            return SendRefusal.ANSWERED;
        }
        if (!IdempotencyRule.mayWrite(attempt, ground.nowMs(), copiesAllowed)) {
            return SendRefusal.MAY_REPEAT;
        }
        return open.client.isGone() ? SendRefusal.CLIENT_GONE : null;
    }
}
