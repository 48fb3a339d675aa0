package larchridge.router;

import larchridge.state.CachedPrefix;
import larchridge.state.PrefixRegistry;

/** Finds the session and the shared prefix of a request, which engines may have cached. */
final class SessionRegistry {
    private final PrefixRegistry sessions = new PrefixRegistry();
    private final PrefixRegistry sharedPrefixes = new PrefixRegistry();

    /**
     * Returns the session of the previous turn; a first turn starts a new session. A repeated turn
     * gets the session that it had the first time.
     */
    CachedPrefix sessionOf(GenerationRequest generationRequest) {
        CachedPrefix session =
                generationRequest.previousTurnDigest() == null
                        ? null
                        : sessions.get(generationRequest.previousTurnDigest());
        if (session == null) {
            session = sessions.get(generationRequest.turnDigest());
        }
        if (session == null) {
            session = new CachedPrefix(generationRequest.sessionId());
        }
        sessions.put(generationRequest.turnDigest(), session);
        return session;
    }

    /** Returns the prefix that the request shares with other sessions, or null. */
    CachedPrefix sharedPrefixOf(GenerationRequest generationRequest) {
        return generationRequest.sharedPrefixId() == null
                ? null
                : sharedPrefixes.computeIfAbsent(
                        generationRequest.sharedPrefixId(), CachedPrefix::new);
    }
}
