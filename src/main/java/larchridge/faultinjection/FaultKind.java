package larchridge.faultinjection;

/** The kinds of troubles that the rig plays. */
public enum FaultKind {
    /** Links to some engines fall silent with their connections open; they are reset at the end. */
    LINK_SILENT,
    /** Links to some engines are reset, and new connections too. */
    LINK_CUT,
    /** Bytes to and from some engines come one by one. */
    LINK_DRIBBLE,
    /** What goes over some links is late. */
    LINK_DELAY,
    /** Connections to some engines are reset in the middle of a request or of an answer. */
    LINK_RESET,
    /** Resting connections are reset as a request is written to them. */
    LINK_CLOSE_CROSSING,
    /** Engines end and start anew: cold, without their states. */
    ENGINE_RESTART,
    /** Engines are told to drain, and serve again later. */
    ENGINE_DRAIN,
    /** Engines take what comes and answer nothing. */
    ENGINE_HANG,
    /** Engines answer with errors, or decline. */
    ENGINE_ERRORS,
    /** Agents say nothing and learn nothing. */
    AGENT_SILENT,
    /** Agents reset their connections. */
    AGENT_RESET,
    /** Agents answer in small pieces. */
    AGENT_PIECES,
    /** Nodes are told to end, killed when their time is over, and started again. */
    NODE_TERM,
    /** Nodes are killed and started again. */
    NODE_KILL,
    /** Nodes are stopped for up to 0.15 s, again and again. */
    NODE_PAUSE,
    /** Discovery moves, with one signal. */
    CONFIG_MOVE,
    /** Discovery moves with several signals, the first of which find a broken file. */
    CONFIG_BROKEN,
    /** Clients close before their answer. */
    CLIENT_LEAVES,
    /** Clients stop in the middle of a request and stay. */
    CLIENT_STOPS,
    /** Clients connect in a crowd and say nothing. */
    CLIENT_CROWD,
    /** The calls accept, socket and connect fail with errors of this machine. */
    CALLS_FAIL,
    /** Reads and writes are short, waits are interrupted. */
    CALLS_SHORT,
    /** The wall clock steps by up to an hour. */
    CLOCK_STEP;

    boolean needsShim() {
        return this == CALLS_FAIL || this == CALLS_SHORT || this == CLOCK_STEP;
    }
}
