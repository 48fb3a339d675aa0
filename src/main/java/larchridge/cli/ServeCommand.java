package larchridge.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import larchridge.inventory.InvalidEngineListException;
import larchridge.ledger.LedgerException;
import larchridge.serve.Service;
import larchridge.serve.ServiceWarmup;
import larchridge.site.InvalidSiteException;
import larchridge.site.Site;
import larchridge.site.SiteReader;
import larchridge.store.CrashPoints;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Serves a site. */
@Command(
        name = "serve",
        mixinStandardHelpOptions = true,
        description =
                "Serve a site until SIGTERM; open generations may finish within the stop time of "
                        + "the site.")
final class ServeCommand implements Callable<Integer> {
    private static final Logger LOG = LoggerFactory.getLogger(ServeCommand.class);
    private static final long POLL_INTERVAL_MS = 500;

    @Option(
            names = "--site",
            required = true,
            paramLabel = "FILE",
            description = "site file, protobuf text format")
    private Path site;

    @Option(
            names = "--rehearse",
            defaultValue = "1500",
            paramLabel = "N",
            description =
                    "warm-up generations before the service listens; 0 for none (default: "
                            + "${DEFAULT-VALUE})")
    private int warmupGenerations;

    @Option(
            names = "--halt-at-write",
            hidden = true,
            description = "for crash tests: halt the process at the store write with this number")
    private int haltAtWrite;

    private CrashPoints haltAtConfiguredWrite() {
        AtomicInteger writesLeft = new AtomicInteger(haltAtWrite);
        return name -> {
            if (writesLeft.decrementAndGet() == 0) {
                Runtime.getRuntime().halt(137);
            }
        };
    }

    @Override
    public Integer call() throws InterruptedException {
        Site loadedSite;
        Service service;
        try {
            loadedSite = SiteReader.read(site);
            if (warmupGenerations > 0) {
                ServiceWarmup.warmUp(warmupGenerations);
            }
            service =
                    Service.start(
                            loadedSite,
                            haltAtWrite > 0 ? haltAtConfiguredWrite() : CrashPoints.NONE);
        } catch (InvalidSiteException | InvalidEngineListException | LedgerException e) {
            System.err.println(e.getMessage());
            return 1;
        } catch (IllegalStateException e) {
            System.err.println("larchridge: " + e.getMessage());
            return 1;
        }
        CountDownLatch stopped = new CountDownLatch(1);
        Runtime.getRuntime()
                .addShutdownHook(
                        new Thread(
                                () -> {
                                    try {
                                        service.stop();
                                    } catch (InterruptedException e) {
                                        Thread.currentThread().interrupt();
                                    }
                                    stopped.countDown();
                                },
                                "stop"));
        watchBudgets(service);
        System.out.println("serving on " + loadedSite.host + " ports " + service.ports());
        stopped.await();
        return 0;
    }

    /**
     * Reloads the budgets when the site file changes while the service runs. An invalid file
     * changes nothing.
     */
    private void watchBudgets(Service service) {
        Thread watcher =
                new Thread(
                        () -> {
                            FileTime lastModified = modified();
                            while (true) {
                                try {
                                    Thread.sleep(POLL_INTERVAL_MS);
                                } catch (InterruptedException e) {
                                    return;
                                }
                                FileTime modifiedNow = modified();
                                if (modifiedNow != null && !modifiedNow.equals(lastModified)) {
                                    lastModified = modifiedNow;
                                    try {
                                        service.updateBudgets(SiteReader.read(site));
                                        LOG.info("budgets reloaded");
                                    } catch (IllegalStateException e) {
                                        // The service has stopped.
                                        return;
                                    } catch (InvalidSiteException e) {
                                        LOG.atError()
                                                .addKeyValue("fault", e.getMessage())
                                                .log("invalid site file; keeping budgets");
                                    }
                                }
                            }
                        },
                        "budgets");
        watcher.setDaemon(true);
        watcher.start();
    }

    private FileTime modified() {
        try {
            return Files.getLastModifiedTime(site);
        } catch (IOException e) {
            return null;
        }
    }
}
