import java.nio.file.Path;
import java.util.List;

/** Case: a new configuration names an agent whose list is some seconds behind. */
final class OlderList {
    private static final double REQUESTS_PER_SECOND = 20;
    private static final double LAG_MS = 5000;

    private OlderList() {}

    public static void main(String[] arguments) {
        Kit.run(Path.of(arguments[0]), OlderList::play);
    }

    private static int play() throws Exception {
        Platform.Engine reader = new Platform.Engine("s-reader", "lectura");
        Platform.Engine first = new Platform.Engine("s-writer0", "redaccion");
        Platform.Engine second = new Platform.Engine("s-writer1", "redaccion");
        Platform.Engine draining = new Platform.Engine("s-draining", "redaccion");
        List<Platform.Engine> serving = List.of(reader, first, second);
        StringBuilder rest = new StringBuilder();
        serving.forEach(engine -> rest.append(engine.entry("SERVING")).append(','));
        String before = rest + draining.entry("SERVING");
        String now = rest + draining.entry("DRAINING");

        Platform.Agent agent = new Platform.Agent("agent", 50, now);
        Platform.FrontNode node = new Platform.FrontNode();
        node.configure(agent, agent.list());
        if (!node.start(agent)) {
            return Kit.NOT_RUN;
        }
        double toldMs = Kit.nowMs();
        Platform.Clients clients = new Platform.Clients(node.port);
        Thread load = new Thread(() -> clients.send(REQUESTS_PER_SECOND, 16_000));
        load.start();
        Kit.sleep(3000);
        int beforeSighup = draining.arrivals.size();
        if (Kit.TROUBLE) {
            // What the new agent has been sent is older; it catches up within the lag.
            Platform.Agent lagging = new Platform.Agent("new agent", 45, before);
            node.configure(lagging, agent.list());
            agent.retire();
            Kit.signal(node.process, "HUP");
            Kit.sleep(LAG_MS);
            lagging.set(50, now);
        }
        load.join();
        int arrived = draining.arrivals.size();
        Kit.record("told that s-draining drains at " + toldMs + " at the latest");
        Kit.record("attempts at s-draining before SIGHUP: " + beforeSighup + ", in all: " + arrived);
        Kit.record("outcomes: " + clients.outcomes);
        if (clients.outcomes.getOrDefault("served", 0) < 100) {
            return Kit.NOT_RUN;
        }
        return arrived == 0 ? Kit.HELD : Kit.BROKEN;
    }
}
