package larchridge.node;

import java.util.function.Supplier;

/**
 * What a scripted server sends in response to one request.
 *
 * @param bytes sent immediately; null for no response
 * @param keepsConnection whether the connection stays open
 * @param continuation supplies what is sent after the bytes; may block until it is available
 */
record ScriptedResponse(String bytes, boolean keepsConnection, Supplier<String> continuation) {
    ScriptedResponse(String bytes, boolean keepsConnection) {
        this(bytes, keepsConnection, () -> "");
    }
}
