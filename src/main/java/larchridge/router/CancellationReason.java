package larchridge.router;

import java.util.Locale;

/** Why an in-flight attempt is cancelled. */
enum CancellationReason {
    /** The client disconnected, or the request has its final response. */
    REQUEST_OVER,
    /** The client's deadline has passed. */
    TIME_UP,
    /** The stream has been idle for too long. */
    SILENT_STREAM,
    /** The policy prefers another attempt of the generation. */
    REPLACED;

    /** The name as a metric tag. */
    String tag() {
        return name().toLowerCase(Locale.ROOT);
    }
}
