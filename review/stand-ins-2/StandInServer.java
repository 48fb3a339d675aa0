package review2;

import java.io.BufferedInputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** An HTTP/1.1 server on loopback: one thread for each connection, one request at a time on it. */
abstract class StandInServer implements Closeable {
    final int port;
    final Set<Link> links = ConcurrentHashMap.newKeySet();
    private final ServerSocket listener;

    /** One connection. */
    static final class Link {
        final Socket socket;
        private final OutputStream out;

        /** Counts the requests that have come. */
        volatile int requests;

        Link(Socket socket) throws IOException {
            this.socket = socket;
            socket.setTcpNoDelay(true);
            out = socket.getOutputStream();
        }

        synchronized void send(byte[] bytes) throws IOException {
            out.write(bytes);
            out.flush();
        }

        void send(String text) throws IOException {
            send(Message.bytes(text));
        }

        void sendChunk(String text) throws IOException {
            send(Integer.toHexString(Message.bytes(text).length) + "\r\n" + text + "\r\n");
        }

        void close() {
            try {
                socket.close();
            } catch (IOException e) {
                Kit.log("close: " + e);
            }
        }
    }

    StandInServer(int port) throws IOException {
        listener = new ServerSocket(port, 256, InetAddress.getByName(Kit.LOOPBACK));
        this.port = listener.getLocalPort();
        Kit.daemon(this::accept);
    }

    private void accept() {
        try {
            while (true) {
                serve(listener.accept());
            }
        } catch (IOException e) {
            // The listener was closed.
        }
    }

    /** Serves a connection on a thread of its own. */
    final void serve(Socket socket) throws IOException {
        Link link = new Link(socket);
        links.add(link);
        Kit.daemon(() -> serve(link));
    }

    private void serve(Link link) {
        try (Socket socket = link.socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            for (Message request = Message.read(in); request != null; request = Message.read(in)) {
                link.requests++;
                answer(request, link);
            }
        } catch (IOException e) {
            // The other side has closed the connection.
        } finally {
            links.remove(link);
        }
    }

    abstract void answer(Message request, Link link) throws IOException;

    String address() {
        return Kit.LOOPBACK + ":" + port;
    }

    @Override
    public void close() {
        try {
            listener.close();
        } catch (IOException e) {
            Kit.log("close: " + e);
        }
        links.forEach(Link::close);
    }
}
