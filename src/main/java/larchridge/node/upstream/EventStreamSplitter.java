package larchridge.node.upstream;

import io.netty.buffer.ByteBuf;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Cuts a stream of events into whole ones. Events go on byte by byte as they came; comments do not,
 * but a load report in one is kept. What is no event is noise, and nothing after it is believed.
 * Without I/O, clock or threads.
 */
final class EventStreamSplitter {
    private static final byte[] DONE = "data: [DONE]".getBytes(StandardCharsets.US_ASCII);
    private static final byte[] DATA = "data: {".getBytes(StandardCharsets.US_ASCII);

    private final int mostBytes;
    private final String reportName;
    private byte[] held = new byte[512];
    private int length;
    private boolean done;
    private boolean noise;
    private String report;

    /**
     * A cutter for one stream.
     *
     * @param mostBytes the longest event that is waited for
     * @param reportName what a load report's comment begins with, after the colon
     */
    EventStreamSplitter(int mostBytes, String reportName) {
        this.mostBytes = mostBytes;
        this.reportName = reportName;
    }

    /** Takes what came and gives the events that are now whole, or null if there are none. */
    byte[] feed(ByteBuf in) {
        int size = in.readableBytes();
        if (noise || size == 0) {
            return null;
        }
        // Guards against: one endless line would fill the memory; what is longer than any event is
        // noise.
        if (length + size > held.length) {
            held = Arrays.copyOf(held, Math.max(held.length * 2, length + size));
        }
        in.getBytes(in.readerIndex(), held, length, size);
        int from = Math.max(0, length - 1);
        length += size;
        ByteArrayOutputStream whole = null;
        int start = 0;
        for (int i = from; i + 1 < length && !noise; i++) {
            if (held[i] == '\n' && held[i + 1] == '\n') {
                if (i + 2 - start > mostBytes) {
                    noise = true;
                    break;
                }
                if (take(start, i)) {
                    whole = whole == null ? new ByteArrayOutputStream(i + 2 - start) : whole;
                    whole.write(held, start, i + 2 - start);
                }
                start = i + 2;
                i++;
            }
        }
        System.arraycopy(held, start, held, 0, length - start);
        length -= start;
        noise |= length > mostBytes;
        return whole == null ? null : whole.toByteArray();
    }

    /**
     * Whether the block of lines between two places is an event to go on; notes noise, the end and
     * a report.
     */
    private boolean take(int start, int end) {
        if (held[start] == ':') {
            String comment =
                    new String(held, start + 1, end - start - 1, StandardCharsets.ISO_8859_1)
                            .strip();
            if (comment.startsWith(reportName + ":")) {
                report = comment.substring(reportName.length() + 1).strip();
            }
            return false;
        }
        if (done) {
            // Guards against: what follows the end of an answer is somebody else's.
            noise = true;
            return false;
        }
        if (end - start == DONE.length && starts(start, end, DONE)) {
            done = true;
            return true;
        }
        if (!starts(start, end, DATA) || held[end - 1] != '}') {
            noise = true;
            return false;
        }
        for (int i = start; i < end; i++) {
            if (held[i] >= 0 && held[i] < ' ') {
                noise = true;
                return false;
            }
        }
        return true;
    }

    private boolean starts(int start, int end, byte[] text) {
        if (end - start < text.length) {
            return false;
        }
        return Arrays.equals(held, start, start + text.length, text, 0, text.length);
    }

    boolean isNoise() {
        return noise;
    }

    /** Whether the last event was the one that ends an answer, with nothing half after it. */
    boolean isWhole() {
        return done && !noise && length == 0;
    }

    /** The load report that came as a comment, or null. */
    String report() {
        return report;
    }
}
