package larchridge.node;

import larchridge.router.Scheduler;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The graceful end of a node, step by step: it stops being ready, accepts late requests for a
 * while, closes the listener, lets the router answer and release all, stops discovery, and ends
 * once no client is connected.
 */
final class ShutdownSequence {
    private static final Logger LOG = LoggerFactory.getLogger(ShutdownSequence.class);

    /**
     * For this long after the signal, clients may still connect. What comes later than 0.7 s after
     * it must not be found in progress when the process is killed; the signal itself may be handled
     * 0.15 s late.
     */
    private static final double ACCEPT_GRACE_MS = 500;

    private final Scheduler scheduler;
    private final Runnable onComplete;

    /** Set on the event loop; the thread that starts the node reads it. */
    private volatile boolean started;

    ShutdownSequence(Scheduler scheduler, Runnable onComplete) {
        this.scheduler = scheduler;
        this.onComplete = onComplete;
    }

    /** Whether the node is shutting down; on any thread. */
    boolean hasStarted() {
        return started;
    }

    /** Begins the end of a node whose components may not be built yet, or never; only once. */
    void start(NodeComponents components) {
        if (started) {
            return;
        }
        started = true;
        LOG.info("shutting down");
        if (components == null) {
            // The signal came before anything was built, and nothing will be.
            onComplete.run();
            return;
        }
        components.server().startDraining();
        scheduler.schedule(ACCEPT_GRACE_MS, () -> stopAccepting(components));
    }

    private void stopAccepting(NodeComponents components) {
        components.server().stopAccepting();
        components.server().startDraining();
        components.router().shutDown(() -> finish(components));
    }

    private void finish(NodeComponents components) {
        components.discovery().stop();
        // Guards against: the end of the process closes over what clients still send, and resets
        // answers on their way.
        components.server().startDraining();
        components
                .server()
                .whenNoConnections(
                        () -> {
                            components.audit().checkAtShutdown(components);
                            onComplete.run();
                        });
    }
}
