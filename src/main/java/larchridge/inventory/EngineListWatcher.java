package larchridge.inventory;

import io.vertx.core.AsyncResult;
import io.vertx.core.Vertx;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Polls the file of the engine list and delivers each new valid version. An invalid or missing file
 * is logged once and changes nothing: the last valid list stays in force. The file is read on a
 * worker thread, never on an event loop.
 */
public final class EngineListWatcher {
    private static final Logger LOG = LoggerFactory.getLogger(EngineListWatcher.class);

    private final Path file;
    private final Consumer<List<EngineEntry>> listener;
    private byte[] lastContent = new byte[0];
    private String lastError = "";
    private boolean pollInProgress;
    private Vertx vertx;
    private long timer;

    /**
     * Creates a watcher that does not poll yet.
     *
     * @param listener receives each new version; called on the event loop of the poll timer, not on
     *     those of the routers
     */
    public EngineListWatcher(Path file, Consumer<List<EngineEntry>> listener) {
        this.file = file;
        this.listener = listener;
    }

    /** Reads the list for the start of the process; the listener is not notified of it. */
    public List<EngineEntry> readInitial() throws InvalidEngineListException {
        try {
            lastContent = Files.readAllBytes(file);
            return parse(lastContent);
        } catch (IOException e) {
            throw new InvalidEngineListException(file + ": can't be read (" + e + ")", e);
        }
    }

    /** Starts polling the file. */
    public void start(Vertx pollingVertx, double pollMs) {
        vertx = pollingVertx;
        timer = vertx.setPeriodic(Math.max(1, (long) pollMs), timerId -> startPoll());
    }

    /** Stops polling the file; a version that is being read may still be delivered. */
    public void stop() {
        if (vertx != null) {
            vertx.cancelTimer(timer);
        }
    }

    private void startPoll() {
        if (!pollInProgress) {
            pollInProgress = true;
            vertx.executeBlocking(this::readIfChanged, false).onComplete(this::pollEnded);
        }
    }

    private void pollEnded(AsyncResult<List<EngineEntry>> poll) {
        pollInProgress = false;
        if (poll.failed()) {
            LOG.error("failed to poll the engine list", poll.cause());
        } else if (poll.result() != null) {
            listener.accept(poll.result());
        }
    }

    /** The new version of the list; null if the file is unchanged or invalid. */
    private List<EngineEntry> readIfChanged() {
        try {
            byte[] content = Files.readAllBytes(file);
            if (Arrays.equals(content, lastContent)) {
                return null;
            }
            lastContent = content;
            List<EngineEntry> entries = parse(content);
            lastError = "";
            LOG.atInfo().addKeyValue("engines", entries.size()).log("engine list loaded");
            return entries;
        } catch (InvalidEngineListException e) {
            logError(e.getMessage());
        } catch (NoSuchFileException e) {
            logError(file + ": missing");
        } catch (IOException e) {
            logError(file + ": can't be read (" + e + ")");
        }
        return null;
    }

    private List<EngineEntry> parse(byte[] content) throws InvalidEngineListException {
        return EngineListReader.read(file.toString(), new String(content, StandardCharsets.UTF_8));
    }

    private void logError(String error) {
        if (!error.equals(lastError)) {
            lastError = error;
            LOG.atError()
                    .addKeyValue("fault", error)
                    .log("engine list can't be used; keeping the last valid one");
        }
    }
}
