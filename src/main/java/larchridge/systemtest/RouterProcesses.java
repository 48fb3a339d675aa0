package larchridge.systemtest;

import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Routers in processes of their own, so that one can be killed with SIGKILL and restarted without
 * its in-memory state.
 */
final class RouterProcesses implements SystemTest.Routers {
    private static final long START_TIMEOUT_MS = 30_000;

    private final Path folder;
    private final List<Integer> ports = new ArrayList<>();
    private final List<Path> siteFiles = new ArrayList<>();
    private final List<Process> processes = new ArrayList<>();

    /**
     * Starts the routers.
     *
     * @param site the site configuration of one router, without its listen block
     */
    RouterProcesses(Path folder, String site, int routerCount)
            throws IOException, InterruptedException {
        this.folder = folder;
        for (int i = 0; i < routerCount; i++) {
            int port = findFreePort();
            Path file = folder.resolve("site" + i + ".textproto");
            Files.writeString(
                    file,
                    "listen { host: \"127.0.0.1\" port: "
                            + port
                            + " }\nledger { folder: \"ledger"
                            + i
                            + "\" answer_waits_ms: 500 }\nseed: "
                            + (i + 1)
                            + "\nfronts_of_service: "
                            + routerCount
                            + "\n"
                            + site);
            ports.add(port);
            siteFiles.add(file);
            processes.add(launch(i));
        }
        for (int i = 0; i < routerCount; i++) {
            awaitListening(i);
        }
    }

    static int findFreePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0)) {
            return socket.getLocalPort();
        }
    }

    private Process launch(int index) throws IOException {
        return launch(siteFiles.get(index), new File(folder.toFile(), "front" + index + ".log"));
    }

    /** Serves a site in a new process. */
    static Process launch(Path site, File log, String... extraArguments) throws IOException {
        List<String> command =
                new ArrayList<>(
                        List.of(
                                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                                "-Xmx300m",
                                "-cp",
                                System.getProperty("java.class.path"),
                                "larchridge.cli.Main",
                                "serve",
                                "--site",
                                site.toString()));
        command.addAll(List.of(extraArguments));
        return new ProcessBuilder(command)
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(log))
                .start();
    }

    private void awaitListening(int index) throws IOException, InterruptedException {
        long deadlineNanos = System.nanoTime() + START_TIMEOUT_MS * 1_000_000;
        while (System.nanoTime() < deadlineNanos) {
            try (Socket socket = new Socket()) {
                socket.connect(
                        new InetSocketAddress(InetAddress.getLoopbackAddress(), ports.get(index)),
                        200);
                return;
            } catch (IOException e) {
                if (!processes.get(index).isAlive()) {
                    throw new IOException(
                            "router "
                                    + index
                                    + " did not start; see "
                                    + folder.resolve("front" + index + ".log"),
                            e);
                }
                // A process does not report that it listens; poll its port until the timeout.
                TimeUnit.MILLISECONDS.sleep(20);
            }
        }
        throw new IOException("router " + index + " does not listen");
    }

    /**
     * Kills a router without a shutdown, as if its machine had lost power. {@link #restart} starts
     * it again.
     */
    void kill(int index) {
        processes.get(index).destroyForcibly();
    }

    void restart(int index) {
        try {
            processes.get(index).waitFor(5, TimeUnit.SECONDS);
            processes.set(index, launch(index));
        } catch (IOException e) {
            throw new IllegalStateException("router " + index + " did not restart", e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Returns the ledger folders of all routers; read them only after the routers have stopped. */
    List<Path> ledgerFolders() {
        List<Path> folders = new ArrayList<>();
        for (int i = 0; i < ports.size(); i++) {
            folders.add(folder.resolve("ledger" + i));
        }
        return folders;
    }

    @Override
    public List<Integer> ports() {
        return ports;
    }

    @Override
    public String metrics() {
        return "";
    }

    @Override
    public void stop() throws InterruptedException {
        for (Process process : processes) {
            process.destroy();
        }
        for (Process process : processes) {
            if (!process.waitFor(10, TimeUnit.SECONDS)) {
                process.destroyForcibly();
            }
        }
    }
}
