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
    private static final int CONTROL_BYTES = 40;
    private static final int WALL_OFFSET_POSITION = 32;
    private static final long COMPILE_TIMEOUT_SECONDS = 60;

    private final Path library;
    private final Path controlFile;
    private final MappedByteBuffer control;

    private SystemCallShim(Path library, Path controlFile, MappedByteBuffer control) {
        this.library = library;
        this.controlFile = controlFile;
        this.control = control;
    }

    /** Builds the library with the machine's C compiler; null where there is none. */
    static Path compile(Path folder) throws IOException, InterruptedException {
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
            boolean done = compiler.waitFor(COMPILE_TIMEOUT_SECONDS, TimeUnit.SECONDS);
            return done && compiler.exitValue() == 0 ? library : null;
        } catch (IOException e) {
            return null;
        }
    }

    /** A control file for one node. */
    static SystemCallShim forNode(Path library, Path controlFile) throws IOException {
        Files.write(controlFile, new byte[CONTROL_BYTES]);
        try (FileChannel channel =
                FileChannel.open(controlFile, StandardOpenOption.READ, StandardOpenOption.WRITE)) {
            MappedByteBuffer control = channel.map(FileChannel.MapMode.READ_WRITE, 0, CONTROL_BYTES);
            control.order(ByteOrder.nativeOrder());
            return new SystemCallShim(library, controlFile, control);
        }
    }

    void addTo(java.util.Map<String, String> environment) {
        environment.put("LD_PRELOAD", library.toAbsolutePath().toString());
        environment.put("LARCHRIDGE_SHIM", controlFile.toAbsolutePath().toString());
    }

    /** So many in a thousand calls of accept, socket and connect fail; which chooses the errors. */
    void failCalls(int perMille, int errorIndex) {
        put(0, perMille, ACCEPT_ERRORS[errorIndex % ACCEPT_ERRORS.length]);
        put(8, perMille, SOCKET_ERRORS[errorIndex % SOCKET_ERRORS.length]);
        put(16, perMille, CONNECT_ERRORS[errorIndex % CONNECT_ERRORS.length]);
    }

    /** So many in a thousand reads and writes are short, and half as many waits are interrupted. */
    void shortenCalls(int perMille) {
        put(24, perMille, perMille / 2);
    }

    void setWallClockOffset(long offsetMs) {
        control.putLong(WALL_OFFSET_POSITION, offsetMs * 1_000_000);
    }

    private void put(int position, int first, int second) {
        control.putInt(position + 4, second);
        control.putInt(position, first);
    }
}
