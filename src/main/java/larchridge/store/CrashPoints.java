package larchridge.store;

import java.io.IOException;

/**
 * The places at which the store writes; told just before each. In service nobody listens; tests end
 * a process there, or make the disk fail.
 */
public interface CrashPoints {
    CrashPoints NONE = name -> {};

    void reached(String name) throws IOException;
}
