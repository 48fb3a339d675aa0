import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Some hundred clients send heads of many short headers and a part of a body, and stay. */
final class FatHeads {
    private static final int BAD_CLIENTS = 300;
    private static final double REQUESTS_PER_SECOND = 6;
    /** The node reads heads of up to 8 KiB. */
    private static final int HEAD_BYTES = 8000;

    private FatHeads() {}

    public static void main(String[] arguments) {
        Kit.run(Path.of(arguments[0]), FatHeads::play);
    }

    private static int play() throws Exception {
        List<Platform.Engine> engines = new ArrayList<>();
        for (int i = 0; i < 2; i++) {
            engines.add(new Platform.Engine("s-reader" + i, "lectura"));
        }
        for (int i = 0; i < 3; i++) {
            engines.add(new Platform.Engine("s-writer" + i, "redaccion"));
        }
        List<String> entries = new ArrayList<>();
        for (Platform.Engine engine : engines) {
            engine.events = 60;
            engine.eventMs = 120;
            entries.add(engine.entry("SERVING"));
        }
        Platform.Agent agent = new Platform.Agent("agent", 41, String.join(",", entries));
        Platform.FrontNode node = new Platform.FrontNode();
        node.configure(agent, agent.list());
        if (!node.start(agent)) {
            return Kit.NOT_RUN;
        }
        Platform.Clients clients = new Platform.Clients(node.port);
        Thread load = new Thread(() -> clients.send(REQUESTS_PER_SECOND, 25_000));
        load.start();
        Kit.sleep(8_000);
        if (Kit.TROUBLE) {
            for (int i = 0; i < BAD_CLIENTS; i++) {
                String id = String.format("bad000000000%04x", i);
                Thread bad = new Thread(() -> sendHalf(node.port, id));
                bad.setDaemon(true);
                bad.start();
            }
        }
        load.join();
        // The last answers take up to 8 s.
        Kit.sleep(4000);
        Kit.recordLog("node", "OutOfMemoryError");
        boolean answers = node.answersUp(5000);
        Kit.record("the process is alive: " + node.process.isAlive());
        Kit.record("GET /up is answered within 5 s: " + answers);
        Kit.record("outcomes: " + clients.outcomes);
        int lost = clients.outcomes.getOrDefault(Platform.Clients.NO_ANSWER, 0);
        if (!Kit.TROUBLE && clients.outcomes.getOrDefault("served", 0) < 100) {
            return Kit.NOT_RUN;
        }
        return lost == 0 && node.process.isAlive() ? Kit.HELD : Kit.BROKEN;
    }

    private static void sendHalf(int port, String id) {
        try (Socket socket = new Socket(Kit.LOOPBACK, port)) {
            socket.setTcpNoDelay(true);
            OutputStream out = socket.getOutputStream();
            String head = Platform.Clients.request(id, "Content-Length: 2000\r\n");
            head = head.substring(0, head.length() - 2);
            head += "a:\r\n".repeat((HEAD_BYTES - head.length()) / 4) + "\r\n{";
            out.write(head.getBytes(StandardCharsets.US_ASCII));
            socket.getInputStream().readAllBytes();
        } catch (IOException e) {
            Kit.record("bad client " + id + ": " + e);
        }
    }
}
