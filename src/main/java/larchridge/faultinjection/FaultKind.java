package larchridge.faultinjection;

/** The kinds of faults that a run can inject. */
public enum FaultKind {
    /**
     * Links to some engines discard all data while their connections stay open; the connections are
     * reset when the fault ends.
     */
    LINK_SILENT,
    /** Connections to some engines are reset, and so are new ones. */
    LINK_CUT,
    /** Data to and from some engines arrives in small chunks. */
    LINK_DRIBBLE,
    /** Data on some links is delayed. */
    LINK_DELAY,
    /** Connections to some engines are reset in the middle of a request or response. */
    LINK_RESET,
    /** Idle connections are reset while a request is being written to them. */
    LINK_CLOSE_CROSSING,
    /** Engines restart: cold, and without the read states that they held. */
    ENGINE_RESTART,
    /** Engines are marked as draining and return to service later. */
    ENGINE_DRAIN,
    /** Engines accept requests and never respond. */
    ENGINE_HANG,
    /** Engines respond with errors, or decline requests. */
    ENGINE_ERRORS,
    /** Discovery agents do not respond, so that their nodes receive no updates. */
    AGENT_SILENT,
    /** Discovery agents reset their connections. */
    AGENT_RESET,
    /** Discovery agents send their responses in small fragments. */
    AGENT_PIECES,
    /**
     * Nodes receive SIGTERM, are killed if they outlive the termination grace period, and are
     * restarted.
     */
    NODE_TERM,
    /** Nodes are killed and restarted. */
    NODE_KILL,
    /** Nodes are repeatedly paused for up to 0.15 s. */
    NODE_PAUSE,
    /** The discovery agent moves to another address; the node receives one SIGHUP. */
    CONFIG_MOVE,
    /**
     * The discovery agent moves to another address; the node receives several SIGHUPs, and the
     * first ones find an invalid configuration file.
     */
    CONFIG_BROKEN,
    /** Clients disconnect before their response is complete. */
    CLIENT_LEAVES,
    /** Clients stop sending in the middle of a request and keep the connection open. */
    CLIENT_STOPS,
    /** Many clients connect at the same time and send nothing. */
    CLIENT_CROWD,
    /** The system calls accept, socket and connect fail with local errors. */
    CALLS_FAIL,
    /** Reads and writes on sockets are short, and waits are interrupted. */
    CALLS_SHORT,
    /** The wall clock steps by up to one hour. */
    CLOCK_STEP;

    boolean needsShim() {
        return this == CALLS_FAIL || this == CALLS_SHORT || this == CLOCK_STEP;
    }
}
