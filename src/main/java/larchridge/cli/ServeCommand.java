package larchridge.cli;

import java.nio.file.Path;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import larchridge.inventory.BadList;
import larchridge.serve.Service;
import larchridge.site.BadSite;
import larchridge.site.Site;
import larchridge.site.SiteReader;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Serves a site. */
@Command(name = "serve", mixinStandardHelpOptions = true,
        description = "Serve a site until SIGTERM; open generations may end within the site's stop time.")
final class ServeCommand implements Callable<Integer> {
    @Option(names = "--site", required = true, paramLabel = "FILE", description = "site file, protobuf text format")
    private Path site;

    @Override
    public Integer call() throws InterruptedException {
        Site read;
        Service service;
        try {
            read = SiteReader.read(site);
            service = Service.start(read);
        } catch (BadSite | BadList e) {
            System.err.println(e.getMessage());
            return 1;
        } catch (IllegalStateException e) {
            System.err.println("larchridge: " + e.getMessage());
            return 1;
        }
        CountDownLatch over = new CountDownLatch(1);
        Runtime.getRuntime().addShutdownHook(new Thread(() -> {
            try {
                service.stop();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            over.countDown();
        }, "stop"));
        System.out.println("serving on " + read.host + " ports " + service.ports());
        over.await();
        return 0;
    }
}
