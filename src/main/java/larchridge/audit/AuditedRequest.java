package larchridge.audit;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import larchridge.state.TrafficClass;

/** The audit's data on one request, with the most recent events observed for it. */
final class AuditedRequest {
    private static final int MAX_RECENT_EVENTS = 32;
    private static final double NOT_HELD = Double.NaN;

    final String id;
    final TrafficClass trafficClass;

    /** Deadline by which the client expects the first event of the response. */
    final double deadlineMs;

    final List<AuditedAttempt> attempts = new ArrayList<>(2);
    private final Deque<RecordedEvent> recentEvents = new ArrayDeque<>();

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
     * Whether the missed response deadline was reported. It and an incomplete request are reported
     * once per request, a late release once per hold, rather than at each check.
     */
    boolean lateResponseReported;

    boolean lateReleaseReported;
    boolean incompleteReported;

    private double stateHeldSinceMs = NOT_HELD;

    AuditedRequest(String id, TrafficClass trafficClass, double deadlineMs) {
        this.id = id;
        this.trafficClass = trafficClass;
        this.deadlineMs = deadlineMs;
    }

    void record(double atMs, RecordedEvent.Kind kind, int attempt, Object detail) {
        if (recentEvents.size() >= MAX_RECENT_EVENTS) {
            recentEvents.removeFirst();
        }
        recentEvents.addLast(new RecordedEvent(atMs, kind, attempt, detail));
    }

    /** Formats the most recent events for the log. */
    String recentEvents() {
        return recentEvents.toString();
    }

    /** Records that a state is held; it must be fetched or released within the time limit. */
    void setStateHeldSince(double atMs) {
        stateHeldSinceMs = atMs;
    }

    void clearStateHeld() {
        stateHeldSinceMs = NOT_HELD;
    }

    boolean isStateHeld() {
        return !Double.isNaN(stateHeldSinceMs);
    }

    /** How long the state has been held, or NaN if none is held. */
    double stateHeldForMs(double nowMs) {
        return nowMs - stateHeldSinceMs;
    }

    /** Whether nothing is left of the request: neither at the client nor at any engine. */
    boolean isComplete() {
        return (finalResponseSent || clientDisconnected)
                && !isStateHeld()
                && attempts.stream().allMatch(AuditedAttempt::hasEnded);
    }
}
