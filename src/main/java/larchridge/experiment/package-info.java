/**
 * Experiments in virtual time: plans of simulation runs, their results and the report page.
 *
 * <p>{@link larchridge.experiment.ExperimentRunner} runs a plan, and {@link
 * larchridge.experiment.FaultSearch} searches for faults under which the routing policy performs
 * worst.
 */
package larchridge.experiment;
