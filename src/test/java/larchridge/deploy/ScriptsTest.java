package larchridge.deploy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** The shell scripts beside the program, run as the platform and CI run them. */
@Timeout(60)
class ScriptsTest {
    @TempDir Path folder;

    private record Run(int code, String out, String faults) {}

    private Run run(Map<String, String> variables, String... command)
            throws IOException, InterruptedException {
        Path out = folder.resolve("out");
        Path faults = folder.resolve("faults");
        ProcessBuilder builder =
                new ProcessBuilder(command)
                        .redirectOutput(out.toFile())
                        .redirectError(faults.toFile());
        builder.environment().putAll(variables);
        Process process = builder.start();
        assertTrue(process.waitFor(20, TimeUnit.SECONDS));
        return new Run(process.exitValue(), Files.readString(out), Files.readString(faults));
    }

    /**
     * What the node's script starts as java; nothing else can be found, so that any other program
     * would be missed.
     */
    private String started(String config) throws Exception {
        Path java = folder.resolve("bin/java");
        Files.createDirectories(java.getParent());
        Files.writeString(java, "#!/bin/sh\necho \"$@\"\n");
        assertTrue(java.toFile().setExecutable(true));
        Path file = folder.resolve("config.json");
        Files.writeString(file, config, StandardCharsets.UTF_8);
        Run run =
                run(
                        Map.of(
                                "PATH",
                                java.getParent().toString(),
                                "PROXY_CONFIG",
                                file.toString()),
                        "/bin/sh",
                        "deploy/node.sh");
        assertEquals("", run.faults());
        assertEquals(0, run.code());
        return run.out();
    }

    @Test
    void nodeStartsWithBuiltInCommandsAloneAndFindsItsMemoryInAnyFormOfTheConfiguration()
            throws Exception {
        String engines =
                "{\"name\":\"s-1\",\"address\":\"10.1.0.18:8443\",\"weight\":1.0},".repeat(100);
        for (String limits :
                List.of(
                        "{\"cores\":1.0,\"memory_mb\":100,\"sockets\":4096}",
                        "{\"memory_mb\":100}",
                        "{ \"memory_mb\" :\n 100\n , \"sockets\" : 1 }",
                        "{\r\n\t\"sockets\": 1,\r\n\t\"memory_mb\"\r\n:\t100.5 }")) {
            for (String config :
                    List.of(
                            "{\"known\":[" + engines + "1],\"limits\":" + limits + "}",
                            "{\"limits\":" + limits + ",\n\n\"known\":[" + engines + "1]}\n")) {
                String line = started(config);
                assertTrue(
                        line.contains(" -Xms30m -Xmx30m ")
                                && line.contains("MaxDirectMemorySize=10m"),
                        line);
            }
        }
        assertTrue(started("{\"limits\":{}}").contains(" -Xmx57m "));
        assertTrue(started("{}").contains("-Djava.net.preferIPv4Stack=true"));
    }

    private Run knownRed(String lines) throws Exception {
        Path test = folder.resolve("src/test/java/larchridge/a/OneTest.java");
        Files.createDirectories(test.getParent());
        Files.writeString(
                test,
                "class OneTest {\n    @Test\n    void fails() {\n    }\n\n    @Test\n    @Timeout(1)\n"
                        + "    void other() {\n    }\n\n    private void helper() {\n    }\n}\n");
        Files.writeString(folder.resolve("KNOWN-RED.txt"), lines);
        return run(Map.of(), "bash", ".ci/known-red", folder.toString());
    }

    @Test
    void knownRedTestsAreLeftOutAndToldAndAFourthOrAWrongLineFails() throws Exception {
        String one = "larchridge.a.OneTest#fails, the list is read late, under load, 24\n";
        Run run = knownRed(one + "larchridge.a.OneTest#other, late, 7\n");
        assertEquals("-Dtest=!larchridge.a.OneTest#fails,!larchridge.a.OneTest#other\n", run.out());
        assertTrue(run.faults().contains(one));
        assertEquals(0, run.code());
        assertEquals(new Run(0, "", ""), knownRed(""));
        for (String wrong :
                List.of(
                        one.repeat(4),
                        "larchridge.a.OneTest#gone, why, 24",
                        "larchridge.a.OneTest, why, 24",
                        "larchridge.a.OneTest#helper, why, 24",
                        "larchridge.b.OneTest#fails, why, 24",
                        "larchridge.a.OneTest#fails, 24",
                        "larchridge.a.OneTest#fails, why",
                        "larchridge.a.OneTest#*, why, 24")) {
            assertNotEquals(0, knownRed(wrong).code(), wrong);
        }
    }
}
