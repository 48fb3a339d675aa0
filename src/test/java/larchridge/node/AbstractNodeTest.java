package larchridge.node;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.file.Path;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.io.TempDir;

/**
 * Base class of tests that run a node of their own between scripted engines, a scripted discovery
 * agent and clients.
 */
abstract class AbstractNodeTest {
    @TempDir Path folder;
    NodeFixture fixture;

    @BeforeEach
    void open() throws Exception {
        fixture = new NodeFixture(folder);
    }

    @AfterEach
    void close() throws Exception {
        fixture.close();
        assertEquals(
                0,
                fixture.inspector.violations(),
                "invariants violated; see the log for the requests");
    }
}
