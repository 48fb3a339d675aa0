package larchridge.router;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Cancels attempts that are in flight. The outcome of a cancelled attempt is still reported. */
final class AttemptCanceller {
    private static final Logger LOG = LoggerFactory.getLogger(AttemptCanceller.class);

    private final RouterContext context;
    private final ReadStateReleaser readStateReleaser;

    AttemptCanceller(RouterContext context, ReadStateReleaser readStateReleaser) {
        this.context = context;
        this.readStateReleaser = readStateReleaser;
    }

    void cancel(InFlightAttempt attempt, CancellationReason reason) {
        context.metrics.attemptCancelled(context.routerNumber, attempt.stage(), reason.tag());
        LOG.atDebug()
                .addKeyValue("generation", attempt.policyAttempt().generation.id)
                .addKeyValue("attempt", attempt.policyAttempt().number)
                .addKeyValue("reason", reason)
                .log("attempt cancelled");
        if (reason == CancellationReason.TIME_UP) {
            attempt.handle().expire();
        } else {
            attempt.handle().cancel();
        }
        if (attempt.isRead() && attempt.mayHoldState()) {
            // Guards against: a read that completes just as it is cancelled leaves a state that no
            // outcome reports.
            readStateReleaser.release(attempt);
        }
    }

    /** Cancels all attempts of a request that have not ended. */
    void cancelAll(InFlightRequest request, CancellationReason reason) {
        for (InFlightAttempt attempt : request.attempts()) {
            if (!attempt.isEnded()) {
                cancel(attempt, reason);
            }
        }
    }

    /** Ends an attempt whose stream has been idle for too long. */
    void expireIdleStream(InFlightAttempt attempt) {
        context.metrics.attemptCancelled(
                context.routerNumber, attempt.stage(), CancellationReason.SILENT_STREAM.tag());
        attempt.handle().expire();
    }
}
