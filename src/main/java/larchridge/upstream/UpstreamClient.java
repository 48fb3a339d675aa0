package larchridge.upstream;

import larchridge.state.LoadReport;

/**
 * Sends attempts, releases and load probes to engines. One implementation for each protocol, one
 * instance for each router; all calls are made on the router's event loop.
 */
public interface UpstreamClient {
    /** Sends an attempt that reads a prompt and leaves its state at the reader. */
    AttemptHandle read(AttemptRequest attemptRequest, AttemptListener listener);

    /** Sends an attempt that writes the answer. */
    AttemptHandle write(AttemptRequest attemptRequest, AttemptListener listener);

    /** Releases the state that a read attempt left, or may have left, at an engine. */
    void release(Endpoint endpoint, String attemptId);

    /** Probes an engine for its load. */
    void probe(Endpoint endpoint, ProbeListener listener);

    /** Receives the result of a probe. */
    interface ProbeListener {
        /**
         * The probe ended.
         *
         * @param answered whether the engine answered in time
         * @param report the load that it reported; null if it did not answer, or answered without
         *     knowing its load yet
         */
        void completed(boolean answered, LoadReport report);
    }

    /** Whether a release is pending that no engine has acknowledged yet. */
    default boolean hasPendingReleases() {
        return false;
    }

    /** Closes all connections. */
    void close();

    /** An attempt in flight. */
    interface AttemptHandle {
        /** Cancels the attempt; its outcome is still delivered, unless it was delivered already. */
        void cancel();

        /** Cancels the attempt with the outcome that its time ran out. */
        void expire();

        /** Suspends delivery of the answer, with back pressure to the engine's socket. */
        void pause();

        /** Resumes delivery after {@link #pause()}. */
        void resume();
    }
}
