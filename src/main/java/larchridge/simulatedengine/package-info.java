/**
 * A simulated inference engine that serves the published completions API over real sockets.
 *
 * <p>{@link larchridge.simulatedengine.SimulatedEngine} is the entry point; tests inject faults and
 * record its traffic. This package must not depend on the router or the routing policy, whose
 * behaviour it is used to test.
 */
package larchridge.simulatedengine;
