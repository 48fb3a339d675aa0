/**
 * Decides, for one router, which engine reads a prompt, which engine writes the answer, and what
 * happens when either fails.
 *
 * <p>{@link larchridge.policy.RoutingPolicy} is the entry point: events come in through {@link
 * larchridge.policy.PolicyEvents}, decisions go out through {@link
 * larchridge.policy.PolicyActions}. The other classes each have one task: {@code ReaderSelection},
 * {@code WriterSelection} and {@code EligibleEngines} select engines; {@code LoadEstimator}, {@code
 * LatencyEstimator}, {@code WriterCapacity}, {@code PrefixAffinity} and {@code StateTransfers}
 * estimate load, latency, memory, cached prefixes and transfers; {@code AdmissionQueue}, {@code
 * RetryPolicy}, {@code IdempotencyRule} and {@code HedgingPolicy} decide what may be attempted;
 * {@code OutlierDetector} and {@code SlowStart} decide which engines to avoid or to use sparingly;
 * {@code AttemptDispatcher}, {@code HeldStates} and {@code LoadProbes} carry out the decisions.
 *
 * <p>The selection of readers and writers follows the paper DualPath, "Breaking the Storage
 * Bandwidth Bottleneck in Agentic LLM Inference", section 6 (adaptive request scheduling); alpha,
 * beta and Z are its symbols. Deviations are marked where they are made.
 *
 * <p>The package has no timers, threads, sockets or logger of its own and does not depend on the
 * router or on wire formats. Everything runs on the router's event loop. All random draws come from
 * one seeded generator, so that a seed and a sequence of events determine the sequence of actions
 * ({@code PolicyActionsTest}). {@code docs/design.md} gives the reasons for the rules. Times are
 * milliseconds of the clock of {@link larchridge.policy.PolicyActions#nowMs}, which is constant
 * during an event.
 */
package larchridge.policy;
