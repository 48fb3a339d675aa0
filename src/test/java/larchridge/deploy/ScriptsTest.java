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
        Path script = folder.resolve("review/1/run.sh");
        Files.createDirectories(script.getParent());
        Files.writeString(script, "#!/bin/sh\n");
        assertTrue(script.toFile().setExecutable(true));
        Files.createDirectories(folder.resolve("review/standins"));
        Files.writeString(folder.resolve("review/standins/OneCase.java"), "");
        Files.writeString(folder.resolve("KNOWN-RED.txt"), lines);
        return run(Map.of(), "bash", ".ci/known-red", folder.toString());
    }

    private static final String KNOWN_RED_TEST =
            "larchridge.a.OneTest#fails | mvn -B verify -Dtest=OneTest, seed 7 | late, under load | 24\n";

    @Test
    void knownRedTestsAreLeftOutAndTold() throws Exception {
        String other =
                "larchridge.a.OneTest#other | mvn -B verify -Dtest=OneTest, no seed | late | 7\n";
        Run run = knownRed(KNOWN_RED_TEST + other);
        assertEquals("-Dtest=!larchridge.a.OneTest#fails,!larchridge.a.OneTest#other\n", run.out());
        assertTrue(run.faults().contains(KNOWN_RED_TEST));
        assertTrue(run.faults().contains(other));
        assertEquals(0, run.code());
        assertEquals(new Run(0, "", ""), knownRed(""));
    }

    @Test
    void knownRedRunsThatCiDoesNotMakeAreToldAndLeaveNothingOut() throws Exception {
        String entries =
                "review/1 | review/1/run.sh, no seed | 3 of 5 runs failed | 50\n"
                        + "OneCase | java -cp target/review OneCase /tmp/one, no seed | lost | 50\n"
                        + "soak | java -jar target/larchridge.jar soak --minutes 5, seed 3 | lost | 50\n"
                        + "faults | java -jar target/larchridge.jar faults --runs 3, seed 3 | lost | 50\n"
                        + "bench | kit/bin/lbreal score SITE --panel brink, seed 81 | a day failed | 50\n";
        Run run = knownRed(entries);
        assertEquals("", run.out());
        assertEquals(0, run.code());
        for (String entry : entries.split("\n")) {
            assertTrue(run.faults().contains(entry), run.faults());
        }
    }

    @Test
    void knownRedEntriesOfAnotherFormAreRefusedWithTheirLine() throws Exception {
        assertEquals(0, knownRed(KNOWN_RED_TEST.repeat(10)).code());
        Run tooMany = knownRed(KNOWN_RED_TEST.repeat(11));
        assertNotEquals(0, tooMany.code());
        assertTrue(tooMany.faults().contains("KNOWN-RED.txt:11:"), tooMany.faults());
        for (String wrong :
                List.of(
                        "larchridge.a.OneTest#gone | mvn verify, no seed | late | 24",
                        "larchridge.a.OneTest | mvn verify, no seed | late | 24",
                        "larchridge.a.OneTest#helper | mvn verify, no seed | late | 24",
                        "larchridge.b.OneTest#fails | mvn verify, no seed | late | 24",
                        "larchridge.a.OneTest#* | mvn verify, no seed | late | 24",
                        "larchridge.a.OneTest#fails | mvn verify | late | 24",
                        "larchridge.a.OneTest#fails | mvn verify, seed x | late | 24",
                        "larchridge.a.OneTest#fails | mvn verify, no seed | | 24",
                        "larchridge.a.OneTest#fails | mvn verify, no seed | late",
                        "larchridge.a.OneTest#fails | late | 24",
                        "larchridge.a.OneTest#fails, late, 24",
                        "review/2 | review/2/run.sh, no seed | lost | 50",
                        "review/2 | review/1/run.sh, no seed | lost | 50",
                        "review/1 | rm -r review/1/run.sh, no seed | lost | 50",
                        "Other | java -cp target/review Other /tmp/one, no seed | lost | 50",
                        "faults | java -jar target/larchridge.jar soak, no seed | lost | 50",
                        "bench | mvn verify, no seed | lost | 50")) {
            Run run = knownRed(KNOWN_RED_TEST + wrong);
            assertNotEquals(0, run.code(), wrong);
            assertTrue(run.faults().contains("KNOWN-RED.txt:2:"), run.faults());
        }
    }
}
