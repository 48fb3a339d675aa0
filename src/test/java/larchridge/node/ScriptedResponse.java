package larchridge.node;

import java.util.function.Supplier;

/**
 * What a scripted server sends for one request.
 *
 * @param bytes sent at once; null for silence
 * @param keepsConnection whether the connection stays open
 * @param continuation gives what is sent behind them, and may block until it is there
 */
record ScriptedResponse(String bytes, boolean keepsConnection, Supplier<String> continuation) {
    ScriptedResponse(String bytes, boolean keepsConnection) {
        this(bytes, keepsConnection, () -> "");
    }
}
