package larchridge.cli;

import java.util.concurrent.Callable;
import larchridge.node.NodeMain;
import picocli.CommandLine.Command;

/** Runs a router node of a platform. */
@Command(
        name = "node",
        mixinStandardHelpOptions = true,
        description = {
            "Run a router node of a platform, configured by PROXY_CONFIG and related environment "
                    + "variables.",
            "SIGTERM shuts it down gracefully, SIGHUP reloads the configuration."
        })
final class NodeCommand implements Callable<Integer> {
    @Override
    public Integer call() {
        return NodeMain.run(System.getenv(), System.err);
    }
}
