/**
 * Scripted tests of a whole system on loopback with load and injected faults; the rules are checked
 * only from the recorded traffic.
 *
 * <p>{@link larchridge.systemtest.SystemTest} runs a script, {@link
 * larchridge.systemtest.RuleChecker} checks the rules.
 */
package larchridge.systemtest;
