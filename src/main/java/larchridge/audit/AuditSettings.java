package larchridge.audit;

/**
 * Limits that the invariants are checked against, from the settings. Times are in milliseconds.
 *
 * @param drainGraceMs how long an engine may still receive attempts after it starts draining
 * @param maxStateHoldMs how long a read state may be held while no attempt is at an engine
 * @param slowStartMs how long an engine warms up after its start
 * @param slowStartShare the fraction of its warm capacity that an engine has right after its start
 * @param overloadMultiple the multiple of its current capacity that overloads a warming engine
 * @param overloadWindowMs the time window over which that multiple is measured
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
