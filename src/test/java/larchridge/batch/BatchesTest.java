package larchridge.batch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import larchridge.store.form.BatchRecord;
import larchridge.store.form.BatchState;
import larchridge.store.form.FileRecord;
import org.junit.jupiter.api.Test;

/**
 * Batches in virtual time: their ways, their ends, a disk that fails, and a process that ends at
 * each place it writes.
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
    void eachLineHasItsRecordInOrderOfTheInput() throws Exception {
        try (BatchFixture stage = new BatchFixture()) {
            BatchRecord batch = stage.make(stage.upload(BatchFixture.file(40)), HOUR);
            stage.loop.run(60_000);
            BatchRecord done = stage.batches.batch(batch.getId());
            assertEquals(BatchState.COMPLETED, done.getState());
            assertEquals(ids(40), stage.records(done.getOutput()).keySet());
            assertEquals("", done.getErrors());
            assertEquals(
                    "w1 w2 ",
                    stage.records(done).get("c7").at("/response/body/content/0/text").asText());
            assertTrue(stage.mostOut <= 8, "out at a time: " + stage.mostOut);
            assertEquals(List.of(), stage.store.verify());
        }
    }

    /**
     * Guards against: a line that is read again to be sent would move the place at which the rest
     * of a large input is read.
     */
    @Test
    void inputLargerThanAnyBufferIsReadWhole() throws Exception {
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < 300; i++) {
            text.append(BatchFixture.line("c" + i, "free", "ok " + "y".repeat(1500))).append('\n');
        }
        try (BatchFixture stage = new BatchFixture()) {
            BatchRecord batch = stage.make(stage.upload(text.toString()), HOUR);
            stage.loop.run(120_000);
            assertEquals(300, stage.records(stage.batches.batch(batch.getId()).getOutput()).size());
        }
    }

    @Test
    void brokenLinesFailTheBatchBeforeAnythingRuns() throws Exception {
        String good = BatchFixture.line("a", "free", "ok");
        String text =
                "\uFEFF"
                        + good
                        + "\r\n\n{\"custom_id\": \n"
                        + good
                        + "\n"
                        + "x".repeat(5000)
                        + "\n"
                        + good.replace("\"a\"", "\"b\"").replace("POST", "GET")
                        + "\n"
                        + good.replace("\"a\"", "\"d\"").replace("/v1/messages\"", "/v1/other\"");
        try (BatchFixture stage = new BatchFixture()) {
            BatchRecord batch = stage.make(stage.upload(text), HOUR);
            stage.loop.run(1000);
            BatchRecord failed = stage.batches.batch(batch.getId());
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
                                    f ->
                                            (f.getLine() + " " + f.getCode() + " " + f.getField())
                                                    .strip())
                            .toList());
            assertTrue(
                    failed.getFault(1).getMessage().endsWith("of line 1"),
                    failed.getFault(1).getMessage());
            assertTrue(stage.ran.isEmpty());
            assertTrue(stage.store.deleteFile(stage.store.file(failed.getInput())));
        }
    }

    @Test
    void linesThatFailGoAgainByTheirEffect() throws Exception {
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
        try (BatchFixture stage = new BatchFixture()) {
            BatchRecord batch = stage.make(stage.upload(text), HOUR);
            stage.loop.run(300_000);
            BatchRecord done = stage.batches.batch(batch.getId());
            assertEquals(BatchState.COMPLETED, done.getState());
            assertEquals(Set.of("free2", "busy"), stage.records(done.getOutput()).keySet());
            Map<String, JsonNode> errors = stage.records(done.getErrors());
            assertEquals("terminated", errors.get("free9").at("/error/code").asText());
            assertEquals("may_have_run", errors.get("once").at("/error/code").asText());
            assertEquals("may_have_run", errors.get("dedup").at("/error/code").asText());
            assertEquals(404, errors.get("nobody").at("/response/status_code").asInt());
            assertEquals(
                    Map.of("free2", 3, "free9", 3, "once", 1, "busy", 1, "dedup", 1), stage.ran);
            assertEquals(2, done.getDone());
            assertEquals(4, done.getFailed());
        }
    }

    @Test
    void cancelledBatchKeepsWhatWasAnsweredAndNamesTheRest() throws Exception {
        try (BatchFixture stage = new BatchFixture()) {
            BatchRecord batch = stage.make(stage.upload(BatchFixture.file(400)), HOUR);
            stage.loop.run(300);
            assertEquals(BatchState.CANCELLING, stage.batches.cancel(batch.getId()).getState());
            stage.loop.run(5000);
            BatchRecord done = stage.batches.batch(batch.getId());
            assertEquals(BatchState.CANCELLED, done.getState());
            assertEquals(ids(400), stage.records(done).keySet());
            assertTrue(done.getDone() > 0 && done.getFailed() > 0, done.toString());
            assertEquals(
                    "batch_cancelled",
                    stage.records(done.getErrors()).get("c399").at("/error/code").asText());
            assertNull(stage.batches.cancel(batch.getId()));
        }
    }

    @Test
    void batchThatExpiresWithLinesOutSaysThatTheyMayHaveRun() throws Exception {
        String text = BatchFixture.file(3) + BatchFixture.line("long", "free", "never") + "\n";
        try (BatchFixture stage = new BatchFixture()) {
            BatchRecord batch = stage.make(stage.upload(text), 10_000);
            stage.loop.run(11_000);
            BatchRecord done = stage.batches.batch(batch.getId());
            assertEquals(BatchState.EXPIRED, done.getState());
            JsonNode error = stage.records(done.getErrors()).get("long").path("error");
            assertEquals("batch_expired", error.path("code").asText());
            assertTrue(error.path("message").asText().contains("may have run"));
            assertEquals(3, done.getDone());
            assertEquals(0, stage.out);
        }
    }

    @Test
    void inputIsNotDeletedWhileItIsRead() throws Exception {
        try (BatchFixture stage = new BatchFixture()) {
            FileRecord input = stage.upload(BatchFixture.file(3));
            stage.make(input, HOUR);
            assertFalse(stage.store.deleteFile(input));
            stage.loop.run(60_000);
            assertTrue(stage.store.deleteFile(input));
        }
    }

    /** Guards against: a disk that is full for a while must cost no line its record. */
    @Test
    void diskThatFailsForAWhileLosesNothing() throws Exception {
        for (String failing :
                List.of(
                        "record attempts",
                        "record answers",
                        "sync incoming",
                        "finish batch",
                        "update batch")) {
            try (BatchFixture stage = new BatchFixture()) {
                BatchRecord batch = stage.make(stage.upload(BatchFixture.file(30)), HOUR);
                double from = stage.loop.nowMs();
                stage.points =
                        name -> {
                            if (name.equals(failing) && stage.loop.nowMs() < from + 5000) {
                                throw new IOException("No space left on device");
                            }
                        };
                stage.loop.run(60_000);
                BatchRecord done = stage.batches.batch(batch.getId());
                assertEquals(BatchState.COMPLETED, done.getState(), failing);
                assertEquals(ids(30), stage.records(done).keySet(), failing);
                assertEquals(List.of(), stage.store.verify(), failing);
            }
        }
    }

    @Test
    void manySmallBatchesAllEnd() throws Exception {
        try (BatchFixture stage = new BatchFixture()) {
            FileRecord input = stage.upload(BatchFixture.file(2));
            for (int i = 0; i < 300; i++) {
                stage.make(input, HOUR);
            }
            stage.loop.run(600_000);
            assertEquals(List.of(), stage.store.activeBatches());
            assertEquals(600, stage.ran.values().stream().mapToInt(Integer::intValue).sum());
        }
    }

    // ------------------------------------------------------------------ ends of the process

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
     * One client's day: it uploads, makes a batch, and after each end of the process looks for what
     * it was promised.
     */
    private static BatchRecord play(BatchFixture stage, boolean cancels, int atMost)
            throws Exception {
        FileRecord input = null;
        BatchRecord batch = null;
        boolean asked = false;
        for (int life = 0; life < atMost; life++) {
            try {
                if (input == null) {
                    List<String> kept = stage.store.listIds("g", 'f', -1, 10);
                    input = kept.isEmpty() ? stage.upload(MIXED) : stage.store.file(kept.get(0));
                }
                if (batch == null) {
                    List<String> kept = stage.store.listIds("g", 'b', -1, 10);
                    batch =
                            kept.isEmpty()
                                    ? stage.make(input, HOUR)
                                    : stage.batches.batch(kept.get(0));
                }
                if (cancels && !asked) {
                    stage.loop.run(60);
                    stage.batches.cancel(batch.getId());
                    asked = true;
                }
                stage.loop.run(120_000);
                return stage.batches.batch(batch.getId());
            } catch (BatchFixture.Halt e) {
                stage.store.close();
                reopen(stage);
            }
        }
        throw new AssertionError("did not end");
    }

    private static void reopen(BatchFixture stage) throws Exception {
        while (true) {
            try {
                stage.begin();
                return;
            } catch (BatchFixture.Halt e) {
                stage.store.close();
            }
        }
    }

    private static void whole(BatchFixture stage, BatchRecord done, String about) throws Exception {
        assertEquals(MIXED_IDS, stage.records(done).keySet(), about);
        assertEquals(MIXED_IDS.size(), done.getDone() + done.getFailed(), about);
        assertEquals(List.of(), stage.store.verify(), about);
        for (String once : List.of("once1", "once2", "busy1")) {
            assertTrue(
                    stage.ran.getOrDefault(once, 0) <= 1,
                    about + ": " + once + " ran " + stage.ran.get(once) + " times");
        }
        assertTrue(stage.store.activeBatches().isEmpty(), about);
    }

    @Test
    void processThatEndsAtAnyWriteLosesNoLineAndDoublesNone() throws Exception {
        for (boolean cancels : new boolean[] {false, true}) {
            BatchFixture.HaltAt count = new BatchFixture.HaltAt(-1);
            try (BatchFixture stage = new BatchFixture()) {
                stage.points = count;
                whole(stage, play(stage, cancels, 1), "undisturbed");
            }
            assertTrue(count.passed.size() > 30, "only " + count.passed.size() + " writes");
            for (int at = 1; at <= count.passed.size(); at++) {
                try (BatchFixture stage = new BatchFixture()) {
                    BatchFixture.HaltAt halt = new BatchFixture.HaltAt(at);
                    stage.points = halt;
                    whole(
                            stage,
                            play(stage, cancels, 3),
                            "ended at write "
                                    + at
                                    + " ("
                                    + count.passed.get(at - 1)
                                    + "), cancels "
                                    + cancels);
                }
            }
        }
    }

    @Test
    void processThatEndsAgainAndAgainComesThrough() throws Exception {
        int all = 0;
        for (long seed = 1; seed <= 3; seed++) {
            java.util.Random random = new java.util.Random(seed);
            try (BatchFixture stage = new BatchFixture()) {
                int[] ends = new int[1];
                stage.points =
                        name -> {
                            if (ends[0] < 25 && random.nextInt(6) == 0) {
                                ends[0]++;
                                throw new BatchFixture.Halt();
                            }
                        };
                whole(stage, play(stage, false, 60), "seed " + seed);
                all += ends[0];
            }
        }
        assertTrue(all >= 15, "ended only " + all + " times");
    }
}
