package larchridge.upstream;

/** Asked at the last moment before an attempt is written. */
public interface SendCheck {
    /** Why it must not be written any more, or null if it may. */
    SendRejection rejection();
}
