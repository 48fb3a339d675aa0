/**
 * A soak rig: real node processes on loopback between simulated engines, discovery agents and
 * clients, with faults on every link, in system calls, clocks and signals. Two or three overlap in
 * time, drawn from a seed and written as a script. It is judged from the traffic, by the rules of
 * {@code larchridge.systemtest}, and by the nodes' own invariants.
 */
package larchridge.faultinjection;
