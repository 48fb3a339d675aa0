package larchridge.node;

import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;
import java.util.function.Supplier;

/**
 * A node over loopback between scripted engines, a scripted discovery agent and raw clients; bytes
 * as the pages say.
 */
final class NodeFixture implements AutoCloseable {
    static final String GOOD =
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
    static final String EVENT =
            "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"ab\"},\"finish_reason\":null}]}\n\n";
    static final String END =
            "data: {\"choices\":[],\"usage\":{\"completion_tokens\":2}}\n\ndata: [DONE]\n\n";
    private static final AtomicInteger IDS = new AtomicInteger(0x1000);

    final Actor reader = new Actor(seen -> new Reply(read(0), true));
    final Actor writer =
            new Actor(
                    seen ->
                            new Reply(
                                    GOOD + chunk(EVENT) + chunk(EVENT + END) + "0\r\n\r\n", true));
    final Actor discovery;
    final List<String> listed = new CopyOnWriteArrayList<>();
    final Path file;
    final Node node;
    private final AtomicInteger index = new AtomicInteger(1);
    private final List<RawClient> opened = new ArrayList<>();

    /** What one request looked like to an actor. */
    record Seen(String method, String target, String head, String body, int connection) {
        String header(String name) {
            for (String line : head.split("\r\n")) {
                if (line.regionMatches(true, 0, name + ":", 0, name.length() + 1)) {
                    return line.substring(name.length() + 1).strip();
                }
            }
            return null;
        }
    }

    /**
     * Bytes to send, and whether the connection stays; null bytes are silence. More bytes may
     * follow once they are there.
     */
    record Reply(String bytes, boolean stays, Supplier<String> more) {
        Reply(String bytes, boolean stays) {
            this(bytes, stays, () -> "");
        }
    }

    /** Where readers' answers wait: whether one has been asked, and the word to answer. */
    record Gate(CountDownLatch asked, CountDownLatch open) {}

    NodeFixture(Path folder) throws Exception {
        discovery = new Actor(this::list);
        listed.add(row("r1", reader.port(), "lectura", "SERVING", 0));
        listed.add(row("w1", writer.port(), "redaccion", "SERVING", 0));
        file = folder.resolve("config.json");
        configure(discovery.port());
        node = Node.open(Map.of("PROXY_CONFIG", file.toString(), "PROXY_NAME", "n1"));
    }

    void configure(int discoveryPort) throws IOException {
        Files.writeString(
                file,
                "{\"name\":\"n1\",\"listen\":\"127.0.0.1:0\",\"discovery\":\"127.0.0.1:"
                        + discoveryPort
                        + "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,\"memory_mb\":256,\"sockets\":300},"
                        + "\"known\":"
                        + whole()
                        + ",\"settings\":"
                        + SETTINGS
                        + "}");
    }

    static final String SETTINGS =
            "{\"az\":\"a\",\"family_info\":{\"aim_us_per_1000_prompt_tokens\":[40000],"
                    + "\"kv_tokens\":[200000,200000],\"release_within_s\":1.0,\"stage_of_kind\":[\"read\",\"write\"],"
                    + "\"token_aim_s\":[0.06]},\"host_types\":[\"lectura\",\"redaccion\"],"
                    + "\"invariants\":{\"cold_s\":0,\"cold_share\":1,\"stop_sending_within_s\":0.25},"
                    + "\"limits\":{\"dial_timeout_s\":0.25,\"keepalive_s\":15.0,\"max_attempts\":5,\"max_retry_after_s\":2.0,"
                    + "\"may_cancel\":true,\"may_probe\":false,\"parallel_tries\":true,\"retry_after\":true},\"n_instances\":1,"
                    + "\"reporting\":{\"fields\":[\"concurrent\",\"depth\",\"x0\",\"x1\"],\"source\":\"off\"},"
                    + "\"request_classes\":[{\"give_up_s\":5.0,\"late_worth\":0.2,\"name\":\"consulta\",\"repeat\":\"pure\","
                    + "\"slo_s\":1.2,\"worth\":1.0}]}";

    static String row(String name, int port, String type, String status, long since) {
        return "{\"name\":\""
                + name
                + "\",\"address\":\"127.0.0.1:"
                + port
                + "\",\"zone\":\"a\",\"type\":\""
                + type
                + "\",\"group\":1,\"status\":\""
                + status
                + "\",\"weight\":1.0,\"since_ms\":"
                + since
                + "}";
    }

    private String whole() {
        return "{\"index\":"
                + index
                + ",\"snapshot\":true,\"endpoints\":["
                + String.join(",", listed)
                + "]}";
    }

    /** The next watch, or one that waits, is told the whole list as it is now. */
    void changed() {
        synchronized (index) {
            index.incrementAndGet();
            index.notifyAll();
        }
    }

    private Reply list(Seen seen) {
        int after =
                seen.target.contains("after=")
                        ? Integer.parseInt(seen.target.replaceAll(".*after=(\\d+).*", "$1"))
                        : 0;
        long until = System.nanoTime() + 300_000_000L;
        synchronized (index) {
            while (index.get() <= after && System.nanoTime() < until) {
                try {
                    index.wait(50);
                } catch (InterruptedException e) {
                    return new Reply(null, false);
                }
            }
        }
        return new Reply(answer("200 OK", whole()), true);
    }

    /** Asks whether the node can serve. */
    static final String UP = "GET /up HTTP/1.1\r\nHost: n\r\n\r\n";

    static String answer(String status, String body) {
        return "HTTP/1.1 " + status + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }

    static String declined(String status) {
        return "HTTP/1.1 " + status + "\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n";
    }

    static String read(int kept) {
        return answer("202 Accepted", "{\"cached_tokens\":" + kept + "}");
    }

    static String chunk(String text) {
        return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }

    static String id() {
        return String.format("%016x", IDS.incrementAndGet());
    }

    /** A good request's bytes; more is put into its head. */
    static String ask(String id, String more) {
        return ask(id, 4000, more);
    }

    static String ask(String id, int deadlineMs, String more) {
        String body = "{\"model\":\"consulta\",\"stream\":true,\"messages\":[]}";
        return "POST /v1/chat/completions?v=1 HTTP/1.1\r\nHost: service.internal\r\nReq-Id: "
                + id
                + "\r\nReq-Kind: consulta\r\nReq-Key: k1\r\nReq-Deadline-Ms: "
                + deadlineMs
                + "\r\nReq-Extra: prefix=p1,prompt_len=400,prefix_len=100,max_out=50\r\n"
                + more
                + "Content-Length: "
                + body.length()
                + "\r\n\r\n"
                + body;
    }

    RawClient client() throws IOException {
        RawClient client = new RawClient(node.port());
        opened.add(client);
        return client;
    }

    /** The next answer there is a whole stream; gives its bytes. */
    static String served(RawClient client) throws IOException {
        String answer = client.until("0\r\n\r\n");
        assertNotNull(answer, "the connection ended before its answer");
        assertTrue(answer.startsWith("HTTP/1.1 200 "), answer);
        return answer;
    }

    static void await(CountDownLatch latch) {
        try {
            assertTrue(latch.await(8, TimeUnit.SECONDS));
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Readers' answers wait until the gate is opened. */
    Gate gateReads() {
        Gate gate = new Gate(new CountDownLatch(1), new CountDownLatch(1));
        reader.script =
                seen -> {
                    gate.asked.countDown();
                    await(gate.open);
                    return new Reply(read(0), true);
                };
        return gate;
    }

    /** A client whose request a reader has and does not answer before the gate is opened. */
    RawClient held(Gate gate, String id) throws IOException {
        RawClient client = client();
        client.send(ask(id, ""));
        await(gate.asked);
        return client;
    }

    /**
     * Keeps the node's loop from doing anything until the latch is counted down; returns once it is
     * held. What comes to the node's sockets meanwhile is there, in its order, when the loop goes
     * on.
     */
    CountDownLatch holdLoop() {
        CountDownLatch held = new CountDownLatch(1);
        CountDownLatch goOn = new CountDownLatch(1);
        node.loop()
                .execute(
                        () -> {
                            held.countDown();
                            await(goOn);
                        });
        await(held);
        return goOn;
    }

    /** Returns once the node has read what its sockets held, and has done what followed from it. */
    void settled() throws Exception {
        for (int i = 0; i < 3; i++) {
            node.connections();
        }
    }

    @Override
    public void close() throws IOException {
        for (RawClient one : opened) {
            one.close();
        }
        node.end();
        try {
            node.awaitEnd();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        reader.close();
        writer.close();
        discovery.close();
    }

    /** A raw client. */
    static final class RawClient implements AutoCloseable {
        final Socket socket;
        private final InputStream in;

        RawClient(int port) throws IOException {
            socket = new Socket(InetAddress.getLoopbackAddress(), port);
            socket.setSoTimeout(10_000);
            socket.setTcpNoDelay(true);
            in = socket.getInputStream();
        }

        void send(String bytes) throws IOException {
            socket.getOutputStream().write(bytes.getBytes(StandardCharsets.ISO_8859_1));
            socket.getOutputStream().flush();
        }

        /** Reads up to and with a text; null if the connection ends before. */
        String until(String text) throws IOException {
            StringBuilder all = new StringBuilder();
            while (all.indexOf(text) < 0) {
                int c = read();
                if (c < 0) {
                    return null;
                }
                all.append((char) c);
            }
            return all.toString();
        }

        private int read() throws IOException {
            try {
                return in.read();
            } catch (java.net.SocketException e) {
                return -1;
            }
        }

        /** Reads all until the connection ends. */
        String rest() throws IOException {
            StringBuilder all = new StringBuilder();
            for (int c = read(); c >= 0; c = read()) {
                all.append((char) c);
            }
            return all.toString();
        }

        /** One answer with a length: its head and body. */
        String answer() throws IOException {
            String head = until("\r\n\r\n");
            int size = Integer.parseInt(head.replaceAll("(?is).*content-length: (\\d+).*", "$1"));
            return head + new String(in.readNBytes(size), StandardCharsets.ISO_8859_1);
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    /** Something that answers requests by a script: an engine or discovery's agent. */
    static final class Actor implements AutoCloseable {
        final BlockingQueue<Seen> seen = new LinkedBlockingQueue<>();
        volatile Function<Seen, Reply> script;

        /** Whether it takes all and answers nothing, releases too. */
        volatile boolean silent;

        private final ServerSocket server;
        private final List<Socket> sockets = new CopyOnWriteArrayList<>();
        private final AtomicInteger connections = new AtomicInteger();
        private final AtomicInteger answering = new AtomicInteger();

        Actor(Function<Seen, Reply> script) {
            this(script, 0);
        }

        Actor(Function<Seen, Reply> script, int port) {
            this.script = script;
            try {
                server = new ServerSocket(port, 200, InetAddress.getLoopbackAddress());
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
            daemon(this::accept);
        }

        int port() {
            return server.getLocalPort();
        }

        private static void daemon(Runnable run) {
            Thread thread = new Thread(run, "actor");
            thread.setDaemon(true);
            thread.start();
        }

        private void accept() {
            try {
                while (true) {
                    Socket socket = server.accept();
                    sockets.add(socket);
                    int number = connections.incrementAndGet();
                    daemon(() -> serve(socket, number));
                }
            } catch (IOException e) {
                // Closed.
                return;
            }
        }

        private void serve(Socket socket, int number) {
            try (socket) {
                socket.setTcpNoDelay(true);
                InputStream in = socket.getInputStream();
                while (true) {
                    String head = head(in);
                    if (head == null) {
                        return;
                    }
                    String[] first = head.split("\r\n")[0].split(" ");
                    String size = new Seen("", "", head, "", 0).header("Content-Length");
                    String body =
                            new String(
                                    in.readNBytes(size == null ? 0 : Integer.parseInt(size)),
                                    StandardCharsets.ISO_8859_1);
                    Seen one = new Seen(first[0], first[1], head, body, number);
                    answering.incrementAndGet();
                    seen.add(one);
                    Reply reply =
                            silent
                                    ? new Reply(null, true)
                                    : first[0].equals("DELETE")
                                            ? new Reply("HTTP/1.1 204 No Content\r\n\r\n", true)
                                            : script.apply(one);
                    if (reply.bytes != null) {
                        socket.getOutputStream()
                                .write(reply.bytes.getBytes(StandardCharsets.ISO_8859_1));
                        socket.getOutputStream().flush();
                        socket.getOutputStream()
                                .write(reply.more.get().getBytes(StandardCharsets.ISO_8859_1));
                    }
                    answering.decrementAndGet();
                    if (!reply.stays) {
                        return;
                    }
                }
            } catch (IOException e) {
                // The other side ended it.
                return;
            }
        }

        private static String head(InputStream in) throws IOException {
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            int end = 0;
            while (end < 4) {
                int c = in.read();
                if (c < 0) {
                    return null;
                }
                all.write(c);
                end = c == (end % 2 == 0 ? '\r' : '\n') ? end + 1 : c == '\r' ? 1 : 0;
            }
            return all.toString(StandardCharsets.ISO_8859_1);
        }

        /** Attempts that came here. */
        long posts() {
            return seen.stream().filter(one -> one.method.equals("POST")).count();
        }

        /** Returns once every answer that was begun here has been written. */
        void settled() {
            while (answering.get() > 0) {
                Thread.onSpinWait();
            }
        }

        /** The next request of a method that came here, waited for. */
        Seen next(String method) throws InterruptedException {
            while (true) {
                Seen one = seen.poll(8, TimeUnit.SECONDS);
                if (one == null) {
                    throw new AssertionError("no " + method + " came");
                }
                if (one.method.equals(method)) {
                    return one;
                }
            }
        }

        @Override
        public void close() throws IOException {
            server.close();
            for (Socket socket : sockets) {
                socket.close();
            }
        }
    }
}
