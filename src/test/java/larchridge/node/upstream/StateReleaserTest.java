package larchridge.node.upstream;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import larchridge.router.Scheduler;
import larchridge.router.VirtualTimeScheduler;
import larchridge.upstream.Endpoint;
import org.junit.jupiter.api.Test;

/** Tests when releases are sent, in virtual time, with results chosen by the tests. */
class StateReleaserTest {
    private static final double STATE_HOLD_MS = 1000;

    /** Grace period of the platform after the hold time. */
    private static final double HOLD_GRACE_MS = 300;

    private static final String REQUEST_ID = "9b1f03aa5c7e2d41";
    private static final Endpoint HOLDER = new Endpoint("10.0.0.1", 8443);
    private static final Endpoint OTHER = new Endpoint("10.0.0.2", 8443);

    private final VirtualTimeScheduler time = new VirtualTimeScheduler();
    private final Scheduler scheduler = time.routerScheduler(0, 1);
    private final List<Double> sentMs = new ArrayList<>();
    private ControlCallResult result = ControlCallResult.ANSWERED;
    private final StateReleaser releaser =
            new StateReleaser(
                    scheduler,
                    STATE_HOLD_MS,
                    new StateReleaser.Transport() {
                        @Override
                        public void release(
                                Endpoint endpoint,
                                String requestId,
                                double timeoutMs,
                                Consumer<ControlCallResult> listener) {
                            sentMs.add(time.elapsedMs());
                            ControlCallResult current = result;
                            scheduler.schedule(
                                    current == ControlCallResult.UNANSWERED ? timeoutMs : 1,
                                    () -> listener.accept(current));
                        }

                        @Override
                        public Endpoint nextEndpoint(Endpoint holder, Set<Endpoint> tried) {
                            return !tried.contains(HOLDER)
                                    ? HOLDER
                                    : !tried.contains(OTHER) ? OTHER : null;
                        }
                    });

    /** Creates a held state with an in-flight attempt that fetches it. */
    private TrackedRequest heldStateWithFetchingAttempt() {
        TrackedRequest trackedRequest = releaser.attemptStarted(REQUEST_ID);
        releaser.readCompleted(trackedRequest);
        releaser.attemptStarted(REQUEST_ID);
        return trackedRequest;
    }

    private void assertOneSentBy(double latestMs) {
        assertEquals(1, sentMs.size());
        assertEquals(true, sentMs.get(0) < latestMs, "sent at " + sentMs.get(0));
        sentMs.clear();
    }

    /**
     * Guards against: an engine keeps a released state while a queued request waits for it. If that
     * attempt then fails, the state would stay held.
     */
    @Test
    void stateThatStayedForAQueuedAttemptIsReleasedAgainAfterThatAttemptBreaks() {
        TrackedRequest trackedRequest = heldStateWithFetchingAttempt();
        time.run(STATE_HOLD_MS + HOLD_GRACE_MS);
        assertOneSentBy(STATE_HOLD_MS);
        time.run(3000);
        releaser.attemptEnded(trackedRequest, false);
        releaser.attemptStarted(REQUEST_ID);
        time.run(3000 + STATE_HOLD_MS + HOLD_GRACE_MS);
        assertOneSentBy(3000 + STATE_HOLD_MS);
    }

    @Test
    void holdTimeStartsAgainWithTheEndOfAnAttemptThatGotAResponse() {
        TrackedRequest trackedRequest = heldStateWithFetchingAttempt();
        time.run(500);
        releaser.attemptEnded(trackedRequest, true);
        releaser.attemptStarted(REQUEST_ID);
        time.run(500 + STATE_HOLD_MS / 2);
        assertEquals(List.of(), sentMs);
        time.run(500 + STATE_HOLD_MS + HOLD_GRACE_MS);
        assertOneSentBy(500 + STATE_HOLD_MS);
    }

    @Test
    void holdTimeRunsOnOverAttemptsThatGotNoResponse() {
        TrackedRequest trackedRequest = heldStateWithFetchingAttempt();
        time.run(500);
        releaser.attemptEnded(trackedRequest, false);
        releaser.attemptStarted(REQUEST_ID);
        time.run(STATE_HOLD_MS + HOLD_GRACE_MS);
        assertOneSentBy(STATE_HOLD_MS);
    }

    @Test
    void startedResponseNeedsNoRelease() {
        TrackedRequest trackedRequest = heldStateWithFetchingAttempt();
        releaser.responseStarted(trackedRequest);
        time.run(5000);
        releaser.attemptEnded(trackedRequest, true);
        time.run(9000);
        assertEquals(List.of(), sentMs);
        assertEquals(0, releaser.trackedRequestCount());
    }

    /** Guards against: a temporary local failure to send would leave a state held. */
    @Test
    void releaseThatCouldNotBeSentIsTriedAgain() {
        result = ControlCallResult.NOT_SENT;
        releaser.requestRelease(REQUEST_ID, HOLDER);
        time.run(1500);
        sentMs.clear();
        result = ControlCallResult.ANSWERED;
        time.run(1800);
        assertEquals(1, sentMs.size());
        time.run(2000);
        assertEquals(0, releaser.trackedRequestCount());
    }
}
