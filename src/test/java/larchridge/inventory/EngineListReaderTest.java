package larchridge.inventory;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import larchridge.state.EndpointState;
import larchridge.state.Role;
import org.junit.jupiter.api.Test;

class EngineListReaderTest {
    private static final String VALID_LIST =
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

    private static void assertError(String text, String expected) {
        InvalidEngineListException invalid =
                assertThrows(
                        InvalidEngineListException.class, () -> EngineListReader.read("e", text));
        assertTrue(invalid.getMessage().startsWith(expected), invalid.getMessage());
    }

    @Test
    void validListIsRead() throws InvalidEngineListException {
        EngineEntry first = EngineListReader.read("e", VALID_LIST).get(0);
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
        assertEquals(EndpointState.DRAINING, EngineListReader.read("e", VALID_LIST).get(1).state());
    }

    @Test
    void listTruncatedAnywhereIsRejectedOrHasOnlyCompleteEntries() {
        for (int end = 0; end < VALID_LIST.length(); end++) {
            String truncated = VALID_LIST.substring(0, end);
            try {
                for (EngineEntry entry : EngineListReader.read("e", truncated)) {
                    assertTrue(entry.port() > 0 && entry.role() != null);
                }
            } catch (InvalidEngineListException e) {
                assertTrue(e.getMessage().startsWith("e:"), e.getMessage());
            }
        }
    }

    @Test
    void errorsNameLineAndField() {
        assertError(
                VALID_LIST.replace("role: reader", "role: reeder"),
                "e:5: engines[0].role: is 'reeder'");
        assertError(VALID_LIST.replace("    port: 8000\n", ""), "e:2: engines[0].port: missing");
        assertError(
                VALID_LIST.replace("port: 8000", "port: x"),
                "e:4: engines[0].port: is 'x'; expected a number");
        assertError(
                VALID_LIST.replace("id: 2", "id: 1"),
                "e:9: id: 1 is also the id of the engine on line 2");
        assertError(
                VALID_LIST.replace("zone: west", "zoon: west"),
                "e:6: engines[0].zoon: unknown field");
        assertError(
                VALID_LIST.replace("8000Z", "x").replace("2026-01-31T08:00:00Z", "soon"),
                "e:8: engines[0].start");
    }

    @Test
    void emptyListIsRejected() {
        assertError("engines: []", "e:1: engines: expected a sequence of at least one engine");
        assertError("", "e:1: engines: missing");
    }

    @Test
    void aliasesAreRejected() {
        assertError("a: &a [x]\nengines: [*a, *a]\n", "e:");
    }
}
