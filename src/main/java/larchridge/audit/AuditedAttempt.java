package larchridge.audit;

import larchridge.upstream.Endpoint;

/** One attempt of a request that was written. */
final class AuditedAttempt {
    final int number;
    final Endpoint spot;
    final AuditedEngine engine;
    final boolean reads;
    final double writtenMs;
    boolean ended;
    boolean neverRan;

    AuditedAttempt(
            int number, Endpoint endpoint, AuditedEngine engine, boolean reads, double writtenMs) {
        this.number = number;
        this.spot = endpoint;
        this.engine = engine;
        this.reads = reads;
        this.writtenMs = writtenMs;
    }

    /** Reads have no effect, however they end. */
    boolean mayHaveRun() {
        return !reads && !neverRan;
    }
}
