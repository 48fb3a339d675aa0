/**
 * Runs system test scripts in virtual time: real routers and routing policies over emulated
 * engines.
 *
 * <p>The entry point is {@link larchridge.simulation.SimulationRun}. Runs with the same seed are
 * identical to the byte.
 */
package larchridge.simulation;
