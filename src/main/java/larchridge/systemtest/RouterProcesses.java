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
 * Fronts as processes of their own, one each, so that one can be killed outright and come back with
 * nothing.
 */
final class RouterProcesses implements SystemTest.Fronts {
    private static final long START_MS = 30_000;

    private final Path folder;
    private final List<Integer> ports = new ArrayList<>();
    private final List<Path> sites = new ArrayList<>();
    private final List<Process> running = new ArrayList<>();

    /** Site: the text of a site file of one front, without its listen block. */
    RouterProcesses(Path folder, String site, int fronts) throws IOException, InterruptedException {
        this.folder = folder;
        for (int i = 0; i < fronts; i++) {
            int port = free();
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
                            + fronts
                            + "\n"
                            + site);
            ports.add(port);
            sites.add(file);
            running.add(launch(i));
        }
        for (int i = 0; i < fronts; i++) {
            await(i);
        }
    }

    static int free() throws IOException {
        try (ServerSocket socket = new ServerSocket(0)) {
            return socket.getLocalPort();
        }
    }

    private Process launch(int front) throws IOException {
        return launch(sites.get(front), new File(folder.toFile(), "front" + front + ".log"));
    }

    /** Serves a site in a process of its own. */
    static Process launch(Path site, File log, String... more) throws IOException {
        List<String> words =
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
        words.addAll(List.of(more));
        return new ProcessBuilder(words)
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(log))
                .start();
    }

    private void await(int front) throws IOException, InterruptedException {
        long end = System.nanoTime() + START_MS * 1_000_000;
        while (System.nanoTime() < end) {
            try (Socket socket = new Socket()) {
                socket.connect(
                        new InetSocketAddress(InetAddress.getLoopbackAddress(), ports.get(front)),
                        200);
                return;
            } catch (IOException e) {
                if (!running.get(front).isAlive()) {
                    throw new IOException(
                            "front "
                                    + front
                                    + " did not start; see "
                                    + folder.resolve("front" + front + ".log"),
                            e);
                }
                // Nobody tells when a process listens; it is asked until it does or its time is up.
                TimeUnit.MILLISECONDS.sleep(20);
            }
        }
        throw new IOException("front " + front + " does not listen");
    }

    /**
     * Ends a front at once, as a machine that loses power would; started again after a time by
     * {@link #again}.
     */
    void kill(int front) {
        running.get(front).destroyForcibly();
    }

    void again(int front) {
        try {
            running.get(front).waitFor(5, TimeUnit.SECONDS);
            running.set(front, launch(front));
        } catch (IOException e) {
            throw new IllegalStateException("front " + front + " did not start again", e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** The ledgers of all fronts; to be read once they have stopped. */
    List<Path> ledgers() {
        List<Path> all = new ArrayList<>();
        for (int i = 0; i < ports.size(); i++) {
            all.add(folder.resolve("ledger" + i));
        }
        return all;
    }

    @Override
    public List<Integer> ports() {
        return ports;
    }

    @Override
    public String figures() {
        return "";
    }

    @Override
    public void stop() throws InterruptedException {
        for (Process process : running) {
            process.destroy();
        }
        for (Process process : running) {
            if (!process.waitFor(10, TimeUnit.SECONDS)) {
                process.destroyForcibly();
            }
        }
    }
}
