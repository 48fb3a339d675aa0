package larchridge.cli;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.util.concurrent.Callable;
import larchridge.benchlink.BenchProtocol;
import larchridge.benchlink.InvalidMessageException;
import picocli.CommandLine.Command;

/** Makes the routing decisions for the routers of a bench. */
@Command(
        name = "benchlink",
        mixinStandardHelpOptions = true,
        description =
                "Make the routing decisions for the routers of a bench, over standard input and "
                        + "output.")
final class BenchlinkCommand implements Callable<Integer> {
    @Override
    public Integer call() {
        return run(System.in, System.out);
    }

    static int run(InputStream in, OutputStream out) {
        try {
            new BenchProtocol(in, out).run();
            return 0;
        } catch (InvalidMessageException e) {
            System.err.println("larchridge: " + e.getMessage());
            return 1;
        } catch (IOException e) {
            System.err.println("larchridge: connection to the bench failed: " + e.getMessage());
            return 1;
        }
    }
}
