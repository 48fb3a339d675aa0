package larchridge.upstream;

/** Decides at the last moment before an attempt is written whether it may still be sent. */
public interface SendCheck {
    /** Why the attempt must not be sent any more, or null if it may be sent. */
    SendRejection rejection();
}
