/**
 * A simulated engine behind real sockets, written from the published completions API.
 *
 * <p>{@link larchridge.simulatedengine.SimulatedEngine} is the entry; tests inject faults and
 * record its traffic. It must not use the router or the policy, whose behaviour it is there to
 * test.
 */
package larchridge.simulatedengine;
