package larchridge.audit;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import larchridge.state.TrafficClass;

/** What was seen of one request, and its last steps. */
final class AuditedRequest {
    private static final int STEPS = 32;

    final String id;
    final TrafficClass product;
    final double limitMs;
    final List<AuditedAttempt> attempts = new ArrayList<>(2);
    private final Deque<Transition> steps = new ArrayDeque<>();
    boolean begun;
    boolean answered;
    double answeredMs;
    boolean clientClosed;

    /** When a state began to be held with the time running, or NaN. */
    double heldMs = Double.NaN;

    /**
     * Whether a state that was released may still be there, since a request in an engine's queue
     * waits for it.
     */
    boolean releasedBesideAttempt;

    /** Violations that are told once a request, not at each look. */
    boolean toldLate;

    boolean toldHeld;
    boolean toldLeft;

    AuditedRequest(String id, TrafficClass product, double limitMs) {
        this.id = id;
        this.product = product;
        this.limitMs = limitMs;
    }

    void step(double ms, Transition.Kind kind, int attempt, Object detail) {
        if (steps.size() >= STEPS) {
            steps.removeFirst();
        }
        steps.addLast(new Transition(ms, kind, attempt, detail));
    }

    String steps() {
        return steps.toString();
    }

    boolean isOver() {
        return (answered || clientClosed)
                && Double.isNaN(heldMs)
                && attempts.stream().allMatch(one -> one.ended);
    }
}
