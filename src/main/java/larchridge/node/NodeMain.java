package larchridge.node;

import java.io.PrintStream;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import sun.misc.Signal;

/** Runs a node as a process: signal handlers, start, shutdown and the exit code. */
public final class NodeMain {
    private static final Logger LOG = LoggerFactory.getLogger(NodeMain.class);
    private static final int EXIT_OK = 0;
    private static final int EXIT_FAILURE = 1;

    private NodeMain() {}

    /** Runs a node until a signal ends it; returns the exit code. */
    public static int run(Map<String, String> environment, PrintStream errors) {
        try {
            return runToEnd(Node.create(environment));
        } catch (NodeStartException e) {
            errors.println("larchridge: " + e.getMessage());
            return EXIT_FAILURE;
        } catch (RuntimeException | Error e) {
            // Guards against: the main thread ends while the event loop keeps running, and the
            // process neither serves nor exits.
            LOG.error("the node could not be started", e);
            return EXIT_FAILURE;
        }
    }

    private static int runToEnd(Node node) throws NodeStartException {
        // Installed before any slow step: without handlers, these signals would kill the process.
        Signal.handle(new Signal("TERM"), signal -> node.shutDown());
        Signal.handle(new Signal("HUP"), signal -> node.reload());
        // Ends every wait below, for a loop that no longer runs.
        node.onLoopFailure(Thread.currentThread()::interrupt);
        try {
            node.start();
            node.awaitTermination();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        if (node.hasLoopFailed()) {
            LOG.error("an error has ended the event loop; the process exits");
            return EXIT_FAILURE;
        }
        return Thread.currentThread().isInterrupted() ? EXIT_FAILURE : EXIT_OK;
    }
}
