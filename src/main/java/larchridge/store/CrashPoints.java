package larchridge.store;

import java.io.IOException;

/**
 * Called before the store writes and after it commits to its database. Tests end the process there
 * or simulate a disk failure; in production {@link #NONE} is used.
 */
public interface CrashPoints {
    CrashPoints NONE = name -> {};

    /** Called at the named point; throws to simulate a disk failure. */
    void reached(String name) throws IOException;
}
