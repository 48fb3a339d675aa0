package larchridge.audit;

/**
 * The figures that the invariants are stated in, from the settings. Times are milliseconds.
 *
 * @param drainGraceMs how long an engine may still be sent to once it is set to drain
 * @param maxStateHoldMs how long a state may be held with no attempt at an engine
 * @param slowStartMs how long an engine warms up after its start
 * @param slowStartShare what an engine can do at its start, as a part of what it can do when warm
 * @param overloadMultiple this multiple of what it can do overloads a warming engine
 * @param overloadWindowMs over this time
 * @param hedgingAllowed whether two attempts of an idempotent request may be in flight at once
 */
public record AuditSettings(
        double drainGraceMs,
        double maxStateHoldMs,
        double slowStartMs,
        double slowStartShare,
        double overloadMultiple,
        double overloadWindowMs,
        boolean hedgingAllowed) {}
