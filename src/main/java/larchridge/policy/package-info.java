/**
 * Decides, for one router, which engine reads a prompt, which engine writes the answer, and what
 * happens when either fails.
 *
 * <p>{@link larchridge.policy.RoutingPolicy} is the entry: events come in through {@link
 * larchridge.policy.PolicyEvents}, decisions go out through {@link
 * larchridge.policy.PolicyActions}, and every other class here answers one question for it: {@code
 * ReaderSelection}, {@code WriterSelection} and {@code EligibleEngines} which engine; {@code
 * LoadEstimator}, {@code LatencyEstimator}, {@code WriterCapacity}, {@code PrefixAffinity} and
 * {@code StateTransfers} what is known of engines; {@code AdmissionQueue}, {@code RetryPolicy},
 * {@code IdempotencyRule} and {@code HedgingPolicy} what may still be attempted; {@code
 * OutlierDetector} and {@code SlowStart} which engines to spare; {@code AttemptDispatcher}, {@code
 * StateReservations} and {@code LoadProbes} carry the decisions out.
 *
 * <p>The package holds no timer, thread, socket or log of its own and knows nothing of the router
 * or of the wire. Everything runs on the router's event loop. All random draws come from one seeded
 * generator, so that one seed and one sequence of events give one sequence of actions ({@code
 * PolicyActionsTest}). {@code docs/design.md} gives the reasons of the rules. Times are
 * milliseconds of the clock of {@link larchridge.policy.PolicyActions#nowMs}, which stands still
 * during an event.
 */
package larchridge.policy;
