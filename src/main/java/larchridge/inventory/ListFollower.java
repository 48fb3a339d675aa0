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
public final class ListFollower {
    private static final Logger LOG = LoggerFactory.getLogger(ListFollower.class);

    private final Path file;
    private final Consumer<List<Row>> told;
    private byte[] seen = new byte[0];
    private String lastFault = "";
    private boolean looking;
    private Vertx vertx;
    private long timer;

    public ListFollower(Path file, Consumer<List<Row>> told) {
        this.file = file;
        this.told = told;
    }

    /**
     * The list as it is now, for the start; later versions go to the consumer, on a loop of its
     * own.
     */
    public List<Row> first() throws BadList {
        try {
            seen = Files.readAllBytes(file);
            return ListReader.read(
                    file.toString(), new String(seen, java.nio.charset.StandardCharsets.UTF_8));
        } catch (IOException e) {
            throw new BadList(file + ": can't be read (" + e + ")");
        }
    }

    /** Ends the following; what is being read is dropped. */
    public void stop() {
        if (vertx != null) {
            vertx.cancelTimer(timer);
        }
    }

    public void follow(Vertx on, double pollMs) {
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

    private List<Row> look() {
        try {
            byte[] now = Files.readAllBytes(file);
            if (Arrays.equals(now, seen)) {
                return null;
            }
            seen = now;
            List<Row> rows =
                    ListReader.read(
                            file.toString(),
                            new String(now, java.nio.charset.StandardCharsets.UTF_8));
            lastFault = "";
            LOG.atInfo().addKeyValue("engines", rows.size()).log("engine list taken");
            return rows;
        } catch (BadList e) {
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
