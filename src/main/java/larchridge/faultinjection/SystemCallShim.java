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
 * The preloaded library that makes system calls of a node fail and shifts its wall clock, with its
 * control file.
 */
final class SystemCallShim {
    /**
     * Transient local errors. accept: ECONNABORTED, ENFILE, EMFILE, ENOBUFS; socket: ENFILE,
     * EMFILE, ENOBUFS; connect: EADDRNOTAVAIL, ENETUNREACH, ENOBUFS.
     */
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

    /** Compiles the library with the machine's C compiler. Returns null if this fails. */
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

    /** Creates the control file of one node. */
    static SystemCallShim forNode(Path library, Path controlFile) throws IOException {
        Files.write(controlFile, new byte[CONTROL_BYTES]);
        try (FileChannel channel =
                FileChannel.open(controlFile, StandardOpenOption.READ, StandardOpenOption.WRITE)) {
            MappedByteBuffer control =
                    channel.map(FileChannel.MapMode.READ_WRITE, 0, CONTROL_BYTES);
            control.order(ByteOrder.nativeOrder());
            return new SystemCallShim(library, controlFile, control);
        }
    }

    void addTo(java.util.Map<String, String> environment) {
        environment.put("LD_PRELOAD", library.toAbsolutePath().toString());
        environment.put("LARCHRIDGE_SHIM", controlFile.toAbsolutePath().toString());
    }

    /**
     * Sets how many in a thousand calls of accept, socket and connect fail; the index selects the
     * error of each.
     */
    void failCalls(int perMille, int errorIndex) {
        put(0, perMille, ACCEPT_ERRORS[errorIndex % ACCEPT_ERRORS.length]);
        put(8, perMille, SOCKET_ERRORS[errorIndex % SOCKET_ERRORS.length]);
        put(16, perMille, CONNECT_ERRORS[errorIndex % CONNECT_ERRORS.length]);
    }

    /**
     * Sets how many in a thousand reads and writes are short; half as many waits are interrupted.
     */
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
