package larchridge.upstream;

/** Names a read state that waits at a reader; only the link that gave it can read it. */
public interface StateHandle {}
