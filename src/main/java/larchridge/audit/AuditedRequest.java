package larchridge.audit;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import larchridge.state.TrafficClass;

/** The events observed for one request, with its most recent transitions. */
final class AuditedRequest {
    private static final int MAX_TRANSITIONS = 32;
    private static final double NOT_HELD = Double.NaN;

    final String id;
    final TrafficClass trafficClass;

    /** Deadline by which the client expects the first event of the response. */
    final double deadlineMs;

    final List<AuditedAttempt> attempts = new ArrayList<>(2);
    private final Deque<Transition> transitions = new ArrayDeque<>();

    boolean responseStarted;
    boolean finalResponseSent;
    double finalResponseMs;
    boolean clientDisconnected;

    /**
     * Whether the read state was released while an attempt was in flight. The state may still
     * exist, since an attempt in an engine's queue may be waiting for it.
     */
    boolean releasedDuringAttempt;

    /**
     * Whether the missed response deadline was reported; like the violations below it is reported
     * once per request rather than at each check.
     */
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

    /** Formats the most recent transitions for the log. */
    String transitions() {
        return transitions.toString();
    }

    /** Records that a state is held; it must be fetched or released within the time limit. */
    void holdSince(double ms) {
        heldSinceMs = ms;
    }

    void clearHeld() {
        heldSinceMs = NOT_HELD;
    }

    boolean isHeld() {
        return !Double.isNaN(heldSinceMs);
    }

    /** How long the state has been held, or NaN if none is held. */
    double heldForMs(double nowMs) {
        return nowMs - heldSinceMs;
    }

    /** Whether nothing is left of the request: neither at the client nor at any engine. */
    boolean isComplete() {
        return (finalResponseSent || clientDisconnected)
                && !isHeld()
                && attempts.stream().allMatch(AuditedAttempt::hasEnded);
    }
}
