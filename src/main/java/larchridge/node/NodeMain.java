package larchridge.node;

import java.io.PrintStream;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import sun.misc.Signal;

/** Runs a node as the process: signals, start, end and the exit code. */
public final class NodeMain {
    private static final Logger LOG = LoggerFactory.getLogger(NodeMain.class);
    private static final int EXIT_OK = 0;
    private static final int EXIT_FAILURE = 1;

    private NodeMain() {}

    /** Runs a node until it is signalled to end; gives the exit code. */
    public static int run(Map<String, String> environment, PrintStream errors) {
        try {
            Node node = Node.create(environment);
            // Installed before anything slow: without handlers these signals would kill the
            // process.
            Signal.handle(new Signal("TERM"), signal -> node.shutDown());
            Signal.handle(new Signal("HUP"), signal -> node.reload());
            node.start();
            node.awaitTermination();
            return EXIT_OK;
        } catch (NodeStartException e) {
            errors.println("larchridge: " + e.getMessage());
            return EXIT_FAILURE;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return EXIT_FAILURE;
        } catch (RuntimeException | Error e) {
            // Guards against: the thread ends and the event loop goes on, a process that neither
            // serves nor ends.
            LOG.error("the node could not be started", e);
            return EXIT_FAILURE;
        }
    }
}
