package larchridge.node.upstream;

import io.netty.buffer.ByteBuf;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import larchridge.node.transport.MemoryBudget;

/**
 * Splits a stream of server-sent events into complete events, which are forwarded byte for byte.
 * Comments are not forwarded; a load report in a comment is stored. Only {@code data: {...}}
 * without control characters and the final {@code data: [DONE]} are accepted; anything else makes
 * the stream malformed, and the rest of it is ignored. Performs no I/O and uses no clock or
 * threads.
 */
final class EventStreamSplitter {
    private static final byte[] DONE = "data: [DONE]".getBytes(StandardCharsets.US_ASCII);
    private static final byte[] DATA_START = "data: {".getBytes(StandardCharsets.US_ASCII);

    private static final byte[] EMPTY = new byte[0];

    /** An event ends with two line feeds. */
    private static final int SEPARATOR_BYTES = 2;

    private static final int INITIAL_BUFFER_BYTES = 512;

    /** A buffer that is over this many times as long as its content shrinks. */
    private static final int SHRINK_FACTOR = 4;

    private final int maxEventBytes;
    private final MemoryBudget memory;
    private final String loadReportName;

    /** Holds {@link #length} bytes of an incomplete event. */
    private byte[] buffer = new byte[INITIAL_BUFFER_BYTES];

    private int length;

    /** What of the buffer is reserved: all beyond its initial size. */
    private int reservedBytes;

    private boolean released;
    private boolean done;
    private boolean malformed;
    private String loadReport;

    /**
     * Creates a splitter for one stream.
     *
     * @param maxEventBytes maximum size of an event
     * @param loadReportName name with which the comment of a load report starts, after the colon
     * @param memory bounds the incomplete events of all streams together
     */
    EventStreamSplitter(int maxEventBytes, String loadReportName, MemoryBudget memory) {
        this.memory = memory;
        this.maxEventBytes = maxEventBytes;
        this.loadReportName = loadReportName;
    }

    /**
     * Appends received bytes; returns the events that are now complete, or null if there are none.
     */
    byte[] feed(ByteBuf received) {
        int size = received.readableBytes();
        if (malformed || released || size == 0) {
            return null;
        }
        int searchFrom = Math.max(0, length - 1);
        append(received, size);
        ByteArrayOutputStream events = null;
        int start = 0;
        int i = searchFrom;
        while (i + 1 < length && !malformed) {
            if (buffer[i] != '\n' || buffer[i + 1] != '\n') {
                i++;
                continue;
            }
            int eventBytes = i + SEPARATOR_BYTES - start;
            if (eventBytes > maxEventBytes) {
                malformed = true;
                break;
            }
            if (accept(start, i)) {
                events = events == null ? new ByteArrayOutputStream(eventBytes) : events;
                events.write(buffer, start, eventBytes);
            }
            start = i + SEPARATOR_BYTES;
            i = start;
        }
        discard(start);
        return events == null ? null : events.toByteArray();
    }

    private void append(ByteBuf received, int size) {
        if (length + size > buffer.length) {
            buffer = Arrays.copyOf(buffer, Math.max(buffer.length * 2, length + size));
        }
        received.getBytes(received.readerIndex(), buffer, length, size);
        length += size;
    }

    /** Removes the bytes of complete events from the buffer. */
    private void discard(int bytes) {
        System.arraycopy(buffer, bytes, buffer, 0, length - bytes);
        length -= bytes;
        if (SHRINK_FACTOR * Math.max(length, INITIAL_BUFFER_BYTES) < buffer.length) {
            buffer = Arrays.copyOf(buffer, Math.max(2 * length, INITIAL_BUFFER_BYTES));
        }
        // Guards against: events without an end would exhaust the memory.
        malformed |= length > maxEventBytes || !tryReserveBuffer();
    }

    private boolean tryReserveBuffer() {
        int neededBytes = Math.max(0, buffer.length - INITIAL_BUFFER_BYTES);
        if (neededBytes <= reservedBytes) {
            memory.release(reservedBytes - neededBytes);
        } else if (!memory.tryReserve(neededBytes - reservedBytes)) {
            return false;
        }
        reservedBytes = neededBytes;
        return true;
    }

    /** Releases the memory of an incomplete event; further bytes are ignored. */
    void release() {
        released = true;
        buffer = EMPTY;
        memory.release(reservedBytes);
        reservedBytes = 0;
    }

    /**
     * Whether the bytes between two positions are an event to forward; also records malformed
     * input, the end of the stream and a load report.
     */
    private boolean accept(int start, int end) {
        if (buffer[start] == ':') {
            parseComment(start, end);
            return false;
        }
        if (done) {
            // Guards against: data after the end of this answer would be forwarded as part of it.
            malformed = true;
            return false;
        }
        if (end - start == DONE.length && startsWith(start, end, DONE)) {
            done = true;
            return true;
        }
        if (!startsWith(start, end, DATA_START)
                || buffer[end - 1] != '}'
                || hasControlCharacter(start, end)) {
            malformed = true;
            return false;
        }
        return true;
    }

    private void parseComment(int start, int end) {
        String text =
                new String(buffer, start + 1, end - start - 1, StandardCharsets.ISO_8859_1).strip();
        if (text.startsWith(loadReportName + ":")) {
            loadReport = text.substring(loadReportName.length() + 1).strip();
        }
    }

    private boolean hasControlCharacter(int start, int end) {
        for (int i = start; i < end; i++) {
            if (buffer[i] >= 0 && buffer[i] < ' ') {
                return true;
            }
        }
        return false;
    }

    private boolean startsWith(int start, int end, byte[] prefix) {
        if (end - start < prefix.length) {
            return false;
        }
        return Arrays.equals(buffer, start, start + prefix.length, prefix, 0, prefix.length);
    }

    boolean isMalformed() {
        return malformed;
    }

    /** Whether the final event of the answer was received, and nothing after it but comments. */
    boolean isComplete() {
        return done && !malformed && length == 0;
    }

    /** Returns the load report from the comments, or null. */
    String loadReport() {
        return loadReport;
    }
}
