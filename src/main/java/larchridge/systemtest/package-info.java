/**
 * Scripted tests of whole systems on loopback: load, faults, and the rules checked from the traffic
 * alone.
 *
 * <p>{@link larchridge.systemtest.SystemTest} is the entry, {@link
 * larchridge.systemtest.RuleChecker} the judge.
 */
package larchridge.systemtest;
