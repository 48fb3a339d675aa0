package larchridge.node;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;

/**
 * Starts and stops a node that serves no clients, so that the JVM can archive the classes that
 * nodes load ({@code deploy/node.sh archive}).
 */
public final class NodeTrainingRun {
    private static final String CONFIGURATION =
            "{\"name\":\"training\",\"listen\":\"127.0.0.1:0\",\"discovery\":\"127.0.0.1:1\","
                    + "\"seed\":\"1\",\"limits\":{\"cores\":1,\"memory_mb\":192,\"sockets\":256},"
                    + "\"known\":{\"index\":1,\"snapshot\":true,\"endpoints\":[]},\"settings\":"
                    + WarmupSettings.JSON
                    + "}";

    private NodeTrainingRun() {}

    /** Runs the node from start to shutdown; returns the exit code. */
    public static int run() {
        try {
            Path file = Files.createTempFile("larchridge-training", ".json");
            try {
                Files.writeString(file, CONFIGURATION);
                Node node = Node.open(Map.of("PROXY_CONFIG", file.toString()));
                node.shutDown();
                node.awaitTermination();
            } finally {
                Files.delete(file);
            }
            return 0;
        } catch (NodeStartException | IOException e) {
            throw new IllegalStateException(
                    "a training run needs a temporary directory and the loopback interface", e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return 1;
        }
    }
}
