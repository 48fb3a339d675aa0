package larchridge.node;

import larchridge.router.Scheduler;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Shuts a node down gracefully, in steps: it fails health checks, accepts late requests for a short
 * time, closes the listener, lets the router answer all requests and release all states, stops
 * discovery, and completes once no client is connected.
 */
final class ShutdownSequence {
    private static final Logger LOG = LoggerFactory.getLogger(ShutdownSequence.class);

    /**
     * Clients may still connect, and their requests are admitted, for this long after SIGTERM. The
     * platform counts a stream as lost if it was accepted over 700 ms after SIGTERM and is still in
     * progress at SIGKILL, and a node may be held up for up to 150 ms between reading its clock and
     * writing: the grace and these 150 ms must stay below 700 ms.
     */
    private static final double ACCEPT_GRACE_MS = 500;

    private final Scheduler scheduler;
    private final Runnable onComplete;

    /** Written on the event loop; also read by the thread that starts the node. */
    private volatile boolean started;

    ShutdownSequence(Scheduler scheduler, Runnable onComplete) {
        this.scheduler = scheduler;
        this.onComplete = onComplete;
    }

    /** Whether the node is shutting down; callable from any thread. */
    boolean hasStarted() {
        return started;
    }

    /**
     * Starts the shutdown of a node; further calls have no effect. The components are null if they
     * are not built yet or could not be built.
     */
    void start(NodeComponents components) {
        if (started) {
            return;
        }
        started = true;
        LOG.info("shutting down");
        if (components == null) {
            // The signal arrived before the components were built; they will not be built any more.
            onComplete.run();
            return;
        }
        components.server().startDraining();
        scheduler.schedule(ACCEPT_GRACE_MS, () -> stopAccepting(components));
    }

    private void stopAccepting(NodeComponents components) {
        components.server().stopAccepting();
        // Closes the connections that have become idle since.
        components.server().startDraining();
        components.router().shutDown(() -> finish(components));
    }

    private void finish(NodeComponents components) {
        components.discovery().stop();
        // Closes the connections that have become idle since.
        components.server().startDraining();
        // Guards against: if the process exits while clients still send, their connections are
        // reset and responses in transit are lost.
        components
                .server()
                .whenNoConnections(
                        () -> {
                            components.audit().checkAtShutdown(components);
                            onComplete.run();
                        });
    }
}
