package larchridge.benchlink;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;

/** Reads batches and hands each line to the instance that it names; one flush a reply. */
public final class BenchProtocol {
    private final MessageReader line;
    private final OutputStream out;
    private final Reply reply = new Reply();
    private final Map<Long, BenchRouter> instances = new HashMap<>();

    public BenchProtocol(InputStream in, OutputStream out) {
        this.line = new MessageReader(in);
        this.out = out;
    }

    public void run() throws IOException, InvalidMessageException {
        while (line.advance()) {
            if (line.isEmpty()) {
                continue;
            }
            if (!line.is("SYNC")) {
                throw line.bad("a batch begins with SYNC");
            }
            batch(line.decimal("at_time_s") * 1000);
            reply.finish();
            reply.writeTo(out);
            out.flush();
        }
    }

    private void batch(double nowMs) throws IOException, InvalidMessageException {
        BenchRouter instance = null;
        while (true) {
            if (!line.advance()) {
                throw new InvalidMessageException(
                        line.number() + 1, "the input ends inside a batch; expected FLUSH");
            }
            if (line.is("FLUSH")) {
                return;
            }
            if (line.isEmpty()) {
                continue;
            }
            if (line.is("INSTANCE")) {
                long who = line.whole("who");
                instance = instances.get(who);
                if (instance == null) {
                    instance = new BenchRouter(who, reply);
                    instances.put(who, instance);
                }
            } else if (instance == null) {
                throw line.bad("no INSTANCE line before it; expected INSTANCE who=...");
            } else {
                instance.take(line, nowMs);
            }
        }
    }

    /** The reply under way, written as bytes at once. */
    static final class Reply {
        private byte[] bytes = new byte[1 << 14];
        private int length;
        private long who = -1;

        Reply line(long instance, String name) {
            if (who != instance) {
                who = instance;
                text("FOR who=").whole(instance).end();
            }
            return text(name);
        }

        Reply text(String text) {
            int size = text.length();
            room(size * 3);
            for (int i = 0; i < size; i++) {
                char c = text.charAt(i);
                if (c >= 128) {
                    byte[] rest = text.substring(i).getBytes(StandardCharsets.UTF_8);
                    System.arraycopy(rest, 0, bytes, length, rest.length);
                    length += rest.length;
                    return this;
                }
                bytes[length++] = (byte) c;
            }
            return this;
        }

        Reply whole(long value) {
            return text(Long.toString(value));
        }

        /** Milliseconds written as seconds, to the microsecond. */
        Reply seconds(double ms) {
            long micros = Math.round(ms * 1000);
            if (micros < 0) {
                text("-");
                micros = -micros;
            }
            whole(micros / 1_000_000).text(".");
            long part = micros % 1_000_000;
            room(6);
            for (long unit = 100_000; unit > 0; unit /= 10) {
                bytes[length++] = (byte) ('0' + part / unit % 10);
            }
            return this;
        }

        void end() {
            room(1);
            bytes[length++] = '\n';
        }

        void finish() {
            text("NEXT").end();
        }

        void writeTo(OutputStream out) throws IOException {
            out.write(bytes, 0, length);
            length = 0;
            who = -1;
        }

        private void room(int more) {
            if (length + more > bytes.length) {
                bytes = java.util.Arrays.copyOf(bytes, Math.max(bytes.length * 2, length + more));
            }
        }
    }
}
