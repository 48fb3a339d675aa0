package larchridge.upstream;

/** Identifies a read state held at a reader; opaque except to the client that returned it. */
public interface StateHandle {}
