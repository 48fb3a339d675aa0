package larchridge.audit;

import larchridge.upstream.Endpoint;

/** One attempt of a request that was written to an engine. */
final class AuditedAttempt {
    final int number;
    final Endpoint endpoint;

    /** The engine as listed when the attempt was written; null if no list named it. */
    final AuditedEngine engine;

    final boolean reads;
    final double writtenMs;
    private boolean ended;
    private boolean neverRan;

    AuditedAttempt(
            int number, Endpoint endpoint, AuditedEngine engine, boolean reads, double writtenMs) {
        this.number = number;
        this.endpoint = endpoint;
        this.engine = engine;
        this.reads = reads;
        this.writtenMs = writtenMs;
    }

    boolean hasEnded() {
        return ended;
    }

    void end() {
        ended = true;
    }

    /** Notes whether the end proves that the engine has not run the attempt. */
    void setNeverRan(boolean proven) {
        neverRan = proven;
    }

    /** Whether it is a read after which the engine may hold a state. */
    boolean mayHaveRead() {
        return reads && !neverRan;
    }

    /** Whether it may have had an effect; reads have none, however they end. */
    boolean mayHaveRun() {
        return !reads && !neverRan;
    }
}
