package larchridge.faultinjection;

import java.util.List;

/**
 * What a run has shown.
 *
 * @param faults all that broke a rule or an invariant, one line each; empty where all held
 * @param requests requests that clients sent
 * @param whole those that were served whole
 * @param lateMs how late the rig itself was at most; where that is much, the figures of time are
 *     not to be trusted
 */
public record FaultTestResult(List<String> faults, long requests, int whole, double lateMs) {
    public boolean passed() {
        return faults.isEmpty();
    }
}
