package larchridge.audit;

import larchridge.upstream.Endpoint;

/** One attempt of a request that was sent to an engine. */
final class AuditedAttempt {
    final int number;
    final Endpoint endpoint;

    /**
     * The engine's entry in the endpoint list at the time of sending, or null if it was not listed.
     */
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

    /** Sets whether the attempt's outcome proves that the engine has not run it. */
    void setProvenNotRun(boolean proven) {
        provenNotRun = proven;
    }

    /** Whether this is a read for which the engine may still hold a state. */
    boolean mayHoldReadState() {
        return isRead && !provenNotRun;
    }

    /** Whether the attempt may have had an effect. Reads have none, whatever their outcome. */
    boolean mayHaveHadEffect() {
        return !isRead && !provenNotRun;
    }
}
