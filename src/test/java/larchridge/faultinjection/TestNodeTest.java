package larchridge.faultinjection;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * The faults that are read from a node's log. Guards against: a log message is reworded, and the
 * fault injection runs no longer detect the fault that it reports.
 */
class TestNodeTest {
    private static final Path SOURCES = Path.of("src/main/java/larchridge");
    private static final String JVM_MESSAGE = "OutOfMemoryError";

    @TempDir Path folder;

    @Test
    void eachFaultMessageIsLoggedSomewhereInTheNode() throws IOException {
        String sources = nodeSources();
        for (String message : TestNode.FAULT_MESSAGES) {
            if (!message.equals(JVM_MESSAGE)) {
                assertTrue(sources.contains(message), message);
            }
        }
    }

    @Test
    void policyExceptionIsReportedAsFault() throws IOException {
        TestNode node = new TestNode(0, 1, null, null, folder, "{}");
        Files.write(
                folder.resolve("node0.log"),
                List.of("routing policy threw an exception", "serving"));
        assertEquals(List.of("node 0: routing policy threw an exception"), node.reportedFaults());
    }

    private static String nodeSources() throws IOException {
        StringBuilder text = new StringBuilder();
        try (Stream<Path> files = Files.walk(SOURCES)) {
            for (Path file : files.filter(Files::isRegularFile).sorted().toList()) {
                if (!file.startsWith(SOURCES.resolve("faultinjection"))) {
                    text.append(Files.readString(file));
                }
            }
        }
        return text.toString();
    }
}
