package larchridge.inventory;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import larchridge.state.EndpointState;
import larchridge.state.Role;
import org.junit.jupiter.api.Test;

class EngineListReaderTest {
    private static final String GOOD =
            """
            engines:
              - id: 1
                host: 10.0.0.1
                port: 8000
                role: reader
                zone: west
                rack: 3
                start: 2026-01-31T08:00:00Z
              - {id: 2, host: h, port: 8001, role: both, mode: draining, memory_tokens: 1000}
            """;

    private static void fault(String text, String expected) {
        InvalidEngineListException invalid =
                assertThrows(
                        InvalidEngineListException.class, () -> EngineListReader.read("e", text));
        assertTrue(invalid.getMessage().startsWith(expected), invalid.getMessage());
    }

    @Test
    void validListIsRead() throws InvalidEngineListException {
        EngineEntry first = EngineListReader.read("e", GOOD).get(0);
        assertEquals(
                new EngineEntry(
                        1,
                        "10.0.0.1",
                        8000,
                        Role.READER,
                        "west",
                        3,
                        1,
                        Double.NaN,
                        1769846400000.0,
                        EndpointState.READY),
                first);
        assertEquals(EndpointState.DRAINING, EngineListReader.read("e", GOOD).get(1).state());
    }

    @Test
    void listTruncatedAnywhereIsEitherAFaultOrItsCompleteEntries() {
        for (int end = 0; end < GOOD.length(); end++) {
            String part = GOOD.substring(0, end);
            try {
                for (EngineEntry entry : EngineListReader.read("e", part)) {
                    assertTrue(entry.port() > 0 && entry.role() != null);
                }
            } catch (InvalidEngineListException e) {
                assertTrue(e.getMessage().startsWith("e:"), e.getMessage());
            }
        }
    }

    @Test
    void faultsNameLineAndField() {
        fault(GOOD.replace("role: reader", "role: reeder"), "e:5: engines[0].role: is 'reeder'");
        fault(GOOD.replace("    port: 8000\n", ""), "e:2: engines[0].port: missing");
        fault(
                GOOD.replace("port: 8000", "port: x"),
                "e:4: engines[0].port: is 'x'; expected a number");
        fault(GOOD.replace("id: 2", "id: 1"), "e:9: id: 1 is also the id of the engine on line 2");
        fault(GOOD.replace("zone: west", "zoon: west"), "e:6: engines[0].zoon: unknown field");
        fault(
                GOOD.replace("8000Z", "x").replace("2026-01-31T08:00:00Z", "soon"),
                "e:8: engines[0].start");
    }

    @Test
    void emptyListIsRejected() {
        fault("engines: []", "e:1: engines: empty");
        fault("", "e:1: engines: missing");
    }

    @Test
    void aliasesAreRejected() {
        fault("a: &a [x]\nengines: [*a, *a]\n", "e:");
    }
}
