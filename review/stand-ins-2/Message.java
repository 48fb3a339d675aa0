package review2;

import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** An HTTP/1.1 message as it came over a socket. */
final class Message {
    final String startLine;
    final Map<String, String> headers = new LinkedHashMap<>();
    byte[] body = new byte[0];

    private Message(String startLine) {
        this.startLine = startLine;
    }

    String header(String name) {
        return headers.get(name.toLowerCase(Locale.ROOT));
    }

    String method() {
        return startLine.split(" ")[0];
    }

    String target() {
        return startLine.split(" ")[1];
    }

    int status() {
        return Integer.parseInt(startLine.split(" ")[1]);
    }

    /** Reads start line and headers; null if the connection ended before the first byte. */
    static Message readHead(InputStream in) throws IOException {
        String line = readLine(in);
        if (line == null) {
            return null;
        }
        Message message = new Message(line);
        for (line = required(in); !line.isEmpty(); line = required(in)) {
            int colon = line.indexOf(':');
            message.headers.put(
                    line.substring(0, colon).strip().toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).strip());
        }
        return message;
    }

    /** Reads a whole message whose length is declared. */
    static Message read(InputStream in) throws IOException {
        Message message = readHead(in);
        if (message != null && message.header("content-length") != null) {
            message.body = in.readNBytes(Integer.parseInt(message.header("content-length")));
        }
        return message;
    }

    boolean isChunked() {
        return "chunked".equalsIgnoreCase(header("transfer-encoding"));
    }

    /** Reads the next chunk; an empty array is the last one. */
    static byte[] readChunk(InputStream in) throws IOException {
        int size = Integer.parseInt(required(in).split(";")[0].strip(), 16);
        byte[] chunk = in.readNBytes(size);
        if (chunk.length < size) {
            throw new EOFException("the connection ended in a chunk");
        }
        required(in);
        return chunk;
    }

    private static String required(InputStream in) throws IOException {
        String line = readLine(in);
        if (line == null) {
            throw new EOFException("the connection ended in a message");
        }
        return line;
    }

    private static String readLine(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int b = in.read(); b != '\n'; b = in.read()) {
            if (b < 0) {
                if (line.length() == 0) {
                    return null;
                }
                throw new EOFException("the connection ended in a line");
            }
            line.append((char) b);
        }
        int end = line.length();
        return end > 0 && line.charAt(end - 1) == '\r' ? line.substring(0, end - 1) : line.toString();
    }

    static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }
}
