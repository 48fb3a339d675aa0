package larchridge.inventory;

import io.vertx.core.Vertx;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Follows the engine list's file: looks at it every so often and tells what a new good version
 * says. A bad or missing file is logged once and changes nothing: the last good list stays. Reading
 * happens off the loops.
 */
public final class EngineListWatcher {
    private static final Logger LOG = LoggerFactory.getLogger(EngineListWatcher.class);

    private final Path file;
    private final Consumer<List<EngineEntry>> told;
    private byte[] seen = new byte[0];
    private String lastFault = "";
    private boolean looking;
    private Vertx vertx;
    private long timer;

    public EngineListWatcher(Path file, Consumer<List<EngineEntry>> told) {
        this.file = file;
        this.told = told;
    }

    /**
     * The list as it is now, for the start; later versions go to the consumer, on a loop of its
     * own.
     */
    public List<EngineEntry> readInitial() throws InvalidEngineListException {
        try {
            seen = Files.readAllBytes(file);
            return EngineListReader.read(
                    file.toString(), new String(seen, java.nio.charset.StandardCharsets.UTF_8));
        } catch (IOException e) {
            throw new InvalidEngineListException(file + ": can't be read (" + e + ")");
        }
    }

    /** Ends the following; what is being read is dropped. */
    public void stop() {
        if (vertx != null) {
            vertx.cancelTimer(timer);
        }
    }

    public void start(Vertx on, double pollMs) {
        vertx = on;
        timer =
                vertx.setPeriodic(
                        Math.max(1, (long) pollMs),
                        due -> {
                            if (looking) {
                                return;
                            }
                            looking = true;
                            vertx.executeBlocking(this::look, false)
                                    .onComplete(
                                            done -> {
                                                looking = false;
                                                if (done.succeeded() && done.result() != null) {
                                                    told.accept(done.result());
                                                } else if (done.failed()) {
                                                    LOG.error(
                                                            "engine list not followed",
                                                            done.cause());
                                                }
                                            });
                        });
    }

    private List<EngineEntry> look() {
        try {
            byte[] now = Files.readAllBytes(file);
            if (Arrays.equals(now, seen)) {
                return null;
            }
            seen = now;
            List<EngineEntry> rows =
                    EngineListReader.read(
                            file.toString(),
                            new String(now, java.nio.charset.StandardCharsets.UTF_8));
            lastFault = "";
            LOG.atInfo().addKeyValue("engines", rows.size()).log("engine list taken");
            return rows;
        } catch (InvalidEngineListException e) {
            fault(e.getMessage());
        } catch (NoSuchFileException e) {
            fault(file + ": missing");
        } catch (IOException e) {
            fault(file + ": can't be read (" + e + ")");
        }
        return null;
    }

    private void fault(String fault) {
        if (!fault.equals(lastFault)) {
            lastFault = fault;
            LOG.atError().addKeyValue("fault", fault).log("engine list kept as it was");
        }
    }
}
