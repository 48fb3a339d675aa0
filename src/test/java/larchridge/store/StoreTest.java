package larchridge.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.channels.Channels;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.stream.Stream;
import larchridge.store.proto.BatchRecord;
import larchridge.store.proto.BatchState;
import larchridge.store.proto.FileRecord;
import larchridge.store.proto.LineAnswer;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class StoreTest {
    private Path folder;
    private Store store;

    /** Simulates the end of the process at a crash point. */
    private static final class SimulatedCrash extends Error {
        private static final long serialVersionUID = 1;
    }

    @BeforeEach
    void open() throws IOException {
        folder = Files.createTempDirectory("larchridge-store");
        store = Store.open(folder.resolve("s"), CrashPoints.NONE);
    }

    @AfterEach
    void close() throws IOException {
        store.close();
        deleteRecursively(folder);
    }

    static void deleteRecursively(Path folder) throws IOException {
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        }
    }

    static FileRecord addFile(Store store, String tenant, String text) throws IOException {
        IncomingFile incoming = store.createIncomingFile();
        incoming.write(text.getBytes(StandardCharsets.UTF_8), 0, text.length());
        return store.addFile(incoming.sync(), tenant, "n", "batch", 1);
    }

    static String readContent(Store store, FileRecord file) throws IOException {
        return new String(
                Channels.newInputStream(store.openContent(file)).readAllBytes(),
                StandardCharsets.UTF_8);
    }

    @Test
    void secondOwnerIsRejectedUntilTheFirstCloses() throws IOException {
        assertThrows(
                Store.InUseException.class,
                () -> Store.open(folder.resolve("s"), CrashPoints.NONE));
        long epoch = store.epoch();
        store.close();
        store = Store.open(folder.resolve("s"), CrashPoints.NONE);
        assertEquals(epoch + 1, store.epoch());
    }

    @Test
    void identicalContentIsStoredOnceUntilItsLastFileIsDeleted() throws IOException {
        FileRecord first = addFile(store, "a", "same");
        FileRecord second = addFile(store, "b", "same");
        assertEquals(first.getDigest(), second.getDigest());
        assertEquals(Store.Deletion.DELETED, store.deleteFile(first.getId()));
        assertEquals("same", readContent(store, second));
        assertEquals(Store.Deletion.DELETED, store.deleteFile(second.getId()));
        assertFalse(Files.exists(store.blobPath(second.getDigest())));
        assertEquals(List.of(), store.verify());
    }

    /**
     * Guards against: a client that is reset repeats its deletion, both look-ups come before the
     * first is committed, and the second takes the content of another tenant's file.
     */
    @Test
    void repeatedDeletionTakesNothingFromOtherFilesOfTheSameContent() throws IOException {
        FileRecord first = addFile(store, "a", "same");
        FileRecord other = addFile(store, "b", "same");
        FileRecord kept = addFile(store, "a", "kept");
        assertEquals(Store.Deletion.DELETED, store.deleteFile(first.getId()));
        assertEquals(Store.Deletion.NO_SUCH_FILE, store.deleteFile(first.getId()));
        assertEquals("same", readContent(store, other));
        assertEquals(1, store.storedFiles("a"));
        assertEquals(kept.getBytes(), store.storedBytes("a"));
        assertEquals(List.of(), store.verify());
    }

    /**
     * Guards against: a batch whose end is repeated frees the input of another batch, which could
     * then be deleted while that batch reads it.
     */
    @Test
    void repeatedEndOfABatchLeavesTheInputOfAnotherInUse() throws IOException {
        FileRecord input = addFile(store, "a", "lines");
        BatchRecord.Builder template =
                BatchRecord.newBuilder().setTenant("a").setInput(input.getId());
        BatchRecord first = store.createBatch(template.clone());
        store.createBatch(template.clone());
        BatchRecord.Builder completed = first.toBuilder().setState(BatchState.COMPLETED);
        store.finishBatch(completed.clone(), null, null, 1);
        store.finishBatch(completed.clone(), null, null, 2);
        store.updateBatch(first.toBuilder().setState(BatchState.FAILED).build());
        assertTrue(store.isInputInUse(input.getId()));
        assertEquals(Store.Deletion.INPUT_IN_USE, store.deleteFile(input.getId()));
    }

    @Test
    void verifyFindsDamageAndRepairRemovesUnreferencedBlobs() throws IOException {
        FileRecord file = addFile(store, "a", "good bytes");
        FileRecord missing = addFile(store, "a", "other");
        Files.writeString(store.blobPath(file.getDigest()), "bad bytes!");
        Files.delete(store.blobPath(missing.getDigest()));
        Path unreferenced = store.blobFolder().resolve("ff").resolve("f".repeat(64));
        Files.createDirectories(unreferenced.getParent());
        Files.writeString(unreferenced, "?");
        List<String> faults = store.verify();
        assertEquals(3, faults.size(), faults.toString());
        assertEquals(1, store.repair().size());
        assertFalse(Files.exists(unreferenced));
        assertEquals(2, store.verify().size());
    }

    @Test
    void snapshotIsCompleteAndIndependent() throws IOException {
        FileRecord file = addFile(store, "a", "before");
        BatchRecord batch =
                store.createBatch(BatchRecord.newBuilder().setTenant("a").setInput(file.getId()));
        store.snapshot(folder.resolve("copy"));
        FileRecord later = addFile(store, "a", "after");
        try (Store copy = Store.open(folder.resolve("copy"), CrashPoints.NONE)) {
            assertEquals("before", readContent(copy, copy.file(file.getId())));
            assertEquals(batch, copy.batch(batch.getId()));
            assertNull(copy.file(later.getId()));
            assertEquals(List.of(), copy.verify());
            addFile(copy, "a", "only there");
        }
        assertEquals(2, store.storedFiles("a"));
    }

    @Test
    void pagesAreNewestFirstAndOfOneTenant() throws IOException {
        List<String> ids = new ArrayList<>();
        for (int i = 0; i < 7; i++) {
            ids.add(0, addFile(store, "a", "t" + i).getId());
            addFile(store, "ab", "u" + i);
        }
        assertEquals(ids.subList(0, 3), store.listIds("a", 'f', -1, 3));
        assertEquals(
                ids.subList(3, 7), store.listIds("a", 'f', store.file(ids.get(2)).getNumber(), 9));
    }

    // ------------------------------------------------------------------ comparison with a model

    /** The expected content of a store. */
    private static final class Model {
        final Map<String, String> files = new TreeMap<>();
        final Map<String, String> inputs = new TreeMap<>();
        final Map<String, Map<Long, String>> answers = new TreeMap<>();
    }

    /**
     * Guards against: operations lost or half applied by a crash. After any sequence of steps, with
     * crashes at arbitrary writes, the store matches the model: completed steps are present, and an
     * interrupted step is applied completely or not at all.
     */
    @Property(tries = 60, seed = "20261201", shrinking = ShrinkingMode.BOUNDED)
    void matchesTheModelAcrossCrashes(
            @ForAll @Size(max = 40) List<@IntRange(min = 0, max = 9) Integer> steps,
            @ForAll long seed)
            throws IOException {
        Path storeFolder = Files.createTempDirectory("larchridge-model");
        Random random = new Random(seed);
        int[] writesUntilCrash = {-1};
        CrashPoints crashPoints =
                name -> {
                    if (writesUntilCrash[0] > 0 && --writesUntilCrash[0] == 0) {
                        throw new SimulatedCrash();
                    }
                };
        Model model = new Model();
        Store current = Store.open(storeFolder, crashPoints);
        try {
            for (int step : steps) {
                // A quarter of the steps crash at one of their first six crash points.
                writesUntilCrash[0] = random.nextInt(4) == 0 ? 1 + random.nextInt(6) : -1;
                try {
                    applyStep(current, model, step, random);
                } catch (SimulatedCrash e) {
                    current.close();
                    writesUntilCrash[0] = -1;
                    current = Store.open(storeFolder, crashPoints);
                    adoptStateAfterCrash(current, model);
                }
                writesUntilCrash[0] = -1;
                assertMatches(current, model);
            }
            assertEquals(List.of(), current.verify());
        } finally {
            current.close();
            deleteRecursively(storeFolder);
        }
    }

    private static void applyStep(Store store, Model model, int step, Random random)
            throws IOException {
        List<String> files = List.copyOf(model.files.keySet());
        List<String> batches = List.copyOf(model.inputs.keySet());
        if (step < 4 || files.isEmpty()) {
            String text = "text " + random.nextInt(5);
            model.files.put(addFile(store, "t", text).getId(), text);
        } else if (step == 4) {
            String id = files.get(random.nextInt(files.size()));
            assertEquals(
                    model.inputs.containsValue(id)
                            ? Store.Deletion.INPUT_IN_USE
                            : Store.Deletion.DELETED,
                    store.deleteFile(id));
            if (!model.inputs.containsValue(id)) {
                model.files.remove(id);
            }
        } else if (step == 5 || batches.isEmpty()) {
            String input = files.get(random.nextInt(files.size()));
            String id =
                    store.createBatch(BatchRecord.newBuilder().setTenant("t").setInput(input))
                            .getId();
            model.inputs.put(id, input);
            model.answers.put(id, new TreeMap<>());
        } else if (step < 9) {
            String id = batches.get(random.nextInt(batches.size()));
            long line = random.nextInt(6);
            boolean isNew = !model.answers.get(id).containsKey(line);
            LineAnswer answer =
                    LineAnswer.newBuilder().setGood(true).setText("answer " + line).build();
            store.recordAttempts(id, line, 1, random.nextBoolean());
            BatchRecord batch = store.batch(id);
            store.recordAnswers(
                    List.of(new Store.AnsweredLine(id, line, answer)),
                    List.of(
                            isNew
                                    ? batch.toBuilder().setDone(batch.getDone() + 1).build()
                                    : batch));
            model.answers.get(id).put(line, answer.getText());
        } else {
            String id = batches.get(random.nextInt(batches.size()));
            IncomingFile output = store.createIncomingFile();
            output.write("out".getBytes(StandardCharsets.UTF_8), 0, 3);
            BatchRecord done =
                    store.finishBatch(
                            store.batch(id).toBuilder()
                                    .setState(BatchState.COMPLETED)
                                    .setTotal(store.batch(id).getDone()),
                            output.sync(),
                            null,
                            1);
            model.files.put(done.getOutput(), "out");
            model.inputs.remove(id);
            model.answers.remove(id);
        }
    }

    /**
     * After a crash, updates the model to the content of the store, and checks that the interrupted
     * step changed it by at most one file and that no answer was lost.
     */
    private static void adoptStateAfterCrash(Store store, Model model) throws IOException {
        List<String> ids = store.listIds("t", 'f', -1, 1000);
        int before = model.files.size();
        for (String id : ids) {
            model.files.putIfAbsent(id, readContent(store, store.file(id)));
        }
        model.files.keySet().retainAll(ids);
        assertTrue(Math.abs(model.files.size() - before) <= 1, "a step changed more than one file");
        model.inputs.clear();
        for (BatchRecord batch : store.activeBatches()) {
            model.inputs.put(batch.getId(), batch.getInput());
            Map<Long, String> answers =
                    model.answers.computeIfAbsent(batch.getId(), id -> new TreeMap<>());
            for (long line = 0; line < 6; line++) {
                LineAnswer answer = store.answer(batch.getId(), line);
                assertTrue(answer != null || !answers.containsKey(line), "an answer was lost");
                if (answer != null) {
                    answers.put(line, answer.getText());
                }
            }
        }
        model.answers.keySet().retainAll(model.inputs.keySet());
    }

    private static void assertMatches(Store store, Model model) throws IOException {
        List<String> ids = store.listIds("t", 'f', -1, 1000);
        assertEquals(List.copyOf(model.files.keySet()), ids.stream().sorted().toList());
        for (Map.Entry<String, String> file : model.files.entrySet()) {
            assertEquals(file.getValue(), readContent(store, store.file(file.getKey())));
        }
        assertEquals(
                List.copyOf(model.inputs.keySet()),
                store.activeBatches().stream().map(BatchRecord::getId).sorted().toList());
        for (String id : model.inputs.keySet()) {
            assertEquals(model.answers.get(id).size(), store.batch(id).getDone());
            assertTrue(store.isInputInUse(model.inputs.get(id)));
        }
    }
}
