package larchridge.faultinjection;

import java.util.List;

/**
 * The result of a fault injection run.
 *
 * @param violations violated rules and invariants, one line each; empty if there are none
 * @param requests requests that clients sent
 * @param completed requests whose responses were received in full
 * @param maxLagMs maximum lag of the harness's own event loop; if it is large, the measured times
 *     are unreliable
 */
public record FaultTestResult(
        List<String> violations, long requests, int completed, double maxLagMs) {
    /** Returns whether no rule and no invariant was violated. */
    public boolean passed() {
        return violations.isEmpty();
    }
}
