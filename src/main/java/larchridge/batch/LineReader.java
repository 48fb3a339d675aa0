package larchridge.batch;

import java.io.EOFException;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.util.Arrays;

/**
 * Reads a file line by line, starting at the offset of any line. A line ends with LF or CR LF, the
 * last one also at the end of the file. A byte order mark at the start of the file is skipped, as
 * are blank lines. A line over the size limit is returned without its bytes.
 */
final class LineReader implements AutoCloseable {
    private static final int BUFFER_BYTES = 1 << 16;

    private final FileChannel file;
    private final int maxLineBytes;
    private final ByteBuffer buffer = ByteBuffer.allocate(BUFFER_BYTES);
    private long nextIndex;
    private long nextOffset;

    /** The file offset up to which the buffer has been filled. */
    private long bufferEndOffset;

    private byte[] lineBuffer = new byte[BUFFER_BYTES];

    /**
     * A line: its index in the file from 0, its offset and that of the next line, and its bytes
     * without the line ending. The bytes are null if the line is over the size limit or if only its
     * position is kept.
     */
    @SuppressWarnings("ArrayRecordComponent") // Lines are not compared.
    record Line(long index, long offset, long nextOffset, byte[] bytes) {}

    LineReader(FileChannel file, int maxLineBytes, long firstIndex, long startOffset) {
        this.file = file;
        this.maxLineBytes = maxLineBytes;
        this.nextIndex = firstIndex;
        this.nextOffset = startOffset;
        bufferEndOffset = startOffset;
        buffer.limit(0);
    }

    /** The next line that is not blank, or null at the end of the file. */
    Line next() throws IOException {
        while (true) {
            Line line = nextLine();
            if (line == null || line.bytes == null || !isBlank(line.bytes)) {
                return line;
            }
        }
    }

    private Line nextLine() throws IOException {
        long startOffset = nextOffset;
        int length = 0;
        long bytesRead = 0;
        int lastByte = -1;
        while (true) {
            if (!buffer.hasRemaining() && !fill()) {
                if (bytesRead == 0) {
                    return null;
                }
                break;
            }
            byte b = buffer.get();
            nextOffset++;
            bytesRead++;
            if (b == '\n') {
                break;
            }
            lastByte = b;
            if (length <= maxLineBytes) {
                if (length == lineBuffer.length) {
                    lineBuffer = Arrays.copyOf(lineBuffer, Math.min(maxLineBytes + 2, 2 * length));
                }
                lineBuffer[length++] = b;
            }
        }
        int textStart =
                startOffset == 0
                                && length >= 3
                                && lineBuffer[0] == (byte) 0xEF
                                && lineBuffer[1] == (byte) 0xBB
                                && lineBuffer[2] == (byte) 0xBF
                        ? 3
                        : 0;
        boolean tooLong = length > maxLineBytes;
        int textEnd = lastByte == '\r' && !tooLong ? length - 1 : length;
        return new Line(
                nextIndex++,
                startOffset,
                nextOffset,
                tooLong
                        ? null
                        : Arrays.copyOfRange(lineBuffer, Math.min(textStart, textEnd), textEnd));
    }

    private boolean fill() throws IOException {
        buffer.clear();
        // Guards against: the channel's own position is shared by all its readers; rereading one
        // line would move the others.
        int count = file.read(buffer, bufferEndOffset);
        bufferEndOffset += Math.max(0, count);
        buffer.flip();
        return count > 0;
    }

    /** Reads the bytes of a line again. */
    static byte[] reread(FileChannel file, Line line, int maxLineBytes) throws IOException {
        try (LineReader lines = new LineReader(file, maxLineBytes, line.index, line.offset)) {
            Line read = lines.nextLine();
            if (read == null) {
                throw new EOFException(
                        "line " + (line.index + 1) + " is beyond the end of the file");
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

    /** Leaves the channel open; it belongs to its opener. */
    @Override
    public void close() {
        lineBuffer = new byte[0];
    }
}
