package review2;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;

/** Thousands of engines, each with an address of its own; one thread accepts for all of them. */
final class Fleet {
    /** One engine as discovery tells of it. */
    static final class Member {
        final String name;
        final boolean reader;
        final int port;
        final int rack;
        String status = "SERVING";
        long sinceMs;

        Member(String name, boolean reader, int port, int rack) {
            this.name = name;
            this.reader = reader;
            this.port = port;
            this.rack = rack;
        }

        String entry() {
            return "{\"name\":\"" + name + "\",\"address\":\"" + Kit.LOOPBACK + ":" + port
                    + "\",\"zone\":\"a\",\"type\":\"" + (reader ? "lector" : "redactor") + "\",\"group\":" + rack
                    + ",\"status\":\"" + status + "\",\"weight\":1.0,\"since_ms\":" + sinceMs + "}";
        }
    }

    final List<Member> members = new ArrayList<>();

    /** Answers what comes to a reader, and to a writer. */
    private final StandInEngine reader;

    private final StandInEngine writer;
    private final Selector selector = Selector.open();

    Fleet(int size) throws IOException {
        reader = new StandInEngine("reader", true);
        writer = new StandInEngine("writer", false);
        for (int i = 0; i < size; i++) {
            ServerSocketChannel listener = ServerSocketChannel.open();
            listener.bind(new InetSocketAddress(InetAddress.getByName(Kit.LOOPBACK), 0), 64);
            listener.configureBlocking(false);
            boolean isReader = i % 2 == 0;
            listener.register(selector, SelectionKey.OP_ACCEPT, isReader ? reader : writer);
            members.add(
                    new Member(
                            String.format("s-%08x", i * 2654435761L & 0xFFFFFFFFL),
                            isReader,
                            ((InetSocketAddress) listener.getLocalAddress()).getPort(),
                            i / 5));
        }
        Kit.daemon(this::accept);
    }

    private void accept() {
        try {
            while (true) {
                selector.select(
                        key -> {
                            try {
                                SocketChannel accepted = ((ServerSocketChannel) key.channel()).accept();
                                if (accepted != null) {
                                    accepted.configureBlocking(true);
                                    ((StandInEngine) key.attachment()).serve(accepted.socket());
                                }
                            } catch (IOException e) {
                                Kit.log("accept: " + e);
                            }
                        });
            }
        } catch (IOException e) {
            Kit.log("accept: " + e);
        }
    }
}
