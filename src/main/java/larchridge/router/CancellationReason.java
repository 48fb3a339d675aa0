package larchridge.router;

import java.util.Locale;

/** Why an attempt that is out is called off. */
enum CancellationReason {
    /** The client has closed, or its request has got its final answer. */
    REQUEST_OVER,
    /** The client's time is up. */
    TIME_UP,
    /** The stream has told nothing for too long. */
    SILENT_STREAM,
    /** The module prefers another attempt of the generation. */
    REPLACED;

    /** The name as a tag of a figure. */
    String tag() {
        return name().toLowerCase(Locale.ROOT);
    }
}
