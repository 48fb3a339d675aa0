package larchridge.node;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;

/** A client on a plain socket that sends and reads raw bytes. */
final class RawClient implements AutoCloseable {
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

    /** Reads up to and including a text; returns null if the connection ends first. */
    String readUntil(String text) throws IOException {
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
        } catch (SocketException e) {
            return -1;
        }
    }

    /** Reads everything until the connection ends. */
    String readToEnd() throws IOException {
        StringBuilder all = new StringBuilder();
        for (int c = read(); c >= 0; c = read()) {
            all.append((char) c);
        }
        return all.toString();
    }

    /** Reads the head and body of one response with a content length. */
    String readResponse() throws IOException {
        String head = readUntil("\r\n\r\n");
        int size = Integer.parseInt(head.replaceAll("(?is).*content-length: (\\d+).*", "$1"));
        return head + new String(in.readNBytes(size), StandardCharsets.ISO_8859_1);
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
