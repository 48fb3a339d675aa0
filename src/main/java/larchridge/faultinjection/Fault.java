package larchridge.faultinjection;

import java.util.List;

/**
 * One trouble of a script.
 *
 * @param atMs when it begins, from the script's start
 * @param lengthMs how long it lasts
 * @param engines engines that it meets, by number; empty where it meets nodes alone
 * @param nodes nodes that it meets, by number
 * @param size how strong it is; what that means depends on the kind
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
