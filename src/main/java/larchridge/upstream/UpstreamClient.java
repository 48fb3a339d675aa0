package larchridge.upstream;

import larchridge.state.LoadReport;

/** How engines are spoken to; one implementation a protocol, one instance a front. */
public interface UpstreamClient {
    /** Sends an attempt that reads a prompt and leaves its state there. */
    AttemptHandle read(AttemptRequest order, AttemptListener hearing);

    /** Sends an attempt that writes the answer. */
    AttemptHandle write(AttemptRequest order, AttemptListener hearing);

    /** Lets go of the state that a read attempt left or may have left. */
    void release(Endpoint endpoint, String rid);

    /** Asks an engine for its load. */
    void probe(Endpoint endpoint, ProbeListener told);

    /** Hears what an engine answered to a probe. */
    interface ProbeListener {
        /**
         * Whether it answered in time, and the load that it told, or null: an engine may answer
         * without knowing it yet.
         */
        void completed(boolean answered, LoadReport report);
    }

    /** Whether a release is under way that no engine has taken yet. */
    default boolean hasPendingReleases() {
        return false;
    }

    /** Closes what is open. */
    void close();

    /** An attempt that is out. */
    interface AttemptHandle {
        /** Stops waiting; its outcome still comes, unless it has come. */
        void cancel();

        /** As cancel, but the outcome says that its time ran out. */
        void expire();

        /** Holds back further pieces, up to the engine's socket. */
        void pause();

        void resume();
    }
}
