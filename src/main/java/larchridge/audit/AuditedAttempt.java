package larchridge.audit;

import larchridge.upstream.Endpoint;

/** One attempt of a request that was written to an engine. */
final class AuditedAttempt {
    final int number;
    final Endpoint endpoint;

    /** The engine as listed when the attempt was written; null if no list named it. */
    final AuditedEngine engine;

    final boolean isRead;
    final double sentMs;
    private boolean ended;
    private boolean provenNotRun;

    AuditedAttempt(
            int number, Endpoint endpoint, AuditedEngine engine, boolean isRead, double sentMs) {
        this.number = number;
        this.endpoint = endpoint;
        this.engine = engine;
        this.isRead = isRead;
        this.sentMs = sentMs;
    }

    boolean hasEnded() {
        return ended;
    }

    void end() {
        ended = true;
    }

    /** Notes whether the end proves that the engine has not run the attempt. */
    void setProvenNotRun(boolean proven) {
        provenNotRun = proven;
    }

    /** Whether it is a read after which the engine may hold a state. */
    boolean mayHoldReadState() {
        return isRead && !provenNotRun;
    }

    /** Whether it may have had an effect; reads have none, however they end. */
    boolean mayHaveRun() {
        return !isRead && !provenNotRun;
    }
}
