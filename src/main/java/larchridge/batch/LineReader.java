package larchridge.batch;

import java.io.EOFException;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.util.Arrays;

/**
 * Reads a file line by line from any byte that begins one. A line ends with LF or CR LF, the last
 * one also with the file; a byte-order mark at the start is passed over, as are blank lines. A line
 * over the limit is told as such, not held.
 */
final class LineReader implements AutoCloseable {
    private static final int STEP = 1 << 16;

    private final FileChannel file;
    private final int mostBytes;
    private final ByteBuffer buffer = ByteBuffer.allocate(STEP);
    private long number;
    private long offset;

    /** How far the buffer has been filled. */
    private long filled;

    private byte[] held = new byte[STEP];

    /**
     * A line: its number in the file from 0, where it begins and the next does, and its bytes, null
     * if they are too many.
     */
    @SuppressWarnings("ArrayRecordComponent") // Bytes of a line as read; lines are not compared.
    record Line(long number, long offset, long next, byte[] bytes) {}

    LineReader(FileChannel file, int mostBytes, long number, long offset) {
        this.file = file;
        this.mostBytes = mostBytes;
        this.number = number;
        this.offset = offset;
        filled = offset;
        buffer.limit(0);
    }

    /** The next line that is not blank, or null at the end. */
    Line next() throws IOException {
        while (true) {
            Line line = any();
            if (line == null || line.bytes == null || !isBlank(line.bytes)) {
                return line;
            }
        }
    }

    private Line any() throws IOException {
        long from = offset;
        int length = 0;
        long all = 0;
        int last = -1;
        while (true) {
            if (!buffer.hasRemaining() && !fill()) {
                if (all == 0) {
                    return null;
                }
                break;
            }
            byte b = buffer.get();
            offset++;
            all++;
            if (b == '\n') {
                break;
            }
            last = b;
            if (length <= mostBytes) {
                if (length == held.length) {
                    held = Arrays.copyOf(held, Math.min(mostBytes + 2, 2 * length));
                }
                held[length++] = b;
            }
        }
        int begin =
                from == 0
                                && length >= 3
                                && held[0] == (byte) 0xEF
                                && held[1] == (byte) 0xBB
                                && held[2] == (byte) 0xBF
                        ? 3
                        : 0;
        boolean tooLong = length > mostBytes;
        int end = last == '\r' && !tooLong ? length - 1 : length;
        return new Line(
                number++,
                from,
                offset,
                tooLong ? null : Arrays.copyOfRange(held, Math.min(begin, end), end));
    }

    private boolean fill() throws IOException {
        buffer.clear();
        // Guards against: the channel's own position is shared by all who read it; one line read
        // again
        // would move the others.
        int got = file.read(buffer, filled);
        filled += Math.max(0, got);
        buffer.flip();
        return got > 0;
    }

    /** Reads one line again. */
    static byte[] again(FileChannel file, Line line, int mostBytes) throws IOException {
        try (LineReader lines = new LineReader(file, mostBytes, line.number, line.offset)) {
            Line read = lines.any();
            if (read == null) {
                throw new EOFException("line " + (line.number + 1) + " is no longer there");
            }
            return read.bytes;
        }
    }

    private static boolean isBlank(byte[] bytes) {
        for (byte b : bytes) {
            if (b != ' ' && b != '\t' && b != '\r') {
                return false;
            }
        }
        return true;
    }

    /** The channel belongs to whoever opened it. */
    @Override
    public void close() {
        held = new byte[0];
    }
}
