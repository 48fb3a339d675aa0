package review2;

import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/** What all cases share: the record, free ports, processes that end with the case, and the exit code. */
final class Kit {
    static final int BROKEN = 1;
    static final int HELD = 0;
    static final int NOT_RUN = 2;
    static final String LOOPBACK = "127.0.0.1";

    /** Whether the case causes its disruption. */
    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));

    /** A script runs for 120 s at most. */
    private static final long LONGEST_MS = 110_000;

    private static final long START_NANOS = System.nanoTime();
    private static final List<Process> PROCESSES = new ArrayList<>();
    private static final Random RANDOM = new Random();
    private static final Set<Integer> GIVEN = new HashSet<>();
    private static boolean ending;
    private static Path pids;
    private static PrintWriter record;

    private Kit() {}

    /** The body of a case; returns true if the rule held. */
    interface Body {
        boolean run(Path temporary) throws Exception;
    }

    /** Runs a case and exits with its code; the arguments are the folder of the case and a temporary one. */
    static void run(String[] args, Body body) {
        int code = NOT_RUN;
        String caseFolder = args[0];
        Path temporary = Path.of(args[1]);
        pids = temporary.resolve("pids");
        long script = ProcessHandle.current().parent().map(ProcessHandle::pid).orElse(0L);
        daemon(
                () -> {
                    // The script may be killed: then nobody waits for the case.
                    while (nowMs() < LONGEST_MS
                            && ProcessHandle.current().parent().map(ProcessHandle::pid).orElse(0L) == script) {
                        sleep(200);
                    }
                    log("the case took too long, or its script is gone");
                    killAll();
                    deleteTree(temporary);
                    Runtime.getRuntime().halt(NOT_RUN);
                });
        Runtime.getRuntime().addShutdownHook(new Thread(Kit::killAll));
        try {
            record =
                    new PrintWriter(
                            Files.newBufferedWriter(
                                    Path.of(caseFolder, "record.txt"), StandardCharsets.UTF_8),
                            true);
            log("disruption: " + (TROUBLE ? "yes" : "no (TROUBLE=0)"));
            code = body.run(temporary) ? HELD : BROKEN;
        } catch (Throwable e) {
            log("the case could not run: " + e);
            e.printStackTrace();
        } finally {
            killAll();
            deleteTree(temporary);
            log(code == HELD ? "rule held" : code == BROKEN ? "rule broken" : "not run");
        }
        System.exit(code);
    }

    static void log(String line) {
        String full = String.format(Locale.ROOT, "%10.1f ms  %s", nowMs(), line);
        synchronized (Kit.class) {
            if (record != null) {
                record.println(full);
            }
        }
    }

    /** A line of the record that is also printed. */
    static void say(String line) {
        log(line);
        System.out.println(line);
    }

    static double nowMs() {
        return (System.nanoTime() - START_NANOS) / 1e6;
    }

    static void sleep(double ms) {
        try {
            TimeUnit.MICROSECONDS.sleep((long) (ms * 1000));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** A free port under those that the system gives to outgoing connections; never the same one twice. */
    static synchronized int freePort() {
        for (int i = 0; i < 1000; i++) {
            int port = 11_000 + RANDOM.nextInt(8_000);
            if (GIVEN.add(port) && isFree(port)) {
                return port;
            }
        }
        throw new IllegalStateException("no free port");
    }

    static boolean isFree(int port) {
        try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName(LOOPBACK))) {
            return socket.isBound();
        } catch (IOException e) {
            return false;
        }
    }

    /** Starts a process in the root of the repository; it is killed at the end of the case at the latest. */
    static Process start(ProcessBuilder builder, Path output) throws IOException {
        Process process;
        synchronized (PROCESSES) {
            if (ending) {
                throw new IOException("the case is ending");
            }
            process = builder.redirectErrorStream(true).redirectOutput(output.toFile()).start();
            PROCESSES.add(process);
            // The script ends what is listed here if this process is killed.
            Files.writeString(pids, process.pid() + "\n", StandardOpenOption.CREATE, StandardOpenOption.APPEND);
        }
        log("started process " + process.pid() + ": " + String.join(" ", builder.command()));
        return process;
    }

    private static void killAll() {
        synchronized (PROCESSES) {
            ending = true;
            for (Process process : PROCESSES) {
                process.descendants().forEach(ProcessHandle::destroyForcibly);
                process.destroyForcibly();
            }
            for (Process process : PROCESSES) {
                try {
                    process.waitFor(5, TimeUnit.SECONDS);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            }
        }
    }

    private static void deleteTree(Path folder) {
        try (var paths = Files.walk(folder)) {
            for (Path path : paths.sorted(java.util.Comparator.reverseOrder()).toList()) {
                Files.deleteIfExists(path);
            }
        } catch (IOException e) {
            log("temporary folder not removed: " + e);
        }
    }

    static Thread daemon(Runnable work) {
        Thread thread = new Thread(work);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }
}
