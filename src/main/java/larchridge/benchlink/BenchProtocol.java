package larchridge.benchlink;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.util.HashMap;
import java.util.Map;

/**
 * Reads batches of messages, passes each message to the simulated router that it is addressed to,
 * and writes one reply for each batch. Not safe for use by several threads.
 */
public final class BenchProtocol {
    private static final double MS_PER_SECOND = 1000;

    /** Positioned at the current message. */
    private final MessageReader messageReader;

    private final OutputStream out;
    private final ReplyWriter reply = new ReplyWriter();
    private final Map<Long, BenchRouter> routers = new HashMap<>();

    /** Serves the protocol over two streams; closes neither. */
    public BenchProtocol(InputStream in, OutputStream out) {
        this.messageReader = new MessageReader(in);
        this.out = out;
    }

    /**
     * Serves batches until the input ends.
     *
     * @throws InvalidMessageException if a message violates the protocol
     */
    public void run() throws IOException, InvalidMessageException {
        while (messageReader.advance()) {
            if (messageReader.isEmpty()) {
                continue;
            }
            if (!messageReader.is("SYNC")) {
                throw messageReader.invalid("a batch begins with SYNC");
            }
            readBatch(messageReader.decimal("at_time_s") * MS_PER_SECOND);
            reply.finish();
            reply.writeTo(out);
            out.flush();
        }
    }

    private void readBatch(double nowMs) throws IOException, InvalidMessageException {
        BenchRouter router = null;
        while (true) {
            if (!messageReader.advance()) {
                throw new InvalidMessageException(
                        messageReader.lineNumber() + 1,
                        "the input ends inside a batch; expected FLUSH");
            }
            if (messageReader.is("FLUSH")) {
                return;
            }
            if (messageReader.isEmpty()) {
                continue;
            }
            if (messageReader.is("INSTANCE")) {
                router = router(messageReader.integer("who"));
            } else if (router == null) {
                throw messageReader.invalid(
                        "no INSTANCE line before it; expected INSTANCE who=...");
            } else {
                router.handle(messageReader, nowMs);
            }
        }
    }

    private BenchRouter router(long instance) {
        BenchRouter router = routers.get(instance);
        if (router == null) {
            router = new BenchRouter(instance, reply);
            routers.put(instance, router);
        }
        return router;
    }
}
