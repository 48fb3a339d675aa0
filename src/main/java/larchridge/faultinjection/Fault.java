package larchridge.faultinjection;

import java.util.List;

/**
 * One fault of a script. Its string form is written to the traffic log.
 *
 * @param atMs start time, relative to the start of the script
 * @param lengthMs duration
 * @param engines indices of the affected engines; empty if only nodes are affected
 * @param nodes indices of the affected nodes
 * @param size strength, from 0 to 1 in generated scripts; its meaning depends on the kind
 */
public record Fault(
        FaultKind kind,
        double atMs,
        double lengthMs,
        List<Integer> engines,
        List<Integer> nodes,
        double size) {
    double endMs() {
        return atMs + lengthMs;
    }
}
