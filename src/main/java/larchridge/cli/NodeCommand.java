package larchridge.cli;

import java.util.concurrent.Callable;
import larchridge.node.NodeMain;
import picocli.CommandLine.Command;

/** Serves as a front node of a platform. */
@Command(
        name = "node",
        mixinStandardHelpOptions = true,
        description = {
            "Serve as a front node of a platform, as PROXY_CONFIG and the variables beside it say.",
            "SIGTERM ends it in peace, SIGHUP reads the configuration again."
        })
final class NodeCommand implements Callable<Integer> {
    @Override
    public Integer call() {
        return NodeMain.run(System.getenv(), System.err);
    }
}
