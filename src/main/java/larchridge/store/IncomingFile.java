package larchridge.store;

import java.io.BufferedOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * Content that is not yet a file of the store: an upload, or the output or error file of a batch.
 * It is written to a temporary file and digested as it arrives, and must be synced before it is
 * passed to {@link Store#addFile} or {@link Store#finishBatch}.
 */
public final class IncomingFile implements AutoCloseable {
    final Path path;
    private final FileChannel channel;
    private final OutputStream out;
    private final MessageDigest digest;
    private final CrashPoints crashPoints;
    private long bytes;
    private String hexDigest;

    IncomingFile(Path path, CrashPoints crashPoints) throws IOException {
        this.path = path;
        this.crashPoints = crashPoints;
        channel = FileChannel.open(path, StandardOpenOption.CREATE_NEW, StandardOpenOption.WRITE);
        out =
                new BufferedOutputStream(
                        new OutputStream() {
                            @Override
                            public void write(int b) throws IOException {
                                write(new byte[] {(byte) b}, 0, 1);
                            }

                            @Override
                            public void write(byte[] data, int offset, int length)
                                    throws IOException {
                                ByteBuffer buffer = ByteBuffer.wrap(data, offset, length);
                                while (buffer.hasRemaining()) {
                                    channel.write(buffer);
                                }
                            }
                        },
                        1 << 16);
        try {
            digest = MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("the Java runtime has no SHA-256", e);
        }
    }

    /** Appends to the content. */
    public void write(byte[] data, int offset, int length) throws IOException {
        out.write(data, offset, length);
        digest.update(data, offset, length);
        bytes += length;
    }

    /** The number of bytes written so far. */
    public long bytes() {
        return bytes;
    }

    /**
     * Ends the content and syncs it to disk. Blocks, possibly for long, so it must not be called on
     * an event loop.
     */
    public IncomingFile sync() throws IOException {
        crashPoints.reached("sync incoming");
        out.flush();
        channel.force(true);
        channel.close();
        hexDigest = HexFormat.of().formatHex(digest.digest());
        return this;
    }

    /** The SHA-256 of the content in lower-case hex; only after {@link #sync}. */
    String digest() {
        if (hexDigest == null) {
            throw new IllegalStateException("the incoming file is not synced");
        }
        return hexDigest;
    }

    /** Deletes the temporary file, unless its content was moved into the store. */
    @Override
    public void close() throws IOException {
        channel.close();
        Files.deleteIfExists(path);
    }
}
