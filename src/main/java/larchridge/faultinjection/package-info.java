/**
 * A fault injection harness. It runs real node processes on loopback between simulated engines,
 * discovery agents and clients, and injects faults into every link, into system calls, clocks and
 * signals. On average two or three faults overlap; they are generated from a seed and written as a
 * script. A run is checked against the rules of {@code larchridge.systemtest}, from the traffic
 * alone, and against the invariants that the nodes report themselves.
 */
package larchridge.faultinjection;
