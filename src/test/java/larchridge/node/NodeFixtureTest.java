package larchridge.node;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.file.Path;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.io.TempDir;

/** Tests that each have a node of their own between scripted engines, discovery and clients. */
abstract class NodeFixtureTest {
    @TempDir Path folder;
    NodeFixture scene;

    @BeforeEach
    void open() throws Exception {
        scene = new NodeFixture(folder);
    }

    @AfterEach
    void close() throws Exception {
        scene.close();
        assertEquals(0, scene.node.violations(), "invariants violated; the log has the requests");
    }
}
