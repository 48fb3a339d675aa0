package larchridge.node;

import java.io.IOException;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import larchridge.upstream.Endpoint;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Opens the listener and retries while the address is in use: the previous process may have been
 * killed and not have exited yet.
 */
final class ListenRetry {
    private static final Logger LOG = LoggerFactory.getLogger(ListenRetry.class);
    private static final long RETRY_DELAY_MS = 50;
    private static final long TIMEOUT_MS = 15_000;

    private ListenRetry() {}

    /** Binds a listener to an address. */
    interface Binder {
        void bind(String host, int port) throws IOException, InterruptedException;
    }

    /**
     * Returns once the listener is open or the start is cancelled. Blocks, so it must not run on
     * the event loop.
     */
    static void listen(Endpoint address, Binder binder, BooleanSupplier cancelled)
            throws NodeStartException, InterruptedException {
        long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MS);
        while (!cancelled.getAsBoolean()) {
            try {
                binder.bind(address.host(), address.port());
                return;
            } catch (IOException e) {
                if (System.nanoTime() > deadlineNanos) {
                    throw new NodeStartException(
                            "listen: " + address + " is not available (" + e.getMessage() + ")");
                }
                LOG.atDebug()
                        .addKeyValue("fault", e.getMessage())
                        .log("the listen address is taken; retrying");
                TimeUnit.MILLISECONDS.sleep(RETRY_DELAY_MS);
            }
        }
    }
}
