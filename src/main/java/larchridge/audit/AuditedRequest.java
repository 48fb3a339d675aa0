package larchridge.audit;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import larchridge.state.TrafficClass;

/** What was seen of one request, and its last transitions. */
final class AuditedRequest {
    private static final int MAX_TRANSITIONS = 32;
    private static final double NOT_HELD = Double.NaN;

    final String id;
    final TrafficClass trafficClass;

    /** When the client stops waiting for its first event. */
    final double deadlineMs;

    final List<AuditedAttempt> attempts = new ArrayList<>(2);
    private final Deque<Transition> transitions = new ArrayDeque<>();

    boolean responseStarted;
    boolean finalResponseSent;
    double finalResponseMs;
    boolean clientClosed;

    /**
     * Whether a state that was released may still exist, since a request in an engine's queue waits
     * for it.
     */
    boolean releasedDuringAttempt;

    /** Violations that are reported once a request, not at each check. */
    boolean lateResponseReported;

    boolean lateReleaseReported;
    boolean orphanedAttemptReported;

    private double heldSinceMs = NOT_HELD;

    AuditedRequest(String id, TrafficClass trafficClass, double deadlineMs) {
        this.id = id;
        this.trafficClass = trafficClass;
        this.deadlineMs = deadlineMs;
    }

    void record(double ms, Transition.Kind kind, int attempt, Object detail) {
        if (transitions.size() >= MAX_TRANSITIONS) {
            transitions.removeFirst();
        }
        transitions.addLast(new Transition(ms, kind, attempt, detail));
    }

    /** The last transitions as text, for the log. */
    String transitions() {
        return transitions.toString();
    }

    /** Starts the time in which the state has to be fetched or released. */
    void holdSince(double ms) {
        heldSinceMs = ms;
    }

    void clearHeld() {
        heldSinceMs = NOT_HELD;
    }

    boolean isHeld() {
        return !Double.isNaN(heldSinceMs);
    }

    /** For how long the state has been held; NaN if none is. */
    double heldForMs(double nowMs) {
        return nowMs - heldSinceMs;
    }

    /** Whether nothing of the request is left at the client or any engine. */
    boolean isComplete() {
        return (finalResponseSent || clientClosed)
                && !isHeld()
                && attempts.stream().allMatch(AuditedAttempt::hasEnded);
    }
}
