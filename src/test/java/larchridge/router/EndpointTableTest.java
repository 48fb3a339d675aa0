package larchridge.router;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotSame;
import static org.junit.jupiter.api.Assertions.assertSame;

import java.util.ArrayList;
import java.util.List;
import larchridge.inventory.EngineEntry;
import larchridge.state.EndpointState;
import larchridge.state.EndpointUpdate;
import larchridge.state.Engine;
import larchridge.state.Role;
import larchridge.upstream.Endpoint;
import org.junit.jupiter.api.Test;

class EndpointTableTest {
    private static final int PORT = 8000;

    private final EndpointTable table = new EndpointTable();

    private static EngineEntry entry(long id, int port) {
        return new EngineEntry(
                id, "127.0.0.1", port, Role.READER, "z", 1, 1, 1000, 0, EndpointState.READY);
    }

    private Engine engineOf(EngineEntry entry) {
        List<EndpointUpdate> updates = table.replaceWith(List.of(entry));
        assertEquals(1, updates.size());
        return updates.get(0).engine();
    }

    @Test
    void unchangedAddressKeepsTheEngine() {
        Engine engine = engineOf(entry(7, PORT));
        assertSame(engine, engineOf(entry(7, PORT)));
        assertEquals(new Endpoint("127.0.0.1", PORT), table.endpointOf(engine));
    }

    @Test
    void changedAddressCreatesANewEngine() {
        Engine previous = engineOf(entry(7, PORT));
        Engine replacement = engineOf(entry(7, PORT + 1));
        assertNotSame(previous, replacement);
        assertEquals(new Endpoint("127.0.0.1", PORT), table.endpointOf(previous));
        assertEquals(new Endpoint("127.0.0.1", PORT + 1), table.endpointOf(replacement));
    }

    @Test
    void replacedEngineIsDropped() {
        engineOf(entry(7, PORT));
        Engine replacement = engineOf(entry(7, PORT + 1));
        table.dropRemoved();
        List<Engine> visited = new ArrayList<>();
        table.forEach((endpoint, engine) -> visited.add(engine));
        assertEquals(List.of(replacement), visited);
    }
}
