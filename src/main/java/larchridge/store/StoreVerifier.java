package larchridge.store;

import java.io.IOException;
import java.io.InputStream;
import java.nio.channels.Channels;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Stream;
import larchridge.store.proto.BatchRecord;
import larchridge.store.proto.BatchState;
import larchridge.store.proto.FileRecord;

/**
 * Checks a whole store for consistency: blobs against their digests and sizes, reference counts
 * against the files, and batch records against their answers and input files.
 */
final class StoreVerifier {
    private final Store store;
    private final Map<String, Long> referenceCounts = new HashMap<>();
    private final Map<String, Long> blobSizes = new TreeMap<>();
    private final Map<String, FileRecord> files = new TreeMap<>();
    private final List<String> faults = new ArrayList<>();

    StoreVerifier(Store store) {
        this.store = store;
    }

    List<String> findFaults() throws IOException {
        store.forEachFile(
                (id, file) -> {
                    files.put(id, file);
                    referenceCounts.merge(file.getDigest(), 1L, Long::sum);
                    blobSizes.put(file.getDigest(), file.getBytes());
                });
        for (Map.Entry<String, Long> blob : blobSizes.entrySet()) {
            verifyBlob(blob.getKey(), blob.getValue());
        }
        if (!store.referenceCounts().equals(referenceCounts)) {
            faults.add(
                    "the stored reference counts ("
                            + store.referenceCounts().size()
                            + " blobs) differ from those counted from the file records ("
                            + referenceCounts.size()
                            + " blobs)");
        }
        for (Path path : unreferencedBlobs()) {
            faults.add(path.getFileName() + ": blob is not referenced by any file");
        }
        List<BatchRecord> batches = new ArrayList<>();
        store.forEachBatch((id, batch) -> batches.add(batch));
        for (BatchRecord batch : batches) {
            verifyBatch(batch);
        }
        return faults;
    }

    private void verifyBlob(String digest, long size) throws IOException {
        Path path = store.blobPath(digest);
        if (!Files.exists(path)) {
            faults.add(digest + ": blob is missing");
            return;
        }
        if (Files.size(path) != size) {
            faults.add(
                    digest
                            + ": blob has "
                            + Files.size(path)
                            + " bytes, its file record says "
                            + size);
            return;
        }
        if (!digestOf(path).equals(digest)) {
            faults.add(digest + ": blob does not match its digest");
        }
    }

    static String digestOf(Path path) throws IOException {
        try (InputStream in =
                Channels.newInputStream(FileChannel.open(path, StandardOpenOption.READ))) {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            byte[] buffer = new byte[1 << 16];
            for (int length = in.read(buffer); length >= 0; length = in.read(buffer)) {
                digest.update(buffer, 0, length);
            }
            return HexFormat.of().formatHex(digest.digest());
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("the Java runtime has no SHA-256", e);
        }
    }

    private void verifyBatch(BatchRecord batch) throws IOException {
        String id = batch.getId();
        boolean ended =
                switch (batch.getState()) {
                    case FAILED, COMPLETED, EXPIRED, CANCELLED -> true;
                    default -> false;
                };
        if (store.isActive(id) == ended) {
            faults.add(
                    id
                            + ": is "
                            + batch.getState()
                            + " and "
                            + (ended ? "" : "not ")
                            + "listed as active");
        }
        long[] answerCounts = store.countAnswers(id);
        if (ended && answerCounts[0] + answerCounts[1] > 0) {
            faults.add(id + ": has ended but still has line answers");
        }
        if (!ended
                && (answerCounts[0] != batch.getDone() || answerCounts[1] != batch.getFailed())) {
            faults.add(
                    id
                            + ": has "
                            + answerCounts[0]
                            + " good and "
                            + answerCounts[1]
                            + " failed line answers, but its record says "
                            + batch.getDone()
                            + " done and "
                            + batch.getFailed()
                            + " failed");
        }
        if (!ended && !files.containsKey(batch.getInput())) {
            faults.add(id + ": its input file " + batch.getInput() + " is missing");
        }
        if (ended
                && batch.getState() != BatchState.FAILED
                && batch.getDone() + batch.getFailed() != batch.getTotal()) {
            faults.add(
                    id
                            + ": has ended with "
                            + (batch.getDone() + batch.getFailed())
                            + " of "
                            + batch.getTotal()
                            + " lines answered");
        }
    }

    private List<Path> unreferencedBlobs() throws IOException {
        if (!Files.exists(store.blobFolder())) {
            return List.of();
        }
        try (Stream<Path> paths = Files.walk(store.blobFolder())) {
            return paths.filter(Files::isRegularFile)
                    .filter(path -> !referenceCounts.containsKey(path.getFileName().toString()))
                    .sorted()
                    .toList();
        }
    }

    List<String> repair() throws IOException {
        // Fills referenceCounts; the faults that it returns are not needed.
        findFaults();
        List<String> actions = new ArrayList<>();
        for (Path path : unreferencedBlobs()) {
            Files.delete(path);
            actions.add(path.getFileName() + ": deleted, not referenced by any file");
        }
        if (!store.referenceCounts().equals(referenceCounts)) {
            store.replaceReferenceCounts(referenceCounts);
            actions.add("reference counts rebuilt");
        }
        return actions;
    }
}
