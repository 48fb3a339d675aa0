package larchridge.node;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class NodeWarmupTest {
    @Test
    void nearlyAllGenerationsCompleteThoughSomeResponsesAreInvalid() {
        assertTrue(NodeWarmup.run(120, 60_000) >= 110);
    }
}
