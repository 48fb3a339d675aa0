package larchridge.state;

/** Sets fields of an engine directly, as the initial state of a test. */
public final class EngineFixture {
    private EngineFixture() {}

    /** Sets this router's unread prompt tokens on the engine. */
    public static void setUnreadTokens(Engine engine, double tokens) {
        engine.unreadTokens = tokens;
    }

    /** Sets the number of answers that this router streams from the engine. */
    public static void setStreams(Engine engine, int streams) {
        engine.streams = streams;
    }

    /** Sets the tokens that the engine holds for other routers' answers. */
    public static void setOtherRoutersHeldTokens(Engine engine, double tokens) {
        engine.otherRoutersHeldTokens = tokens;
    }

    /** Sets the number of answers that other routers stream from the engine. */
    public static void setOtherRoutersStreams(Engine engine, double streams) {
        engine.otherRoutersStreams = streams;
    }

    /** Sets other routers' unread prompt tokens on the engine. */
    public static void setOtherRoutersUnreadTokens(Engine engine, double tokens) {
        engine.otherRoutersUnreadTokens = tokens;
    }

    /** Sets the time of the last load report. */
    public static void setLastReportMs(Engine engine, double ms) {
        engine.lastReportMs = ms;
    }

    /** Sets the time of the last response of the engine. */
    public static void setLastResponseMs(Engine engine, double ms) {
        engine.lastResponseMs = ms;
    }

    /** Sets the end of the engine's ejection. */
    public static void setEjectedUntilMs(Engine engine, double ms) {
        engine.ejectedUntilMs = ms;
    }

    /** Sets the engine's role. */
    public static void setRole(Engine engine, Role role) {
        engine.role = role;
    }

    /** Sets the engine's rack. */
    public static void setRack(Engine engine, long rack) {
        engine.rack = rack;
    }
}
