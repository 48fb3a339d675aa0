package larchridge.batch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import larchridge.store.Store;
import larchridge.store.proto.BatchRecord;
import larchridge.store.proto.BatchState;
import larchridge.store.proto.FileRecord;
import org.junit.jupiter.api.Test;

/**
 * Batches in virtual time: outcomes of lines and batches, a failing disk, and a crash at each write
 * of the store.
 */
class BatchesTest {
    private static final double HOUR = 3_600_000;

    private static Set<String> ids(int lines) {
        Set<String> ids = new TreeSet<>();
        for (int i = 0; i < lines; i++) {
            ids.add("c" + i);
        }
        return ids;
    }

    @Test
    void eachLineHasARecordInInputOrder() throws Exception {
        try (BatchFixture fixture = new BatchFixture()) {
            BatchRecord batch = fixture.createBatch(fixture.upload(BatchFixture.inputOf(40)), HOUR);
            fixture.loop.run(60_000);
            BatchRecord done = fixture.batches.batch(batch.getId());
            assertEquals(BatchState.COMPLETED, done.getState());
            assertEquals(ids(40), fixture.records(done.getOutput()).keySet());
            assertEquals("", done.getErrors());
            assertEquals(
                    "w1 w2 ",
                    fixture.records(done).get("c7").at("/response/body/content/0/text").asText());
            assertTrue(
                    fixture.maxOpenSubmissions <= 8,
                    "lines open at the same time: " + fixture.maxOpenSubmissions);
            assertEquals(List.of(), fixture.store.verify());
        }
    }

    /**
     * Guards against: rereading a line to submit it would move the position at which the rest of a
     * large input is read.
     */
    @Test
    void inputLargerThanTheReadBufferIsReadCompletely() throws Exception {
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < 300; i++) {
            text.append(BatchFixture.line("c" + i, "free", "ok " + "y".repeat(1500))).append('\n');
        }
        try (BatchFixture fixture = new BatchFixture()) {
            BatchRecord batch = fixture.createBatch(fixture.upload(text.toString()), HOUR);
            fixture.loop.run(120_000);
            assertEquals(
                    300, fixture.records(fixture.batches.batch(batch.getId()).getOutput()).size());
        }
    }

    @Test
    void invalidLinesFailTheBatchBeforeAnyLineRuns() throws Exception {
        String good = BatchFixture.line("a", "free", "ok");
        String text =
                ("\uFEFF" + good + "\r\n\n{\"custom_id\": \n")
                        + (good + "\n")
                        + ("x".repeat(5000) + "\n")
                        + (good.replace("\"a\"", "\"b\"").replace("POST", "GET") + "\n")
                        + good.replace("\"a\"", "\"d\"").replace("/v1/messages\"", "/v1/other\"");
        try (BatchFixture fixture = new BatchFixture()) {
            BatchRecord batch = fixture.createBatch(fixture.upload(text), HOUR);
            fixture.loop.run(1000);
            BatchRecord failed = fixture.batches.batch(batch.getId());
            assertEquals(BatchState.FAILED, failed.getState());
            assertEquals(
                    List.of(
                            "3 invalid_json_line",
                            "4 duplicate_custom_id custom_id",
                            "5 line_too_long",
                            "6 invalid_method method",
                            "7 mismatched_endpoint url"),
                    failed.getFaultList().stream()
                            .map(
                                    fault ->
                                            (fault.getLine()
                                                            + " "
                                                            + fault.getCode()
                                                            + " "
                                                            + fault.getField())
                                                    .strip())
                            .toList());
            assertTrue(
                    failed.getFault(1).getMessage().endsWith("of line 1"),
                    failed.getFault(1).getMessage());
            assertTrue(fixture.runsByCustomId.isEmpty());
            assertEquals(Store.Deletion.DELETED, fixture.store.deleteFile(failed.getInput()));
        }
    }

    @Test
    void failedLinesAreRetriedDependingOnTheirEffect() throws Exception {
        String text =
                BatchFixture.line("free2", "free", "fail 2")
                        + "\n"
                        + BatchFixture.line("free9", "free", "fail 9")
                        + "\n"
                        + BatchFixture.line("once", "once", "fail 1")
                        + "\n"
                        + BatchFixture.line("busy", "once", "busy 5")
                        + "\n"
                        + BatchFixture.line("dedup", "dedup", "fail 1")
                        + "\n"
                        + BatchFixture.line("nobody", "unknown", "ok");
        try (BatchFixture fixture = new BatchFixture()) {
            BatchRecord batch = fixture.createBatch(fixture.upload(text), HOUR);
            fixture.loop.run(300_000);
            BatchRecord done = fixture.batches.batch(batch.getId());
            assertEquals(BatchState.COMPLETED, done.getState());
            assertEquals(Set.of("free2", "busy"), fixture.records(done.getOutput()).keySet());
            Map<String, JsonNode> errors = fixture.records(done.getErrors());
            assertEquals("terminated", errors.get("free9").at("/error/code").asText());
            assertEquals("may_have_run", errors.get("once").at("/error/code").asText());
            assertEquals("may_have_run", errors.get("dedup").at("/error/code").asText());
            assertEquals(404, errors.get("nobody").at("/response/status_code").asInt());
            assertEquals(
                    Map.of("free2", 3, "free9", 3, "once", 1, "busy", 1, "dedup", 1),
                    fixture.runsByCustomId);
            assertEquals(2, done.getDone());
            assertEquals(4, done.getFailed());
        }
    }

    @Test
    void cancelledBatchKeepsAnswersAndRecordsTheOtherLinesAsCancelled() throws Exception {
        try (BatchFixture fixture = new BatchFixture()) {
            BatchRecord batch =
                    fixture.createBatch(fixture.upload(BatchFixture.inputOf(400)), HOUR);
            fixture.loop.run(300);
            assertEquals(BatchState.CANCELLING, fixture.batches.cancel(batch.getId()).getState());
            fixture.loop.run(5000);
            BatchRecord done = fixture.batches.batch(batch.getId());
            assertEquals(BatchState.CANCELLED, done.getState());
            assertEquals(ids(400), fixture.records(done).keySet());
            assertTrue(done.getDone() > 0 && done.getFailed() > 0, done.toString());
            assertEquals(
                    "batch_cancelled",
                    fixture.records(done.getErrors()).get("c399").at("/error/code").asText());
            assertNull(fixture.batches.cancel(batch.getId()));
        }
    }

    @Test
    void openLinesOfAnExpiredBatchAreRecordedAsPossiblyRun() throws Exception {
        String text = BatchFixture.inputOf(3) + BatchFixture.line("long", "free", "never") + "\n";
        try (BatchFixture fixture = new BatchFixture()) {
            BatchRecord batch = fixture.createBatch(fixture.upload(text), 10_000);
            fixture.loop.run(11_000);
            BatchRecord done = fixture.batches.batch(batch.getId());
            assertEquals(BatchState.EXPIRED, done.getState());
            JsonNode error = fixture.records(done.getErrors()).get("long").path("error");
            assertEquals("batch_expired", error.path("code").asText());
            assertTrue(error.path("message").asText().contains("may have run"));
            assertEquals(3, done.getDone());
            assertEquals(0, fixture.openSubmissions);
        }
    }

    @Test
    void inputFileCannotBeDeletedWhileABatchReadsIt() throws Exception {
        try (BatchFixture fixture = new BatchFixture()) {
            FileRecord input = fixture.upload(BatchFixture.inputOf(3));
            fixture.createBatch(input, HOUR);
            assertEquals(Store.Deletion.INPUT_IN_USE, fixture.store.deleteFile(input.getId()));
            fixture.loop.run(60_000);
            assertEquals(Store.Deletion.DELETED, fixture.store.deleteFile(input.getId()));
        }
    }

    /**
     * Guards against: a batch whose input is gone is tried for ever, and no line of any other batch
     * starts meanwhile; after a restart the service does not start.
     */
    @Test
    void batchWhoseInputIsGoneEndsWithAnErrorAndOthersGoOn() throws Exception {
        for (double ranMs : new double[] {0, 300}) {
            for (boolean restarts : new boolean[] {false, true}) {
                try (BatchFixture fixture = new BatchFixture()) {
                    FileRecord input = fixture.upload(BatchFixture.inputOf(100));
                    BatchRecord damaged = fixture.createBatch(input, HOUR);
                    fixture.loop.run(ranMs);
                    fixture.deleteContent(input);
                    if (restarts) {
                        fixture.killAndRestart();
                    }
                    BatchRecord other =
                            fixture.createBatch(fixture.upload(BatchFixture.inputOf(5)), HOUR);
                    fixture.loop.run(120_000);
                    BatchRecord failed = fixture.batches.batch(damaged.getId());
                    assertEquals(BatchState.FAILED, failed.getState());
                    assertEquals("input_damaged", failed.getFault(0).getCode());
                    assertEquals(
                            BatchState.COMPLETED, fixture.batches.batch(other.getId()).getState());
                }
            }
        }
    }

    /** Guards against: lines would have no record if the disk is full for a while. */
    @Test
    void temporaryDiskFailureLosesNoRecord() throws Exception {
        for (String failingWrite :
                List.of(
                        "record attempts",
                        "record answers",
                        "sync incoming",
                        "finish batch",
                        "update batch")) {
            try (BatchFixture fixture = new BatchFixture()) {
                BatchRecord batch =
                        fixture.createBatch(fixture.upload(BatchFixture.inputOf(30)), HOUR);
                double startMs = fixture.loop.nowMs();
                fixture.crashPoints =
                        name -> {
                            if (name.equals(failingWrite)
                                    && fixture.loop.nowMs() < startMs + 5000) {
                                throw new IOException("No space left on device");
                            }
                        };
                fixture.loop.run(60_000);
                BatchRecord done = fixture.batches.batch(batch.getId());
                assertEquals(BatchState.COMPLETED, done.getState(), failingWrite);
                assertEquals(ids(30), fixture.records(done).keySet(), failingWrite);
                assertEquals(List.of(), fixture.store.verify(), failingWrite);
            }
        }
    }

    @Test
    void manySmallBatchesAllComplete() throws Exception {
        try (BatchFixture fixture = new BatchFixture()) {
            FileRecord input = fixture.upload(BatchFixture.inputOf(2));
            for (int i = 0; i < 300; i++) {
                fixture.createBatch(input, HOUR);
            }
            fixture.loop.run(600_000);
            assertEquals(List.of(), fixture.store.activeBatches());
            assertEquals(
                    600,
                    fixture.runsByCustomId.values().stream().mapToInt(Integer::intValue).sum());
        }
    }

    // ------------------------------------------------------------------ crashes

    private static final String MIXED =
            BatchFixture.line("ok1", "free", "ok")
                    + "\n\n"
                    + BatchFixture.line("once1", "once", "ok")
                    + "\n"
                    + BatchFixture.line("fail1", "free", "fail 1")
                    + "\n"
                    + BatchFixture.line("busy1", "once", "busy 1")
                    + "\n"
                    + BatchFixture.line("bad", "unknown", "ok")
                    + "\n"
                    + BatchFixture.line("once2", "once", "slow 300")
                    + "\n"
                    + BatchFixture.line("ok2", "free", "slow 200")
                    + "\n";
    private static final Set<String> MIXED_IDS =
            Set.of("ok1", "once1", "fail1", "busy1", "bad", "once2", "ok2");

    /**
     * Acts as a client that uploads a file, creates a batch and optionally cancels it. After each
     * crash it looks for the file and the batch in the store and continues.
     */
    private static BatchRecord runToEnd(BatchFixture fixture, boolean cancels, int maxStarts)
            throws Exception {
        FileRecord input = null;
        BatchRecord batch = null;
        boolean cancelRequested = false;
        for (int starts = 0; starts < maxStarts; starts++) {
            try {
                if (input == null) {
                    List<String> ids = fixture.store.listIds("g", 'f', -1, 10);
                    input = ids.isEmpty() ? fixture.upload(MIXED) : fixture.store.file(ids.get(0));
                }
                if (batch == null) {
                    List<String> ids = fixture.store.listIds("g", 'b', -1, 10);
                    batch =
                            ids.isEmpty()
                                    ? fixture.createBatch(input, HOUR)
                                    : fixture.batches.batch(ids.get(0));
                }
                if (cancels && !cancelRequested) {
                    fixture.loop.run(60);
                    fixture.batches.cancel(batch.getId());
                    cancelRequested = true;
                }
                fixture.loop.run(120_000);
                return fixture.batches.batch(batch.getId());
            } catch (BatchFixture.SimulatedCrash e) {
                fixture.store.close();
                restart(fixture);
            }
        }
        throw new AssertionError("the batch did not end");
    }

    private static void restart(BatchFixture fixture) throws Exception {
        while (true) {
            try {
                fixture.start();
                return;
            } catch (BatchFixture.SimulatedCrash e) {
                fixture.store.close();
            }
        }
    }

    private static void assertComplete(BatchFixture fixture, BatchRecord done, String description)
            throws Exception {
        assertEquals(MIXED_IDS, fixture.records(done).keySet(), description);
        assertEquals(MIXED_IDS.size(), done.getDone() + done.getFailed(), description);
        assertEquals(List.of(), fixture.store.verify(), description);
        for (String once : List.of("once1", "once2", "busy1")) {
            assertTrue(
                    fixture.runsByCustomId.getOrDefault(once, 0) <= 1,
                    description
                            + ": "
                            + once
                            + " ran "
                            + fixture.runsByCustomId.get(once)
                            + " times");
        }
        assertTrue(fixture.store.activeBatches().isEmpty(), description);
    }

    @Test
    void crashAtAnyWriteLosesAndDuplicatesNoLine() throws Exception {
        for (boolean cancels : new boolean[] {false, true}) {
            BatchFixture.CrashAtWrite recorder = new BatchFixture.CrashAtWrite(-1);
            try (BatchFixture fixture = new BatchFixture()) {
                fixture.crashPoints = recorder;
                assertComplete(fixture, runToEnd(fixture, cancels, 1), "undisturbed");
            }
            assertTrue(
                    recorder.passedWrites.size() > 30,
                    "only " + recorder.passedWrites.size() + " writes");
            for (int writeNumber = 1; writeNumber <= recorder.passedWrites.size(); writeNumber++) {
                try (BatchFixture fixture = new BatchFixture()) {
                    BatchFixture.CrashAtWrite crash = new BatchFixture.CrashAtWrite(writeNumber);
                    fixture.crashPoints = crash;
                    assertComplete(
                            fixture,
                            runToEnd(fixture, cancels, 3),
                            "crashed at write "
                                    + writeNumber
                                    + " ("
                                    + recorder.passedWrites.get(writeNumber - 1)
                                    + "), cancels "
                                    + cancels);
                }
            }
        }
    }

    @Test
    void batchCompletesDespiteRepeatedCrashes() throws Exception {
        int totalCrashes = 0;
        for (long seed = 1; seed <= 3; seed++) {
            java.util.Random random = new java.util.Random(seed);
            try (BatchFixture fixture = new BatchFixture()) {
                int[] crashes = new int[1];
                fixture.crashPoints =
                        name -> {
                            if (crashes[0] < 25 && random.nextInt(6) == 0) {
                                crashes[0]++;
                                throw new BatchFixture.SimulatedCrash();
                            }
                        };
                assertComplete(fixture, runToEnd(fixture, false, 60), "seed " + seed);
                totalCrashes += crashes[0];
            }
        }
        assertTrue(totalCrashes >= 15, "crashed only " + totalCrashes + " times");
    }
}
