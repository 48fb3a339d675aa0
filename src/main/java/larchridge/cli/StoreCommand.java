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

/** Looks after a store of files and batches. */
@Command(
        name = "store",
        mixinStandardHelpOptions = true,
        description = "Verify, repair, copy or restore a store of batches.")
final class StoreCommand {
    @Command(
            name = "verify",
            mixinStandardHelpOptions = true,
            description =
                    "Read everything and compare; also while a "
                            + "service uses it (what it is just placing may show as bytes that no file names). Exit code 1: something is wrong.")
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
                    "Remove bytes that no file names and count "
                            + "names anew; no service may use it. What is damaged or missing is told, not hidden. Exit code 1: some is left.")
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
                    "Have a running service copy its store into the folder STORE.snapshots/NAME.")
    int snapshot(
            @Option(
                            names = "--admin",
                            required = true,
                            paramLabel = "HOST:PORT",
                            description = "its operators' address")
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
            System.err.println("larchridge: " + admin + " does not answer: " + e.getMessage());
            return 1;
        }
    }

    @Command(
            name = "restore",
            mixinStandardHelpOptions = true,
            description = "Copy a snapshot to a folder that is not there yet, and verify the copy.")
    int restore(
            @Parameters(paramLabel = "SNAPSHOT") Path from,
            @Parameters(paramLabel = "FOLDER") Path to) {
        if (Files.exists(to)) {
            System.err.println(to + ": is there already; nothing was changed");
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
                    "Write so many records of lines into a new store, "
                            + "end without closing it, and tell how long opening it anew takes and what it takes on disk.")
    int cost(
            @Parameters(paramLabel = "FOLDER") Path folder,
            @Option(names = "--lines", defaultValue = "1000") int lines) {
        if (Files.exists(folder)) {
            System.err.println(folder + ": is there already; nothing was changed");
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
