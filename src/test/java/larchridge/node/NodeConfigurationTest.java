package larchridge.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Invalid configurations, and configurations that change while the node runs. */
@Timeout(30)
class NodeConfigurationTest extends AbstractNodeTest {
    @Test
    void newConfigurationMovesDiscoveryAndAnInvalidOneChangesNothing() throws Exception {
        try (ScriptedServer newAgent = new ScriptedServer(fixture.discovery.script)) {
            Files.writeString(fixture.configurationFile, "{broken");
            fixture.node.reload();
            fixture.writeConfiguration(newAgent.port());
            fixture.node.reload();
            assertEquals("/discovery/hosts", newAgent.awaitRequest("GET").target());
            assertTrue(newAgent.awaitRequest("GET").target().startsWith("/discovery/hosts?after="));
        }
    }

    /**
     * Reading the file fails at first, as it does when descriptors are exhausted, or the file is
     * half written.
     */
    @Test
    void configurationThatCannotBeReadAtOnceIsRetried() throws Exception {
        try (ScriptedServer newAgent = new ScriptedServer(fixture.discovery.script)) {
            for (boolean halfWritten : new boolean[] {false, true}) {
                Files.delete(fixture.configurationFile);
                if (halfWritten) {
                    Files.writeString(fixture.configurationFile, "{\"name\":\"n1\",");
                }
                fixture.node.reload();
                fixture.awaitEventLoop();
                newAgent.received.clear();
                fixture.writeConfiguration(newAgent.port());
                assertTrue(
                        newAgent.received.poll(2, TimeUnit.SECONDS) != null,
                        "the agent in the new configuration was never polled");
            }
        }
    }

    @Test
    void invalidConfigurationIsReportedWithFileMemberAndExpectedValue() throws Exception {
        Path file = folder.resolve("other.json");
        String good = Files.readString(fixture.configurationFile);
        Map<String, String> environment =
                Map.of("PROXY_CONFIG", file.toString(), "PROXY_NAME", "n1");
        String[][] cases = {
            {"\"memory_mb\":256", "\"memory_mb\":\"much\"", "limits.memory_mb"},
            {"\"seed\":\"8c1f", "\"seed\":\"xyz", "seed"},
            {"\"name\":\"n1\"", "\"name\":\"n2\"", "PROXY_NAME"},
            {"127.0.0.1:0", "nowhere", "listen"},
            {"\"slo_s\":1.2", "\"slo_s\":\"x\"", "slo_s"},
            {"{\"name\"", "{name", ":1:"}
        };
        for (String[] one : cases) {
            Files.writeString(file, good.replace(one[0], one[1]));
            InvalidNodeConfigurationException fault =
                    assertThrows(
                            InvalidNodeConfigurationException.class, () -> Node.open(environment));
            assertTrue(fault.getMessage().contains(one[2]), fault.getMessage());
        }
    }
}
