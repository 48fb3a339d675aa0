package larchridge.upstream;

/**
 * Identifies a read state held at a reader; opaque except to the {@link UpstreamClient} that
 * created it.
 */
public interface StateHandle {}
