package review2;

import java.io.BufferedInputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicLong;

/** A client's connection to a front node. */
final class Client implements Closeable {
    private static final AtomicLong IDS = new AtomicLong(0x1000_0000_0000_0000L + System.nanoTime());

    final Socket socket;
    private final InputStream in;

    Client(int port) throws IOException {
        socket = new Socket(Kit.LOOPBACK, port);
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(20_000);
        in = new BufferedInputStream(socket.getInputStream());
    }

    static String newId() {
        return String.format("%016x", IDS.incrementAndGet());
    }

    /** A request of a class, with its time limit. */
    static String request(String id, String kind, int deadlineMs, int promptTokens) {
        String body =
                "{\"model\":\"" + kind + "\",\"stream\":true,\"max_tokens\":200,\"messages\":[{\"role\":\"user\","
                        + "\"content\":\"" + "nivel del rio?? ".repeat(Math.max(1, promptTokens / 4)) + "\"}]}";
        return "POST /v1/chat/completions HTTP/1.1\r\nHost: service.internal\r\nReq-Id: " + id + "\r\nReq-Kind: "
                + kind + "\r\nReq-Key: " + id + "\r\nReq-Deadline-Ms: " + deadlineMs + "\r\nReq-Extra: prompt_len="
                + promptTokens + ",prefix_len=0,max_out=200\r\nContent-Type: application/json\r\nContent-Length: "
                + Message.bytes(body).length + "\r\n\r\n" + body;
    }

    void send(String text) throws IOException {
        socket.getOutputStream().write(Message.bytes(text));
        socket.getOutputStream().flush();
    }

    /** An answer as the client has seen it. */
    record Answer(int status, Message head, String text, double firstMs, double endMs, boolean whole) {}

    /** Reads the next answer: up to its last chunk, or to the end of the connection. */
    Answer readAnswer() throws IOException {
        Message head;
        try {
            head = Message.readHead(in);
        } catch (SocketTimeoutException e) {
            // Nothing for 20 s, longer than any time limit here.
            return null;
        }
        if (head == null) {
            return null;
        }
        double firstMs = Kit.nowMs();
        if (!head.isChunked()) {
            String length = head.header("content-length");
            byte[] body = in.readNBytes(length == null ? 0 : Integer.parseInt(length));
            return new Answer(head.status(), head, new String(body, StandardCharsets.UTF_8), firstMs, Kit.nowMs(), true);
        }
        StringBuilder text = new StringBuilder();
        try {
            for (byte[] chunk = Message.readChunk(in); chunk.length > 0; chunk = Message.readChunk(in)) {
                if (text.length() == 0) {
                    firstMs = Kit.nowMs();
                }
                text.append(new String(chunk, StandardCharsets.UTF_8));
            }
        } catch (IOException e) {
            return new Answer(head.status(), head, text.toString(), firstMs, Kit.nowMs(), false);
        }
        return new Answer(head.status(), head, text.toString(), firstMs, Kit.nowMs(), true);
    }

    @Override
    public void close() {
        try {
            socket.close();
        } catch (IOException e) {
            Kit.log("close: " + e);
        }
    }
}
