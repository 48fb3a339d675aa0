/**
 * State that the routing policy works on: generations, their attempts, engines with observed load
 * and health, and the settings that a policy is created with.
 *
 * <p>These are plain objects without threads, timers or I/O. {@link larchridge.state.Generation},
 * {@link larchridge.state.Attempt} and {@link larchridge.state.Engine} belong to the event loop of
 * one router. The router creates generations and engines, the policy creates attempts. The policy
 * changes them, through one method per transition; the router only finishes a generation for which
 * the policy threw an exception. Decisions are made in {@code larchridge.policy}. Times are
 * milliseconds since the epoch, durations are milliseconds.
 */
package larchridge.state;
