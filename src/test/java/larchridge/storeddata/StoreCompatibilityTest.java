package larchridge.storeddata;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.net.URISyntaxException;
import java.nio.channels.Channels;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.List;
import larchridge.store.CrashPoints;
import larchridge.store.IncomingFile;
import larchridge.store.Store;
import larchridge.store.proto.BatchRecord;
import larchridge.store.proto.BatchState;
import larchridge.store.proto.FileRecord;
import larchridge.store.proto.InputError;
import larchridge.store.proto.LineAnswer;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against: a change that makes existing stores unreadable. Opens a store written by the
 * build of commit f8721a5; the expected values are those of the program that wrote it, {@code
 * stored-data/f8721a5/WriteStoredData.java} in the test resources.
 */
class StoreCompatibilityTest {
    private static final int ALL_IDS = 100;

    @TempDir private Path folder;

    @BeforeEach
    void copyStoredStore() throws IOException, URISyntaxException {
        Path stored = Path.of(getClass().getResource("/stored-data/f8721a5").toURI());
        Store.copyFolder(stored.resolve("store"), folder.resolve("store"));
    }

    // ------------------------------------------------------------------ files

    private Store openStore() throws IOException {
        return Store.open(folder.resolve("store"), CrashPoints.NONE);
    }

    private static FileRecord.Builder file(String id, long number, String tenant, String name) {
        return FileRecord.newBuilder().setId(id).setNumber(number).setTenant(tenant).setName(name);
    }

    /** Checks a file's record against the expected one and its content against the digest. */
    private static void assertFile(Store store, FileRecord.Builder expected, String content)
            throws IOException, NoSuchAlgorithmException {
        byte[] bytes = content.getBytes(StandardCharsets.UTF_8);
        FileRecord file = store.file(expected.getId());
        assertEquals(expected.setBytes(bytes.length).build(), file);
        try (InputStream in = Channels.newInputStream(store.openContent(file))) {
            byte[] stored = in.readAllBytes();
            assertEquals(content, new String(stored, StandardCharsets.UTF_8));
            byte[] digest = MessageDigest.getInstance("SHA-256").digest(stored);
            assertEquals(HexFormat.of().formatHex(digest), file.getDigest());
        }
    }

    @Test
    void inputFilesAreReadWithTheirDigests() throws Exception {
        try (Store store = openStore()) {
            assertFile(
                    store,
                    file("file-1-1", 1, "acme", "first.jsonl")
                            .setPurpose("batch")
                            .setCreatedMs(1)
                            .setDigest(
                                    "d1449e843cb929e6d60b11dabd4cb3e54b9b6bc73e1b9845295bf11eedbd5c1e"),
                    "{\"custom_id\":\"a\"}\n{\"custom_id\":\"b\"}\n");
            assertFile(
                    store,
                    file("file-1-2", 2, "globex", "zweite-\u00f1.jsonl")
                            .setPurpose("batch")
                            .setCreatedMs(2)
                            .setDigest(
                                    "21a364e2ee91ffe9daa01fa63df851de81fe2abe47a64431684c8ea6a711652c"),
                    "{\"custom_id\":\"c\"}\n");
            assertTrue(store.isInputInUse("file-1-1"));
            assertTrue(store.isInputInUse("file-1-2"));
        }
    }

    @Test
    void outputAndErrorFilesAreReadWithTheirDigests() throws Exception {
        try (Store store = openStore()) {
            assertFile(
                    store,
                    file("file-1-4", 4, "acme", "batch_1-3_output.jsonl")
                            .setPurpose("batch_output")
                            .setCreatedMs(1000)
                            .setDigest(
                                    "087205dbbb203cda8599a99c0d6c157238b1b0d42e60b9cc2178ada2e3997ab0"),
                    "{\"id\":\"completed-0\"}\n");
            assertFile(
                    store,
                    file("file-1-5", 5, "acme", "batch_1-3_error.jsonl")
                            .setPurpose("batch_output")
                            .setCreatedMs(1000)
                            .setDigest(
                                    "2bc43c359e4c6ecef68ebf362c368099f6d381cdc4cf684afaab167a20d4e2a3"),
                    "{\"id\":\"completed-1\"}\n");
            assertFile(
                    store,
                    file("file-1-8", 8, "globex", "batch_1-7_error.jsonl")
                            .setPurpose("batch_output")
                            .setCreatedMs(3000)
                            .setDigest(
                                    "d2dd16e5864e2212d7b3fb66de061ced71ca7bc40c1219c282b7fff330e04f1a"),
                    "{\"id\":\"expired-0\"}\n");
            assertFile(
                    store,
                    file("file-1-a", 10, "globex", "batch_1-9_output.jsonl")
                            .setPurpose("batch_output")
                            .setCreatedMs(4000)
                            .setDigest(
                                    "907f750067f14946a4e90d1726975f3617be3787d0f88bfe0c630a060ada9844"),
                    "{\"id\":\"cancelled-0\"}\n");
            assertFalse(store.isInputInUse("file-1-4"));
        }
    }

    @Test
    void pagesAndTotalsOfTenantsAreRead() throws Exception {
        try (Store store = openStore()) {
            assertEquals(
                    List.of("file-1-5", "file-1-4", "file-1-1"),
                    store.listIds("acme", 'f', -1, ALL_IDS));
            assertEquals(
                    List.of("file-1-a", "file-1-8", "file-1-2"),
                    store.listIds("globex", 'f', -1, ALL_IDS));
            assertEquals(
                    List.of("batch_2-d", "batch_2-c", "batch_1-3"),
                    store.listIds("acme", 'b', -1, ALL_IDS));
            assertEquals(
                    List.of("batch_2-e", "batch_2-b", "batch_1-9", "batch_1-7", "batch_1-6"),
                    store.listIds("globex", 'b', -1, ALL_IDS));
            assertEquals(3, store.storedFiles("acme"));
            assertEquals(36 + 21 + 21, store.storedBytes("acme"));
            assertEquals(3, store.storedFiles("globex"));
            assertEquals(18 + 19 + 21, store.storedBytes("globex"));
        }
    }

    // ------------------------------------------------------------------ batches

    private static BatchRecord.Builder batch(String id, long number, BatchState state) {
        return BatchRecord.newBuilder()
                .setId(id)
                .setNumber(number)
                .setState(state)
                .setEndpoint("/v1/chat/completions")
                .setWindow("24h");
    }

    private static BatchRecord.Builder acme(BatchRecord.Builder batch, long createdMs) {
        return batch.setTenant("acme")
                .setInput("file-1-1")
                .setCreatedMs(createdMs)
                .setExpiresMs(createdMs + 86_400_000);
    }

    private static BatchRecord.Builder globex(BatchRecord.Builder batch, long createdMs) {
        return batch.setTenant("globex")
                .setInput("file-1-2")
                .setCreatedMs(createdMs)
                .setExpiresMs(createdMs + 86_400_000);
    }

    private static BatchRecord validating() {
        return globex(batch("batch_2-b", 11, BatchState.VALIDATING), 50).build();
    }

    private static BatchRecord inProgress() {
        return acme(batch("batch_2-c", 12, BatchState.IN_PROGRESS), 60)
                .setInProgressMs(61)
                .setTotal(3)
                .setDone(1)
                .setFailed(1)
                .setLowLine(2)
                .setLowOffset(36)
                .build();
    }

    private static BatchRecord finalizing() {
        return acme(batch("batch_2-d", 13, BatchState.FINALIZING), 70)
                .setEnding(BatchState.COMPLETED)
                .setInProgressMs(71)
                .setFinalizingMs(7000)
                .setTotal(2)
                .setDone(2)
                .build();
    }

    private static BatchRecord cancelling() {
        return globex(batch("batch_2-e", 14, BatchState.CANCELLING), 80)
                .setInProgressMs(81)
                .setCancellingMs(8000)
                .setTotal(1)
                .build();
    }

    @Test
    void unfinishedBatchesAreActive() throws Exception {
        try (Store store = openStore()) {
            assertEquals(
                    List.of(validating(), inProgress(), finalizing(), cancelling()),
                    store.activeBatches());
            assertEquals(
                    0,
                    store.recordCustomId("batch_2-b", "c", 9),
                    "the line that has this custom id");
        }
    }

    @Test
    void completedAndFailedBatchesAreRead() throws Exception {
        try (Store store = openStore()) {
            assertEquals(
                    acme(batch("batch_1-3", 3, BatchState.COMPLETED), 10)
                            .setEnding(BatchState.COMPLETED)
                            .setInProgressMs(11)
                            .setFinalizingMs(12)
                            .setEndedMs(13)
                            .setTotal(2)
                            .setDone(1)
                            .setFailed(1)
                            .setOutput("file-1-4")
                            .setErrors("file-1-5")
                            .putMetadata("job", "nightly")
                            .build(),
                    store.batch("batch_1-3"));
            assertEquals(
                    globex(batch("batch_1-6", 6, BatchState.FAILED), 20)
                            .setEndedMs(2000)
                            .addFault(
                                    InputError.newBuilder()
                                            .setCode("invalid_json_line")
                                            .setLine(3)
                                            .setField("body")
                                            .setMessage("not JSON"))
                            .build(),
                    store.batch("batch_1-6"));
        }
    }

    @Test
    void expiredAndCancelledBatchesAreRead() throws Exception {
        try (Store store = openStore()) {
            assertEquals(
                    globex(batch("batch_1-7", 7, BatchState.EXPIRED), 30)
                            .setEnding(BatchState.EXPIRED)
                            .setInProgressMs(31)
                            .setFinalizingMs(32)
                            .setEndedMs(33)
                            .setTotal(1)
                            .setFailed(1)
                            .setErrors("file-1-8")
                            .build(),
                    store.batch("batch_1-7"));
            assertEquals(
                    globex(batch("batch_1-9", 9, BatchState.CANCELLED), 40)
                            .setEnding(BatchState.CANCELLED)
                            .setInProgressMs(41)
                            .setFinalizingMs(42)
                            .setEndedMs(43)
                            .setCancellingMs(3500)
                            .setTotal(1)
                            .setDone(1)
                            .setOutput("file-1-a")
                            .build(),
                    store.batch("batch_1-9"));
        }
    }

    // ------------------------------------------------------------------ lines

    private static LineAnswer answer(boolean good, String text) {
        return LineAnswer.newBuilder().setGood(good).setText(text).build();
    }

    @Test
    void lineAnswersAndAttemptsAreRead() throws Exception {
        try (Store store = openStore()) {
            assertEquals(
                    answer(true, "{\"id\":\"in-progress-0\",\"text\":\"se\u00f1al\"}"),
                    store.answer("batch_2-c", 0));
            assertEquals(answer(false, "{\"id\":\"in-progress-1\"}"), store.answer("batch_2-c", 1));
            assertNull(store.answer("batch_2-c", 2));
            assertEquals(0, store.attempts("batch_2-c", 0));
            assertEquals(2, store.attempts("batch_2-c", 2));
            assertEquals(answer(true, "{\"id\":\"finalizing-0\"}"), store.answer("batch_2-d", 0));
            assertEquals(answer(true, "{\"id\":\"finalizing-1\"}"), store.answer("batch_2-d", 1));
            assertNull(store.answer("batch_2-e", 0));
            assertEquals(1, store.attempts("batch_2-e", 0));
            assertFalse(
                    store.isAnswered("batch_1-3", 0), "the answers of an ended batch are deleted");
        }
    }

    // ------------------------------------------------------------------ the whole store

    @Test
    void storedStoreOpensReadOnly() throws Exception {
        try (Store store = Store.openReadOnly(folder.resolve("store"))) {
            assertEquals(
                    List.of(validating(), inProgress(), finalizing(), cancelling()),
                    store.activeBatches());
            assertEquals(List.of(), store.verify());
        }
    }

    @Test
    void storedStoreIsExtendedByItsNextOwner() throws Exception {
        try (Store store = openStore()) {
            assertEquals(3, store.epoch());
            assertEquals(List.of(), store.verify());
            IncomingFile incoming = store.createIncomingFile();
            incoming.write(new byte[] {'x'}, 0, 1);
            FileRecord added = store.addFile(incoming.sync(), "acme", "new.jsonl", "batch", 9000);
            assertEquals("file-3-f", added.getId());
            assertEquals(
                    "batch_3-g", store.createBatch(acme(BatchRecord.newBuilder(), 9000)).getId());
            assertEquals(List.of(), store.verify());
        }
    }
}
