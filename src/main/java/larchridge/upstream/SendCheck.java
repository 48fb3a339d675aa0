package larchridge.upstream;

/** Checks immediately before an attempt is written whether it may still be sent. */
public interface SendCheck {
    /** Returns why the attempt must no longer be sent, or null if it may be sent. */
    SendRejection rejection();
}
