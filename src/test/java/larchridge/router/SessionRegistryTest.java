package larchridge.router;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotSame;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;

import larchridge.state.CachedPrefix;
import org.junit.jupiter.api.Test;

class SessionRegistryTest {
    private final SessionRegistry sessions = new SessionRegistry();

    private static GenerationRequest turn(String previousTurn, String turn) {
        return GenerationRequest.builder().session("s1", previousTurn, turn).build();
    }

    private static GenerationRequest withSharedPrefix(String prefixId) {
        return GenerationRequest.builder().sharedPrefix(prefixId, 100).build();
    }

    @Test
    void nextTurnContinuesItsSession() {
        CachedPrefix session = sessions.sessionOf(turn(null, "turn 1"));
        assertEquals("s1", session.id);
        assertSame(session, sessions.sessionOf(turn("turn 1", "turn 2")));
        assertSame(session, sessions.sessionOf(turn("turn 2", "turn 3")));
    }

    @Test
    void retriedTurnContinuesItsSession() {
        CachedPrefix session = sessions.sessionOf(turn(null, "turn 1"));
        assertSame(session, sessions.sessionOf(turn(null, "turn 1")));
    }

    @Test
    void unknownPreviousTurnStartsANewSession() {
        CachedPrefix session = sessions.sessionOf(turn(null, "turn 1"));
        assertNotSame(session, sessions.sessionOf(turn("elsewhere", "turn 2")));
    }

    @Test
    void sessionsShareAPrefixById() {
        CachedPrefix prefix = sessions.sharedPrefixOf(withSharedPrefix("p"));
        assertSame(prefix, sessions.sharedPrefixOf(withSharedPrefix("p")));
        assertNotSame(prefix, sessions.sharedPrefixOf(withSharedPrefix("q")));
        assertNull(sessions.sharedPrefixOf(withSharedPrefix(null)));
    }
}
