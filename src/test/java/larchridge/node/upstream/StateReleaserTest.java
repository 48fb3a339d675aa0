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

/** When releases are sent, in virtual time, over a transport whose results the tests choose. */
class StateReleaserTest {
    private static final double RELEASE_MS = 1000;

    /** The platform's own allowance on top. */
    private static final double SLACK_MS = 300;

    private static final String ID = "9b1f03aa5c7e2d41";
    private static final Endpoint HOLDER = new Endpoint("10.0.0.1", 8443);
    private static final Endpoint OTHER = new Endpoint("10.0.0.2", 8443);

    private final VirtualTimeScheduler time = new VirtualTimeScheduler();
    private final Scheduler ground = time.schedulerOf(0, 1);
    private final List<Double> sentMs = new ArrayList<>();
    private ControlCallResult result = ControlCallResult.ANSWERED;
    private final StateReleaser releases =
            new StateReleaser(
                    ground,
                    RELEASE_MS,
                    new StateReleaser.Transport() {
                        @Override
                        public void release(
                                Endpoint endpoint,
                                String requestId,
                                double limitMs,
                                Consumer<ControlCallResult> told) {
                            sentMs.add(time.sinceMs());
                            ControlCallResult now = result;
                            ground.schedule(
                                    now == ControlCallResult.UNANSWERED ? limitMs : 1,
                                    () -> told.accept(now));
                        }

                        @Override
                        public Endpoint nextEndpoint(Endpoint holder, Set<Endpoint> asked) {
                            return !asked.contains(HOLDER)
                                    ? HOLDER
                                    : !asked.contains(OTHER) ? OTHER : null;
                        }
                    });

    /** A state is held, and an attempt to fetch it is out. */
    private StateReservation readAndWritten() {
        StateReservation held = releases.attemptStarted(ID);
        releases.readCompleted(held);
        releases.attemptStarted(ID);
        return held;
    }

    private void assertOneSentBy(double latestMs) {
        assertEquals(1, sentMs.size());
        assertEquals(true, sentMs.get(0) < latestMs, "sent at " + sentMs.get(0));
        sentMs.clear();
    }

    /**
     * The engine kept it for the request in its queue; when that attempt breaks, nobody waits for
     * it any more.
     */
    @Test
    void stateThatStayedForAQueuedAttemptIsReleasedAgainAfterThatAttemptBreaks() {
        StateReservation held = readAndWritten();
        time.run(RELEASE_MS + SLACK_MS);
        assertOneSentBy(RELEASE_MS);
        time.run(3000);
        releases.attemptEnded(held, false);
        releases.attemptStarted(ID);
        time.run(3000 + RELEASE_MS + SLACK_MS);
        assertOneSentBy(3000 + RELEASE_MS);
    }

    @Test
    void timeStartsAgainWithTheEndOfAnAttemptThatWasHeard() {
        StateReservation held = readAndWritten();
        time.run(500);
        releases.attemptEnded(held, true);
        releases.attemptStarted(ID);
        time.run(500 + RELEASE_MS / 2);
        assertEquals(List.of(), sentMs);
        time.run(500 + RELEASE_MS + SLACK_MS);
        assertOneSentBy(500 + RELEASE_MS);
    }

    @Test
    void timeRunsOnOverAttemptsThatWereNotHeard() {
        StateReservation held = readAndWritten();
        time.run(500);
        releases.attemptEnded(held, false);
        releases.attemptStarted(ID);
        time.run(RELEASE_MS + SLACK_MS);
        assertOneSentBy(RELEASE_MS);
    }

    @Test
    void answerThatHasBegunNeedsNoRelease() {
        StateReservation held = readAndWritten();
        releases.responseStarted(held);
        time.run(5000);
        releases.attemptEnded(held, true);
        time.run(9000);
        assertEquals(List.of(), sentMs);
        assertEquals(0, releases.openRequests());
    }

    /** Where this machine can't send for a while, the release is tried until it can. */
    @Test
    void releaseThatCouldNotBeSentIsTriedAgain() {
        result = ControlCallResult.NOT_SENT;
        releases.release(ID, HOLDER);
        time.run(1500);
        sentMs.clear();
        result = ControlCallResult.ANSWERED;
        time.run(1800);
        assertEquals(1, sentMs.size());
        time.run(2000);
        assertEquals(0, releases.openRequests());
    }
}
