package larchridge.router;

import java.util.Locale;

/** Why an attempt in flight is cancelled. */
enum CancellationReason {
    /** The client has disconnected, or its request has got its final answer. */
    REQUEST_OVER,
    /** The client's deadline has come. */
    TIME_UP,
    /** The stream has been silent for too long. */
    SILENT_STREAM,
    /** The policy prefers another attempt of the generation. */
    REPLACED;

    /** The reason as a tag of metrics. */
    String tag() {
        return name().toLowerCase(Locale.ROOT);
    }
}
