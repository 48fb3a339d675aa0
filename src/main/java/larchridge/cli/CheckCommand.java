package larchridge.cli;

import java.nio.file.Path;
import java.util.concurrent.Callable;
import larchridge.inventory.EngineListWatcher;
import larchridge.inventory.InvalidEngineListException;
import larchridge.site.InvalidSiteException;
import larchridge.site.Site;
import larchridge.site.SiteReader;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** Checks a site file and the engine list that it names. */
@Command(
        name = "check",
        mixinStandardHelpOptions = true,
        description =
                "Check a site file and its engine list; each error names file, line and field.")
final class CheckCommand implements Callable<Integer> {
    @Parameters(paramLabel = "FILE", description = "site file")
    private Path file;

    @Override
    public Integer call() {
        try {
            Site site = SiteReader.read(file);
            int engines = new EngineListWatcher(site.engineListFile, null).readInitial().size();
            System.out.println(
                    file
                            + ": valid; "
                            + site.routers
                            + " routers, "
                            + site.offeringsByModel.size()
                            + " models, "
                            + engines
                            + " engines");
            return 0;
        } catch (InvalidSiteException | InvalidEngineListException e) {
            System.err.println(e.getMessage());
            return 1;
        }
    }
}
