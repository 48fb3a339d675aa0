package larchridge.audit;

/**
 * The figures that the invariants are stated in, from the settings. Times are milliseconds.
 *
 * @param drainGraceMs how long an engine may still be written to once it is told to drain
 * @param releaseMs how long a state may be held with no attempt at an engine
 * @param coldMs how long an engine is cold after its start
 * @param coldShare what a cold engine can do at its start, as a part of what it can do when warm
 * @param tipMultiple this multiple of what it can do lets a cold engine fall
 * @param tipMs over this time
 * @param copies whether two attempts of an idempotent request may be out at once
 */
public record AuditSettings(
        double drainGraceMs,
        double releaseMs,
        double coldMs,
        double coldShare,
        double tipMultiple,
        double tipMs,
        boolean copies) {}
