package larchridge.cli;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import larchridge.store.CrashPoints;
import larchridge.store.Store;
import larchridge.systemtest.StoreBenchmark;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Maintains a store of files and batches. */
@Command(
        name = "store",
        mixinStandardHelpOptions = true,
        description = "Verify, repair, copy or restore a store of files and batches.")
final class StoreCommand {
    @Command(
            name = "verify",
            mixinStandardHelpOptions = true,
            description =
                    "Read and check the whole store; also possible while a service uses it, though "
                            + "data that it is currently writing may be reported as unreferenced. "
                            + "Exit code 1: an error was found.")
    int verify(@Parameters(paramLabel = "FOLDER") Path folder) {
        try (Store store = Store.openReadOnly(folder)) {
            List<String> faults = store.verify();
            faults.forEach(System.out::println);
            System.out.println(
                    folder + ": " + (faults.isEmpty() ? "good" : faults.size() + " faults"));
            return faults.isEmpty() ? 0 : 1;
        } catch (IOException e) {
            return printError(e);
        }
    }

    @Command(
            name = "repair",
            mixinStandardHelpOptions = true,
            description =
                    "Remove unreferenced data and recount the references. No service may be using "
                            + "the store. Damaged or missing data is reported. Exit code 1: errors "
                            + "remain.")
    int repair(@Parameters(paramLabel = "FOLDER") Path folder) {
        try (Store store = Store.open(folder, CrashPoints.NONE)) {
            store.repair().forEach(System.out::println);
            List<String> remaining = store.verify();
            remaining.forEach(System.out::println);
            return remaining.isEmpty() ? 0 : 1;
        } catch (IOException e) {
            return printError(e);
        }
    }

    @Command(
            name = "snapshot",
            mixinStandardHelpOptions = true,
            description =
                    "Make a running service copy its store to the folder STORE.snapshots/NAME.")
    int snapshot(
            @Option(
                            names = "--admin",
                            required = true,
                            paramLabel = "HOST:PORT",
                            description = "admin address of the service")
                    String admin,
            @Parameters(paramLabel = "NAME") String name)
            throws InterruptedException {
        try {
            HttpResponse<String> response =
                    HttpClient.newHttpClient()
                            .send(
                                    HttpRequest.newBuilder(
                                                    URI.create(
                                                            "http://"
                                                                    + admin
                                                                    + "/store/snapshot?name="
                                                                    + name))
                                            .timeout(Duration.ofMinutes(10))
                                            .POST(HttpRequest.BodyPublishers.noBody())
                                            .build(),
                                    HttpResponse.BodyHandlers.ofString());
            System.out.print(response.body());
            return response.statusCode() == 200 ? 0 : 1;
        } catch (IOException | IllegalArgumentException e) {
            System.err.println("larchridge: " + admin + " did not respond: " + e.getMessage());
            return 1;
        }
    }

    @Command(
            name = "restore",
            mixinStandardHelpOptions = true,
            description =
                    "Copy a snapshot to a folder that does not exist yet, and verify the copy.")
    int restore(
            @Parameters(paramLabel = "SNAPSHOT") Path from,
            @Parameters(paramLabel = "FOLDER") Path to) {
        if (Files.exists(to)) {
            System.err.println(to + ": already exists; nothing was changed");
            return 1;
        }
        try {
            Store.copyFolder(from, to);
        } catch (IOException e) {
            return printError(e);
        }
        return verify(to);
    }

    @Command(
            name = "cost",
            mixinStandardHelpOptions = true,
            description =
                    "Write the given number of line records to a new store, abandon it without "
                            + "closing, and print how long reopening it takes and its size on "
                            + "disk.")
    int cost(
            @Parameters(paramLabel = "FOLDER") Path folder,
            @Option(names = "--lines", defaultValue = "1000") int lines) {
        if (Files.exists(folder)) {
            System.err.println(folder + ": already exists; nothing was changed");
            return 1;
        }
        try {
            System.out.println(StoreBenchmark.measure(folder, lines));
            return 0;
        } catch (IOException e) {
            return printError(e);
        }
    }

    private static int printError(IOException e) {
        System.err.println(e.getMessage());
        return 1;
    }
}
