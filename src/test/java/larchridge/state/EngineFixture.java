package larchridge.state;

/**
 * Puts an engine into a state that a test begins with, past the events that would bring it about.
 */
public final class EngineFixture {
    private EngineFixture() {}

    /** Sets this router's unread prompt tokens there. */
    public static void setUnreadTokens(Engine engine, double tokens) {
        engine.unreadTokens = tokens;
    }

    /** Sets this router's answers there. */
    public static void setStreams(Engine engine, int streams) {
        engine.streams = streams;
    }

    /** Sets other routers' tokens there. */
    public static void setOtherRoutersTokens(Engine engine, double tokens) {
        engine.otherRoutersTokens = tokens;
    }

    /** Sets other routers' answers there. */
    public static void setOtherRoutersStreams(Engine engine, double streams) {
        engine.otherRoutersStreams = streams;
    }

    /** Sets other routers' unread prompt tokens there. */
    public static void setOtherRoutersUnreadTokens(Engine engine, double tokens) {
        engine.otherRoutersUnreadTokens = tokens;
    }

    /** Sets when it reported last. */
    public static void setLastReportMs(Engine engine, double ms) {
        engine.lastReportMs = ms;
    }

    /** Sets when anything was heard from it. */
    public static void setLastContactMs(Engine engine, double ms) {
        engine.lastContactMs = ms;
    }

    /** Sets until when it is ejected. */
    public static void setEjectedUntilMs(Engine engine, double ms) {
        engine.ejectedUntilMs = ms;
    }

    /** Sets what it does. */
    public static void setRole(Engine engine, Role role) {
        engine.role = role;
    }

    /** Sets its rack. */
    public static void setRack(Engine engine, long rack) {
        engine.rack = rack;
    }
}
