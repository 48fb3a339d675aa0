package larchridge.benchlink;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/** Builds the reply to one batch directly as bytes; the buffer is reused for the next reply. */
final class ReplyWriter {
    private static final int INITIAL_BYTES = 1 << 14;

    /** A char takes at most 3 bytes in UTF-8; a surrogate pair takes 4, which is 2 per char. */
    private static final int MAX_BYTES_PER_CHAR = 3;

    private static final int FIRST_NON_ASCII = 128;
    private static final int MICROS_PER_MS = 1000;
    private static final int MICROS_PER_SECOND = 1_000_000;
    private static final int FRACTION_DIGITS = 6;
    private static final long NO_INSTANCE = -1;

    private byte[] bytes = new byte[INITIAL_BYTES];
    private int length;
    private long currentInstance = NO_INSTANCE;

    /** Begins a line of an instance, after a line that names the instance if it has changed. */
    ReplyWriter line(long instance, String name) {
        if (currentInstance != instance) {
            currentInstance = instance;
            text("FOR who=").integer(instance).end();
        }
        return text(name);
    }

    ReplyWriter text(String text) {
        int size = text.length();
        ensureCapacity(size * MAX_BYTES_PER_CHAR);
        for (int i = 0; i < size; i++) {
            char c = text.charAt(i);
            if (c >= FIRST_NON_ASCII) {
                byte[] rest = text.substring(i).getBytes(StandardCharsets.UTF_8);
                System.arraycopy(rest, 0, bytes, length, rest.length);
                length += rest.length;
                return this;
            }
            bytes[length++] = (byte) c;
        }
        return this;
    }

    ReplyWriter integer(long value) {
        return text(Long.toString(value));
    }

    /** Writes milliseconds as seconds, rounded to the microsecond. */
    ReplyWriter seconds(double ms) {
        long micros = Math.round(ms * MICROS_PER_MS);
        if (micros < 0) {
            text("-");
            micros = -micros;
        }
        integer(micros / MICROS_PER_SECOND).text(".");
        long fraction = micros % MICROS_PER_SECOND;
        ensureCapacity(FRACTION_DIGITS);
        for (long unit = MICROS_PER_SECOND / 10; unit > 0; unit /= 10) {
            bytes[length++] = (byte) ('0' + fraction / unit % 10);
        }
        return this;
    }

    /** Ends the current line. */
    void end() {
        ensureCapacity(1);
        bytes[length++] = '\n';
    }

    /** Ends the reply. */
    void finish() {
        text("NEXT").end();
    }

    /** Writes the reply out and begins an empty one. */
    void writeTo(OutputStream out) throws IOException {
        out.write(bytes, 0, length);
        length = 0;
        currentInstance = NO_INSTANCE;
    }

    private void ensureCapacity(int additional) {
        if (length + additional > bytes.length) {
            bytes = Arrays.copyOf(bytes, Math.max(bytes.length * 2, length + additional));
        }
    }
}
