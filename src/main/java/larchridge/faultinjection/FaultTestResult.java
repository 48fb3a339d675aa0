package larchridge.faultinjection;

import java.util.List;

/**
 * What a run has shown.
 *
 * @param violations all that broke a rule or an invariant, one line each; empty where all held
 * @param requests requests that clients sent
 * @param completed those that were served whole
 * @param maxLagMs how late the rig itself was at most; where that is much, the figures of time are
 *     not to be trusted
 */
public record FaultTestResult(List<String> violations, long requests, int completed, double maxLagMs) {
    public boolean passed() {
        return violations.isEmpty();
    }
}
