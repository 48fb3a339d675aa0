package larchridge.node;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;

/** An HTTP server that responds by a script: an engine or the discovery agent. */
final class ScriptedServer implements AutoCloseable {
    final BlockingQueue<ReceivedRequest> received = new LinkedBlockingQueue<>();
    volatile Function<ReceivedRequest, ScriptedResponse> script;

    /** Whether it reads all requests, including releases, and responds to none. */
    volatile boolean silent;

    private final ServerSocket server;
    private final List<Socket> sockets = new CopyOnWriteArrayList<>();
    private final AtomicInteger connections = new AtomicInteger();
    private final AtomicInteger responsesInProgress = new AtomicInteger();

    ScriptedServer(Function<ReceivedRequest, ScriptedResponse> script) {
        this(script, 0);
    }

    ScriptedServer(Function<ReceivedRequest, ScriptedResponse> script, int port) {
        this.script = script;
        try {
            server = new ServerSocket(port, 200, InetAddress.getLoopbackAddress());
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
        startDaemonThread(this::accept);
    }

    int port() {
        return server.getLocalPort();
    }

    private static void startDaemonThread(Runnable run) {
        Thread thread = new Thread(run, "scripted-server");
        thread.setDaemon(true);
        thread.start();
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = server.accept();
                sockets.add(socket);
                int number = connections.incrementAndGet();
                startDaemonThread(() -> serve(socket, number));
            }
        } catch (IOException e) {
            // The server was closed.
            return;
        }
    }

    private void serve(Socket socket, int number) {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = socket.getInputStream();
            ReceivedRequest request = read(in, number);
            while (request != null) {
                responsesInProgress.incrementAndGet();
                // Read before a test can see the request: a test that then changes the script
                // affects only the requests after it.
                Function<ReceivedRequest, ScriptedResponse> currentScript = scriptFor(request);
                received.add(request);
                ScriptedResponse response = currentScript.apply(request);
                if (response.bytes() != null) {
                    write(socket, response.bytes());
                    socket.getOutputStream().flush();
                    write(socket, response.continuation().get());
                }
                responsesInProgress.decrementAndGet();
                if (!response.keepsConnection()) {
                    return;
                }
                request = read(in, number);
            }
        } catch (IOException e) {
            // The peer closed the connection.
            return;
        }
    }

    /** Reads the next request on a connection; returns null if the peer has closed it. */
    private static ReceivedRequest read(InputStream in, int connection) throws IOException {
        String head = readHead(in);
        if (head == null) {
            return null;
        }
        String[] requestLine = head.split("\r\n")[0].split(" ");
        String size = new ReceivedRequest("", "", head, "", 0).header("Content-Length");
        String body =
                new String(
                        in.readNBytes(size == null ? 0 : Integer.parseInt(size)),
                        StandardCharsets.ISO_8859_1);
        return new ReceivedRequest(requestLine[0], requestLine[1], head, body, connection);
    }

    private Function<ReceivedRequest, ScriptedResponse> scriptFor(ReceivedRequest request) {
        if (silent) {
            return ignored -> new ScriptedResponse(null, true);
        }
        if (request.method().equals("DELETE")) {
            return ignored -> new ScriptedResponse("HTTP/1.1 204 No Content\r\n\r\n", true);
        }
        return script;
    }

    private static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    private static String readHead(InputStream in) throws IOException {
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

    /** Number of attempts that were received. */
    long attemptCount() {
        return received.stream().filter(request -> request.method().equals("POST")).count();
    }

    /** Returns once every response in progress has been written. */
    void awaitResponsesWritten() {
        while (responsesInProgress.get() > 0) {
            Thread.onSpinWait();
        }
    }

    /** Waits for the next request with this method. */
    ReceivedRequest awaitRequest(String method) throws InterruptedException {
        while (true) {
            ReceivedRequest request = received.poll(8, TimeUnit.SECONDS);
            if (request == null) {
                throw new AssertionError("no " + method + " request was received");
            }
            if (request.method().equals(method)) {
                return request;
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
