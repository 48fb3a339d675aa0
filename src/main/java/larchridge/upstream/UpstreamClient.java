package larchridge.upstream;

import larchridge.state.LoadReport;

/** How engines are spoken to; one implementation a protocol, one instance a front. */
public interface UpstreamClient {
    /** Sends an attempt that reads a prompt and leaves its state there. */
    Flight read(AttemptRequest order, AttemptListener hearing);

    /** Sends an attempt that writes the answer. */
    Flight write(AttemptRequest order, AttemptListener hearing);

    /** Lets go of the state that a read attempt left or may have left. */
    void release(Endpoint spot, String rid);

    /** Asks an engine for its load. */
    void probe(Endpoint spot, Told told);

    /** Hears what an engine answered to a probe. */
    interface Told {
        /**
         * Whether it answered in time, and the load that it told, or null: an engine may answer
         * without knowing it yet.
         */
        void told(boolean answered, LoadReport report);
    }

    /** Whether a release is under way that no engine has taken yet. */
    default boolean isReleasing() {
        return false;
    }

    /** Closes what is open. */
    void close();

    /** An attempt that is out. */
    interface Flight {
        /** Stops waiting; its outcome still comes, unless it has come. */
        void cancel();

        /** As cancel, but the outcome says that its time ran out. */
        void expire();

        /** Holds back further pieces, up to the engine's socket. */
        void pause();

        void resume();
    }
}
