package larchridge.upstream;

import larchridge.state.LoadReport;

/**
 * Sends attempts, state releases and load probes to engines. There is one implementation per
 * protocol and one instance per router; all methods are called on the router's event loop.
 */
public interface UpstreamClient {
    /** Sends an attempt that reads a prompt and leaves its state at the reader. */
    AttemptHandle read(AttemptRequest attemptRequest, AttemptListener listener);

    /** Sends an attempt that writes the answer. */
    AttemptHandle write(AttemptRequest attemptRequest, AttemptListener listener);

    /** Releases the state that a read attempt left or may have left at an engine. */
    void release(Endpoint endpoint, String attemptId);

    /** Requests an engine's load report. */
    void probe(Endpoint endpoint, ProbeListener listener);

    /** Receives the result of a probe. */
    interface ProbeListener {
        /**
         * Called when the probe has ended; may be omitted if the probe could not be sent for a
         * local reason.
         *
         * @param succeeded whether the engine sent a valid response in time
         * @param report the engine's load report; null if the probe failed or the engine has no
         *     report yet
         */
        void completed(boolean succeeded, LoadReport report);
    }

    /**
     * Whether any release is requested or in progress; always false for a client that does not
     * report this.
     */
    default boolean hasPendingReleases() {
        return false;
    }

    /** Closes all connections. */
    void close();

    /** An attempt in flight. */
    interface AttemptHandle {
        /** Cancels the attempt; its outcome is still reported unless it has ended already. */
        void cancel();

        /** Cancels the attempt because its deadline passed. */
        void expire();

        /** Pauses delivery of the answer, with back pressure on the engine's socket. */
        void pause();

        /** Resumes delivery after {@link #pause()}. */
        void resume();
    }
}
