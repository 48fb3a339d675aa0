package larchridge.faultinjection;

import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteOrder;
import java.nio.MappedByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.concurrent.TimeUnit;

/**
 * The preloaded library that makes a node's system calls fail and its wall clock step, and its
 * control file.
 */
final class SystemCallShim {
    /** Errors of accept, socket and connect that are this machine's and pass. */
    private static final int[] ACCEPT_ERRORS = {103, 23, 24, 105};

    private static final int[] SOCKET_ERRORS = {23, 24, 105};
    private static final int[] CONNECT_ERRORS = {99, 101, 105};
    private static final int BYTES = 40;
    private static final int WALL_OFFSET_AT = 32;
    private static final long COMPILE_SECONDS = 60;

    private final Path library;
    private final Path file;
    private final MappedByteBuffer control;

    private SystemCallShim(Path library, Path file, MappedByteBuffer control) {
        this.library = library;
        this.file = file;
        this.control = control;
    }

    /** Builds the library with the machine's C compiler; null where there is none. */
    static Path build(Path folder) throws IOException, InterruptedException {
        Path source = folder.resolve("shim.c");
        try (InputStream in = SystemCallShim.class.getResourceAsStream("/faults/shim.c")) {
            Files.write(source, in.readAllBytes());
        }
        Path library = folder.resolve("shim.so");
        try {
            Process compiler =
                    new ProcessBuilder(
                                    "cc",
                                    "-shared",
                                    "-fPIC",
                                    "-O2",
                                    "-o",
                                    library.toString(),
                                    source.toString(),
                                    "-ldl")
                            .redirectErrorStream(true)
                            .redirectOutput(folder.resolve("shim.log").toFile())
                            .start();
            boolean done = compiler.waitFor(COMPILE_SECONDS, TimeUnit.SECONDS);
            return done && compiler.exitValue() == 0 ? library : null;
        } catch (IOException e) {
            return null;
        }
    }

    /** A control file for one node. */
    static SystemCallShim forNode(Path library, Path file) throws IOException {
        Files.write(file, new byte[BYTES]);
        try (FileChannel channel =
                FileChannel.open(file, StandardOpenOption.READ, StandardOpenOption.WRITE)) {
            MappedByteBuffer control = channel.map(FileChannel.MapMode.READ_WRITE, 0, BYTES);
            control.order(ByteOrder.nativeOrder());
            return new SystemCallShim(library, file, control);
        }
    }

    void addTo(java.util.Map<String, String> environment) {
        environment.put("LD_PRELOAD", library.toAbsolutePath().toString());
        environment.put("LARCHRIDGE_SHIM", file.toAbsolutePath().toString());
    }

    /** So many in a thousand calls of accept, socket and connect fail; which chooses the errors. */
    void failCalls(int share, int which) {
        put(0, share, ACCEPT_ERRORS[which % ACCEPT_ERRORS.length]);
        put(8, share, SOCKET_ERRORS[which % SOCKET_ERRORS.length]);
        put(16, share, CONNECT_ERRORS[which % CONNECT_ERRORS.length]);
    }

    /** So many in a thousand reads and writes are short, and half as many waits are interrupted. */
    void shorten(int share) {
        put(24, share, share / 2);
    }

    void stepWallClock(long milliseconds) {
        control.putLong(WALL_OFFSET_AT, milliseconds * 1_000_000);
    }

    private void put(int at, int first, int second) {
        control.putInt(at + 4, second);
        control.putInt(at, first);
    }
}
