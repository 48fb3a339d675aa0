package larchridge.node;

import java.nio.file.Path;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.io.TempDir;

/** Tests that each have a node of their own between scripted engines, discovery and clients. */
abstract class SceneTest {
    @TempDir
    Path folder;
    Scene scene;

    @BeforeEach
    void open() throws Exception {
        scene = new Scene(folder);
    }

    @AfterEach
    void close() throws Exception {
        scene.close();
    }
}
