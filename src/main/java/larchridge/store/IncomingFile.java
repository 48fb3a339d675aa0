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
 * Bytes on their way to becoming a file: written aside, digested as they come, synced before anyone
 * is told of them.
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
            throw new IllegalStateException("every Java has SHA-256", e);
        }
    }

    public void write(byte[] data, int offset, int length) throws IOException {
        out.write(data, offset, length);
        digest.update(data, offset, length);
        bytes += length;
    }

    public long bytes() {
        return bytes;
    }

    /** Makes the bytes last; may take long, and so belongs on a thread that may wait. */
    public IncomingFile sync() throws IOException {
        crashPoints.reached("sync incoming");
        out.flush();
        channel.force(true);
        channel.close();
        hexDigest = HexFormat.of().formatHex(digest.digest());
        return this;
    }

    String digest() {
        if (hexDigest == null) {
            throw new IllegalStateException("not synced");
        }
        return hexDigest;
    }

    /** Lets go of the bytes, unless they have become a file. */
    @Override
    public void close() throws IOException {
        channel.close();
        Files.deleteIfExists(path);
    }
}
