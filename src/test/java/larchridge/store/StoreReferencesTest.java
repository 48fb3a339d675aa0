package larchridge.store;

import static larchridge.store.StoreTest.addFile;
import static larchridge.store.StoreTest.deleteRecursively;
import static larchridge.store.StoreTest.readContent;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Stream;
import larchridge.store.proto.BatchRecord;
import larchridge.store.proto.BatchState;
import larchridge.store.proto.FileRecord;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

/** The contents and sums that a store keeps for the files of several tenants. */
class StoreReferencesTest {
    /** What the files of some tenants should be, with all ids that were ever looked up. */
    private static final class ReferenceModel {
        final Map<String, FileRecord> files = new TreeMap<>();
        final Map<String, String> texts = new TreeMap<>();
        final List<String> lookedUp = new ArrayList<>();
        final List<BatchRecord> batches = new ArrayList<>();
        final Set<String> endedBatches = new HashSet<>();

        boolean isInputInUse(String id) {
            return batches.stream()
                    .anyMatch(
                            batch ->
                                    batch.getInput().equals(id)
                                            && !endedBatches.contains(batch.getId()));
        }
    }

    /**
     * Guards against: references and usage sums that drift. Uploads, deletions, batches and their
     * ends of three tenants come in any order, each of the latter also again or after a look-up
     * that is out of date; every content is there while a file has it, and gone after that.
     */
    @Property(tries = 40, seed = "20261204", shrinking = ShrinkingMode.BOUNDED)
    void contentAndUsageMatchTheReferences(
            @ForAll @Size(max = 60) List<@IntRange(min = 0, max = 9) Integer> steps,
            @ForAll long seed)
            throws IOException {
        Path storeFolder = Files.createTempDirectory("larchridge-references");
        Random random = new Random(seed);
        ReferenceModel model = new ReferenceModel();
        Store current = Store.open(storeFolder, CrashPoints.NONE);
        try {
            for (int step : steps) {
                applyStep(current, model, step, random);
                assertMatches(current, model);
            }
            assertEquals(List.of(), current.verify());
        } finally {
            current.close();
            deleteRecursively(storeFolder);
        }
    }

    private static void applyStep(Store store, ReferenceModel model, int step, Random random)
            throws IOException {
        if (step < 4 || model.lookedUp.isEmpty()) {
            String text = "text " + random.nextInt(3);
            FileRecord file = addFile(store, "t" + random.nextInt(3), text);
            model.files.put(file.getId(), file);
            model.texts.put(file.getId(), text);
            model.lookedUp.add(file.getId());
        } else if (step < 7) {
            String id = model.lookedUp.get(random.nextInt(model.lookedUp.size()));
            Store.Deletion expected =
                    !model.files.containsKey(id)
                            ? Store.Deletion.NO_SUCH_FILE
                            : model.isInputInUse(id)
                                    ? Store.Deletion.INPUT_IN_USE
                                    : Store.Deletion.DELETED;
            assertEquals(expected, store.deleteFile(id));
            if (expected == Store.Deletion.DELETED) {
                model.files.remove(id);
            }
        } else if (step == 7 || model.batches.isEmpty()) {
            String id = model.lookedUp.get(random.nextInt(model.lookedUp.size()));
            if (model.files.containsKey(id)) {
                model.batches.add(
                        store.createBatch(
                                BatchRecord.newBuilder()
                                        .setTenant(model.files.get(id).getTenant())
                                        .setInput(id)));
            }
        } else {
            BatchRecord batch = model.batches.get(random.nextInt(model.batches.size()));
            store.finishBatch(batch.toBuilder().setState(BatchState.COMPLETED), null, null, 1);
            model.endedBatches.add(batch.getId());
        }
    }

    private static void assertMatches(Store store, ReferenceModel model) throws IOException {
        Map<String, Long> bytes = new TreeMap<>();
        Map<String, Long> counts = new TreeMap<>();
        Set<String> digests = new HashSet<>();
        for (FileRecord file : model.files.values()) {
            assertEquals(model.texts.get(file.getId()), readContent(store, file));
            bytes.merge(file.getTenant(), file.getBytes(), Long::sum);
            counts.merge(file.getTenant(), 1L, Long::sum);
            digests.add(file.getDigest());
        }
        for (String tenant : List.of("t0", "t1", "t2")) {
            assertEquals(bytes.getOrDefault(tenant, 0L), store.storedBytes(tenant));
            assertEquals(counts.getOrDefault(tenant, 0L), store.storedFiles(tenant));
        }
        try (Stream<Path> blobs = Files.walk(store.blobFolder())) {
            assertEquals(digests.size(), blobs.filter(Files::isRegularFile).count());
        }
    }
}
