/**
 * The policy's view of the world: generations, their attempts, engines and what was learned of
 * them, and the settings that a policy is created with.
 *
 * <p>These are plain objects without threads, timers or I/O. {@link larchridge.state.Generation},
 * {@link larchridge.state.Attempt} and {@link larchridge.state.Engine} belong to the event loop of
 * one router, are created by it and are changed by its policy only, through one method for each
 * transition. Nothing here decides anything; {@code larchridge.policy} does. Times are milliseconds
 * since the epoch, spans are milliseconds.
 */
package larchridge.state;
