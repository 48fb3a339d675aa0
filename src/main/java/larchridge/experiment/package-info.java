/**
 * Plans of simulations, their results and the pages that show them.
 *
 * <p>{@link larchridge.experiment.ExperimentRunner} runs a plan, {@link
 * larchridge.experiment.FaultSearch} looks for faults under which the policy does worst. Everything
 * runs in virtual time.
 */
package larchridge.experiment;
