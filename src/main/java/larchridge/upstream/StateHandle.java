package larchridge.upstream;

/** Identifies a read state held at a reader; opaque to all but the client that returned it. */
public interface StateHandle {}
