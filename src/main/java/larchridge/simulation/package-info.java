/**
 * System test scripts in virtual time: real routers and policies over emulated engines.
 *
 * <p>{@link larchridge.simulation.SimulationRun} is the entry. One seed gives one run, to the byte.
 */
package larchridge.simulation;
