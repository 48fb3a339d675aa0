package larchridge.node;

import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import larchridge.node.upstream.ForwardingUpstreamClient;

/** Reads counters of a started node on its event loop; callable from any thread. */
final class NodeInspector {
    private final Node node;

    NodeInspector(Node node) {
        this.node = node;
    }

    private <T> T callOnEventLoop(Callable<T> read)
            throws InterruptedException, ExecutionException {
        return node.loop().submit(read).get();
    }

    /** Number of client connections. */
    int connections() throws InterruptedException, ExecutionException {
        return callOnEventLoop(() -> node.components().server().connectionCount());
    }

    /** Number of engines on the list. */
    int engines() throws InterruptedException, ExecutionException {
        return callOnEventLoop(
                () -> {
                    int[] count = new int[1];
                    node.components().router().forEachEngine((endpoint, engine) -> count[0]++);
                    return count[0];
                });
    }

    /** Number of requests that the upstream client still tracks. */
    int openRequests() throws InterruptedException, ExecutionException {
        return callOnEventLoop(() -> node.components().upstream().trackedRequestCount());
    }

    /** Number of invariant violations so far. */
    long violations() {
        return node.components() == null ? 0 : node.components().audit().violations();
    }

    /**
     * Number of attempts in flight by the policy's count, or -1 if the upstream client's count
     * differs.
     */
    int attemptsInFlight() throws InterruptedException, ExecutionException {
        ForwardingUpstreamClient upstream = node.components().upstream();
        return callOnEventLoop(
                () -> {
                    int[] attempts = new int[1];
                    node.components()
                            .router()
                            .forEachEngine(
                                    (endpoint, engine) -> {
                                        boolean same =
                                                engine.attempts().size()
                                                        == upstream.inFlightAttempts(endpoint);
                                        attempts[0] =
                                                same && attempts[0] >= 0
                                                        ? attempts[0] + engine.attempts().size()
                                                        : -1;
                                    });
                    return attempts[0];
                });
    }
}
