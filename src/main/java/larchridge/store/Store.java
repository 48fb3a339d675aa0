package larchridge.store;

import com.google.protobuf.InvalidProtocolBufferException;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.UUID;
import java.util.function.BiConsumer;
import java.util.stream.Stream;
import larchridge.store.proto.BatchRecord;
import larchridge.store.proto.BatchState;
import larchridge.store.proto.FileRecord;
import larchridge.store.proto.LineAnswer;
import larchridge.store.proto.LineAttempts;
import org.rocksdb.Checkpoint;
import org.rocksdb.ColumnFamilyDescriptor;
import org.rocksdb.ColumnFamilyHandle;
import org.rocksdb.ColumnFamilyOptions;
import org.rocksdb.DBOptions;
import org.rocksdb.RocksDB;
import org.rocksdb.RocksDBException;
import org.rocksdb.RocksIterator;
import org.rocksdb.WALRecoveryMode;
import org.rocksdb.WriteBatch;
import org.rocksdb.WriteOptions;

/**
 * Durable, crash-safe storage of files and batches. File contents are immutable blobs in the folder
 * {@code blobs}, named by their SHA-256; everything else is in one RocksDB, so that related changes
 * are written atomically. Records that are acknowledged to a client are synced first. After a
 * crash, an interrupted operation is either complete or absent, and an absent one can be repeated;
 * files that it left behind are deleted at the next opening.
 *
 * <p>One process owns a store through the operating system's lock on its database, which is
 * released when the process ends. Each owner has a higher epoch than the one before. All writes,
 * except those to an {@link IncomingFile}, are made on a single thread of the owner.
 */
public final class Store implements AutoCloseable {
    private static final byte[] EPOCH = "epoch".getBytes(StandardCharsets.UTF_8);

    static {
        RocksDB.loadLibrary();
    }

    private final Path folder;
    private final Path blobs;
    private final Path incomingFolder;
    private final CrashPoints crashPoints;
    private final DBOptions options;
    private final ColumnFamilyOptions familyOptions = new ColumnFamilyOptions();
    private final List<ColumnFamilyHandle> handles = new ArrayList<>();
    private final RocksDB db;
    private final boolean writable;
    private long epoch;
    private long lastSequenceNumber;

    /** The number of bytes and the number of files stored, by tenant. */
    private final Map<String, long[]> tenantUsage = new HashMap<>();

    /** The number of active batches by the id of their input file. */
    private final Map<String, Integer> activeBatchesByInput = new HashMap<>();

    /** The column families. Their lower-case names are stored; META is the default family. */
    private enum Family {
        /** The epoch. */
        META,
        /** File records by id. */
        FILES,
        /** Batch records by id. */
        BATCHES,
        /** Ids of files and batches by tenant and kind, newest first. */
        ORDER,
        /** Ids of the batches that have not ended, without values. */
        ACTIVE,
        /** Answers to lines of active batches, by batch and line. */
        ANSWERS,
        /** Counted attempts of unanswered lines, which may have run, by batch and line. */
        FLIGHTS,
        /** Line indexes by batch and digest of the custom id, while the input is validated. */
        NAMES,
        /** The number of files that refer to a blob, by its digest. */
        BLOBS
    }

    private Store(Path folder, CrashPoints crashPoints, boolean writable)
            throws RocksDBException, IOException {
        this.folder = folder;
        this.crashPoints = crashPoints;
        this.writable = writable;
        blobs = folder.resolve("blobs");
        incomingFolder = folder.resolve("arriving");
        if (writable) {
            Files.createDirectories(blobs);
            Files.createDirectories(incomingFolder);
        }
        options =
                new DBOptions()
                        .setCreateIfMissing(writable)
                        .setCreateMissingColumnFamilies(writable)
                        .setWalRecoveryMode(WALRecoveryMode.TolerateCorruptedTailRecords)
                        .setMaxTotalWalSize(128 << 20)
                        .setKeepLogFileNum(2);
        List<ColumnFamilyDescriptor> descriptors = new ArrayList<>();
        for (Family family : Family.values()) {
            descriptors.add(
                    new ColumnFamilyDescriptor(
                            family == Family.META
                                    ? RocksDB.DEFAULT_COLUMN_FAMILY
                                    : family.name()
                                            .toLowerCase(java.util.Locale.ROOT)
                                            .getBytes(StandardCharsets.UTF_8),
                            familyOptions));
        }
        String path = folder.resolve("db").toString();
        db =
                writable
                        ? RocksDB.open(options, path, descriptors, handles)
                        : RocksDB.openReadOnly(options, path, descriptors, handles);
    }

    /**
     * Opens a store as its owner.
     *
     * @throws InUseException if another process owns the store
     */
    public static Store open(Path folder, CrashPoints crashPoints) throws IOException {
        Store store;
        try {
            store = new Store(folder, crashPoints, true);
        } catch (RocksDBException e) {
            if (e.getMessage().contains("lock")) {
                throw new InUseException("store " + folder + " is owned by another process");
            }
            throw new StoreException("store " + folder + " can't be opened: " + e.getMessage(), e);
        }
        boolean opened = false;
        try {
            store.becomeOwner();
            opened = true;
            return store;
        } finally {
            if (!opened) {
                store.close();
            }
        }
    }

    /**
     * Opens a store for reading, also while another process owns it; reads return its state at the
     * time of opening.
     */
    public static Store openReadOnly(Path folder) throws IOException {
        try {
            return new Store(folder, CrashPoints.NONE, false);
        } catch (RocksDBException e) {
            throw new StoreException("store " + folder + " can't be read: " + e.getMessage(), e);
        }
    }

    /** Thrown if another process owns the store. */
    public static final class InUseException extends IOException {
        private static final long serialVersionUID = 1;

        InUseException(String message) {
            super(message);
        }
    }

    private void becomeOwner() throws IOException {
        epoch = decodeLong(get(Family.META, EPOCH)) + 1;
        try (Stream<Path> unfinished = Files.list(incomingFolder)) {
            // Incoming files that the previous owner left behind were never acknowledged.
            for (Path path : unfinished.toList()) {
                Files.delete(path);
            }
        }
        try (RocksIterator iterator = db.newIterator(handle(Family.ORDER))) {
            for (iterator.seekToFirst(); iterator.isValid(); iterator.next()) {
                lastSequenceNumber =
                        Math.max(lastSequenceNumber, Long.MAX_VALUE - trailingLong(iterator.key()));
            }
        }
        forEachFile((id, file) -> addToTenantUsage(file, 1));
        forEachEntry(
                Family.ACTIVE,
                new byte[0],
                (key, value) -> {
                    try {
                        activeBatchesByInput.merge(batch(text(key)).getInput(), 1, Integer::sum);
                    } catch (IOException e) {
                        throw new IllegalStateException(e);
                    }
                });
        deleteUnreferencedBlobs();
        commit("increment epoch", new Change().put(Family.META, EPOCH, encodeLong(epoch)));
    }

    /**
     * Deletes blobs that the previous owner moved into place without committing a record, or whose
     * last reference it deleted without deleting the blob.
     */
    private void deleteUnreferencedBlobs() throws IOException {
        try (Stream<Path> paths = Files.walk(blobs)) {
            for (Path path : paths.filter(Files::isRegularFile).toList()) {
                if (get(Family.BLOBS, key(path.getFileName().toString())) == null) {
                    Files.delete(path);
                }
            }
        }
    }

    /** The number of owners of the store so far, including this one; 0 if opened for reading. */
    public long epoch() {
        return epoch;
    }

    // ------------------------------------------------------------------ files

    /**
     * Creates an empty file to receive an upload or the results of a batch; may be called on any
     * thread.
     */
    public IncomingFile createIncomingFile() throws IOException {
        return new IncomingFile(incomingFolder.resolve(UUID.randomUUID() + ".in"), crashPoints);
    }

    /** The total size of a tenant's files. */
    public long storedBytes(String tenant) {
        return tenantUsage.getOrDefault(tenant, new long[2])[0];
    }

    /** The number of a tenant's files. */
    public long storedFiles(String tenant) {
        return tenantUsage.getOrDefault(tenant, new long[2])[1];
    }

    /** Adds a synced incoming file to the store; the file is durable when this returns. */
    public FileRecord addFile(
            IncomingFile incoming, String tenant, String name, String purpose, long nowMs)
            throws IOException {
        Change change = new Change();
        FileRecord file = stageFile(incoming, tenant, name, purpose, nowMs, change);
        commit("add file", change);
        addToTenantUsage(file, 1);
        return file;
    }

    /**
     * Moves the content to its blob and adds the file record to {@code change}. A crash before the
     * change is committed leaves an unreferenced blob, which the next owner deletes.
     */
    private FileRecord stageFile(
            IncomingFile incoming,
            String tenant,
            String name,
            String purpose,
            long nowMs,
            Change change)
            throws IOException {
        String digest = incoming.digest();
        Path target = blobPath(digest);
        Files.createDirectories(target.getParent());
        crashPoints.reached("move blob");
        if (Files.exists(target)) {
            Files.delete(incoming.path);
        } else {
            Files.move(incoming.path, target, StandardCopyOption.ATOMIC_MOVE);
        }
        syncDirectory(target.getParent());
        long number = ++lastSequenceNumber;
        FileRecord file =
                FileRecord.newBuilder()
                        .setId("file-" + Long.toString(epoch, 36) + "-" + Long.toString(number, 36))
                        .setTenant(tenant)
                        .setName(name)
                        .setPurpose(purpose)
                        .setBytes(incoming.bytes())
                        .setCreatedMs(nowMs)
                        .setDigest(digest)
                        .setNumber(number)
                        .build();
        change.put(Family.FILES, key(file.getId()), file.toByteArray());
        change.put(Family.ORDER, orderKey(tenant, 'f', number), key(file.getId()));
        change.addReferences(digest, 1);
        return file;
    }

    private void addToTenantUsage(FileRecord file, int sign) {
        long[] usage = tenantUsage.computeIfAbsent(file.getTenant(), name -> new long[2]);
        usage[0] += sign * file.getBytes();
        usage[1] += sign;
    }

    /** The record of the file with this id, or null if there is none. */
    public FileRecord file(String id) throws IOException {
        byte[] bytes = get(Family.FILES, key(id));
        return bytes == null ? null : FileRecord.parseFrom(bytes);
    }

    /** Thrown if a file, or its content, is not in the store. */
    public static final class MissingContentException extends IOException {
        private static final long serialVersionUID = 1;

        MissingContentException(String fileId, Throwable cause) {
            super("file " + fileId + " is not in the store", cause);
        }
    }

    /**
     * Opens the content of a file; the channel stays readable even if the file is deleted.
     *
     * @throws MissingContentException if the content is gone
     */
    public FileChannel openContent(FileRecord file) throws IOException {
        try {
            return FileChannel.open(blobPath(file.getDigest()), StandardOpenOption.READ);
        } catch (NoSuchFileException e) {
            throw new MissingContentException(file.getId(), e);
        }
    }

    /**
     * Opens the input of a batch.
     *
     * @throws MissingContentException if the file or its content is gone
     */
    public FileChannel openInput(BatchRecord batch) throws IOException {
        FileRecord input = file(batch.getInput());
        if (input == null) {
            throw new MissingContentException(batch.getInput(), null);
        }
        return openContent(input);
    }

    /** Whether a file is the input of an active batch. */
    public boolean isInputInUse(String fileId) {
        return activeBatchesByInput.containsKey(fileId);
    }

    /** The result of a request to delete a file. */
    public enum Deletion {
        /** The file is deleted. */
        DELETED,
        /** The file is kept, since it is the input of an active batch. */
        INPUT_IN_USE,
        /** There is no such file, or no longer. */
        NO_SUCH_FILE
    }

    /**
     * Deletes a file. Guards against: callers look files up on other threads, and a repeated
     * request whose look-up came before the first was committed would release the content a second
     * time, on which files of others may depend.
     */
    public Deletion deleteFile(String id) throws IOException {
        FileRecord file = file(id);
        if (file == null) {
            return Deletion.NO_SUCH_FILE;
        }
        if (isInputInUse(id)) {
            return Deletion.INPUT_IN_USE;
        }
        Change change =
                new Change()
                        .delete(Family.FILES, key(file.getId()))
                        .delete(Family.ORDER, orderKey(file.getTenant(), 'f', file.getNumber()));
        change.addReferences(file.getDigest(), -1);
        commit("delete file", change);
        addToTenantUsage(file, -1);
        if (get(Family.BLOBS, key(file.getDigest())) == null) {
            crashPoints.reached("remove blob");
            Files.deleteIfExists(blobPath(file.getDigest()));
        }
        return Deletion.DELETED;
    }

    /**
     * Lists ids of a tenant's files or batches, newest first.
     *
     * @param kind {@code 'f'} for files, {@code 'b'} for batches
     * @param afterNumber the sequence number of the last item of the previous page, or -1 for the
     *     first page
     * @param limit the most ids to return
     */
    public List<String> listIds(String tenant, char kind, long afterNumber, int limit)
            throws IOException {
        List<String> ids = new ArrayList<>();
        byte[] prefix = orderKey(tenant, kind, -1);
        try (RocksIterator iterator = db.newIterator(handle(Family.ORDER))) {
            for (iterator.seek(afterNumber < 0 ? prefix : orderKey(tenant, kind, afterNumber - 1));
                    iterator.isValid() && startsWith(iterator.key(), prefix) && ids.size() < limit;
                    iterator.next()) {
                ids.add(text(iterator.value()));
            }
        }
        return ids;
    }

    // ------------------------------------------------------------------ batches

    /** Creates a batch in state VALIDATING; synced. */
    public BatchRecord createBatch(BatchRecord.Builder builder) throws IOException {
        long number = ++lastSequenceNumber;
        BatchRecord batch =
                builder.setNumber(number)
                        .setState(BatchState.VALIDATING)
                        .setId(
                                "batch_"
                                        + Long.toString(epoch, 36)
                                        + "-"
                                        + Long.toString(number, 36))
                        .build();
        Change change =
                new Change()
                        .put(Family.BATCHES, key(batch.getId()), batch.toByteArray())
                        .put(
                                Family.ORDER,
                                orderKey(batch.getTenant(), 'b', number),
                                key(batch.getId()))
                        .put(Family.ACTIVE, key(batch.getId()), new byte[0]);
        commit("create batch", change);
        activeBatchesByInput.merge(batch.getInput(), 1, Integer::sum);
        return batch;
    }

    /** The record of the batch with this id, or null if there is none. */
    public BatchRecord batch(String id) throws IOException {
        byte[] bytes = get(Family.BATCHES, key(id));
        return bytes == null ? null : BatchRecord.parseFrom(bytes);
    }

    /** The batches that have not ended, in the order of their creation. */
    public List<BatchRecord> activeBatches() throws IOException {
        List<BatchRecord> batches = new ArrayList<>();
        List<String> ids = new ArrayList<>();
        forEachEntry(Family.ACTIVE, new byte[0], (key, value) -> ids.add(text(key)));
        for (String id : ids) {
            batches.add(batch(id));
        }
        batches.sort(java.util.Comparator.comparingLong(BatchRecord::getNumber));
        return batches;
    }

    /**
     * Replaces the record of a batch; synced. State FAILED ends the batch: what is stored only
     * while it is active is deleted, and its input is no longer in use. The other final states are
     * set by {@link #finishBatch}.
     */
    public void updateBatch(BatchRecord batch) throws IOException {
        Change change = new Change().put(Family.BATCHES, key(batch.getId()), batch.toByteArray());
        boolean ends = batch.getState() == BatchState.FAILED && isActive(batch.getId());
        if (ends) {
            deleteActiveState(batch, change);
        }
        commit("update batch", change);
        if (ends) {
            releaseInput(batch);
        }
    }

    /** Adds to {@code change} the deletion of what is stored only while a batch is active. */
    private static void deleteActiveState(BatchRecord batch, Change change) throws IOException {
        change.delete(Family.ACTIVE, key(batch.getId()));
        for (Family family : List.of(Family.ANSWERS, Family.FLIGHTS, Family.NAMES)) {
            change.deleteRange(family, lineKey(batch.getId(), 0), lineKey(batch.getId(), -1));
        }
    }

    /** Must be called once for a batch: other active batches may have the same input. */
    private void releaseInput(BatchRecord batch) {
        activeBatchesByInput.computeIfPresent(
                batch.getInput(), (id, count) -> count > 1 ? count - 1 : null);
    }

    /**
     * Ends a batch: atomically adds its files, stores its final record and deletes the records of
     * its lines. {@code output} and {@code errors} may be null if the file would be empty. After a
     * crash the call can be repeated with newly written files; a batch that has ended keeps the
     * files it has.
     */
    public BatchRecord finishBatch(
            BatchRecord.Builder batch, IncomingFile output, IncomingFile errors, long nowMs)
            throws IOException {
        if (!isActive(batch.getId())) {
            return batch(batch.getId());
        }
        Change change = new Change();
        List<FileRecord> files = new ArrayList<>();
        if (output != null) {
            files.add(
                    stageFile(
                            output,
                            batch.getTenant(),
                            batch.getId() + "_output.jsonl",
                            "batch_output",
                            nowMs,
                            change));
            batch.setOutput(files.get(0).getId());
        }
        if (errors != null) {
            files.add(
                    stageFile(
                            errors,
                            batch.getTenant(),
                            batch.getId() + "_error.jsonl",
                            "batch_output",
                            nowMs,
                            change));
            batch.setErrors(files.get(files.size() - 1).getId());
        }
        BatchRecord done = batch.build();
        change.put(Family.BATCHES, key(done.getId()), done.toByteArray());
        deleteActiveState(done, change);
        commit("finish batch", change);
        files.forEach(file -> addToTenantUsage(file, 1));
        releaseInput(done);
        return done;
    }

    // ------------------------------------------------------------------ lines

    /**
     * Records the custom id of a line during validation. Returns the index, from 0, of an earlier
     * line with the same custom id, or -1. Not durable: a crash may lose it.
     */
    public long recordCustomId(String batchId, String customId, long lineIndex) throws IOException {
        byte[] key = Arrays.copyOf(key(batchId + '\0'), batchId.length() + 17);
        System.arraycopy(sha256(customId), 0, key, batchId.length() + 1, 16);
        byte[] previous = get(Family.NAMES, key);
        if (previous != null) {
            return decodeLong(previous);
        }
        try (WriteOptions withoutLog = new WriteOptions().setDisableWAL(true)) {
            db.put(handle(Family.NAMES), withoutLog, key, encodeLong(lineIndex));
            return -1;
        } catch (RocksDBException e) {
            throw new StoreException("the store can't be written: " + e.getMessage(), e);
        }
    }

    /** Deletes the custom ids recorded for a batch. */
    public void forgetCustomIds(String batchId) throws IOException {
        commit(
                "forget custom ids",
                new Change().deleteRange(Family.NAMES, lineKey(batchId, 0), lineKey(batchId, -1)));
    }

    /**
     * Records, before a line is sent to a router, how many attempts it has had including this one.
     *
     * @param sync whether to sync first, required if a line that may have run must not be repeated
     */
    public void recordAttempts(String batchId, long lineIndex, int attempts, boolean sync)
            throws IOException {
        crashPoints.reached("record attempts");
        try (WriteOptions writeOptions = new WriteOptions().setSync(sync)) {
            db.put(
                    handle(Family.FLIGHTS),
                    writeOptions,
                    lineKey(batchId, lineIndex),
                    LineAttempts.newBuilder().setAttempts(attempts).build().toByteArray());
        } catch (RocksDBException e) {
            throw new StoreException("the store can't be written: " + e.getMessage(), e);
        }
    }

    /**
     * Takes the last attempt of a line off its recorded attempts, because it certainly did not run
     * or is harmless to repeat.
     *
     * @param attempts the attempts that remain counted
     */
    public void removeLastAttempt(String batchId, long lineIndex, int attempts) throws IOException {
        if (attempts > 0) {
            recordAttempts(batchId, lineIndex, attempts, false);
            return;
        }
        crashPoints.reached("record not run");
        try {
            db.delete(handle(Family.FLIGHTS), lineKey(batchId, lineIndex));
        } catch (RocksDBException e) {
            throw new StoreException("the store can't be written: " + e.getMessage(), e);
        }
    }

    /** The number of recorded attempts of a line. */
    public int attempts(String batchId, long lineIndex) throws IOException {
        byte[] bytes = get(Family.FLIGHTS, lineKey(batchId, lineIndex));
        return bytes == null ? 0 : LineAttempts.parseFrom(bytes).getAttempts();
    }

    /** Whether a line has an answer. */
    public boolean isAnswered(String batchId, long lineIndex) throws IOException {
        return get(Family.ANSWERS, lineKey(batchId, lineIndex)) != null;
    }

    /** The answer to a line, or null if there is none. */
    public LineAnswer answer(String batchId, long lineIndex) throws IOException {
        byte[] bytes = get(Family.ANSWERS, lineKey(batchId, lineIndex));
        return bytes == null ? null : LineAnswer.parseFrom(bytes);
    }

    /** A line of a batch, by its index from 0, and its answer; for {@link #recordAnswers}. */
    public record AnsweredLine(String batchId, long lineIndex, LineAnswer answer) {}

    /** Stores answers and the updated records of their batches in one synced change. */
    public void recordAnswers(List<AnsweredLine> lines, List<BatchRecord> batches)
            throws IOException {
        Change change = new Change();
        for (AnsweredLine line : lines) {
            change.put(
                    Family.ANSWERS,
                    lineKey(line.batchId(), line.lineIndex()),
                    line.answer().toByteArray());
            change.delete(Family.FLIGHTS, lineKey(line.batchId(), line.lineIndex()));
        }
        for (BatchRecord batch : batches) {
            change.put(Family.BATCHES, key(batch.getId()), batch.toByteArray());
        }
        commit("record answers", change);
    }

    // ------------------------------------------------------------------ maintenance

    /**
     * Copies the current state of the store to a folder that does not exist yet. Blobs are hard
     * links where the file system allows it.
     */
    public void snapshot(Path to) throws IOException {
        Files.createDirectories(to);
        crashPoints.reached("snapshot");
        try (Checkpoint checkpoint = Checkpoint.create(db)) {
            checkpoint.createCheckpoint(to.resolve("db").toString());
        } catch (RocksDBException e) {
            throw new StoreException("the snapshot failed: " + e.getMessage(), e);
        }
        List<String> digests = new ArrayList<>();
        forEachEntry(Family.BLOBS, new byte[0], (key, value) -> digests.add(text(key)));
        for (String digest : digests) {
            linkOrCopy(blobPath(digest), blobPathIn(to.resolve("blobs"), digest));
        }
        syncDirectory(to);
    }

    /**
     * Copies the files of a store to a folder that does not exist yet. The store must not be
     * written meanwhile; it may be in the state that a killed process leaves.
     */
    public static void copyFolder(Path from, Path to) throws IOException {
        try (Stream<Path> paths = Files.walk(from)) {
            for (Path path : paths.toList()) {
                Path target = to.resolve(from.relativize(path).toString());
                if (Files.isDirectory(path)) {
                    Files.createDirectories(target);
                } else {
                    Files.copy(path, target);
                }
            }
        }
    }

    /** Creates a hard link, or a copy where the file system has no hard links. */
    static void linkOrCopy(Path from, Path to) throws IOException {
        Files.createDirectories(to.getParent());
        try {
            Files.createLink(to, from);
        } catch (UnsupportedOperationException | java.nio.file.FileSystemException e) {
            Files.copy(from, to, StandardCopyOption.REPLACE_EXISTING);
        }
    }

    /** Checks the whole store; returns a message per fault, none if it is consistent. */
    public List<String> verify() throws IOException {
        return new StoreVerifier(this).findFaults();
    }

    /**
     * Deletes unreferenced blobs and rebuilds the reference counts. Returns a message per action;
     * other faults remain.
     */
    public List<String> repair() throws IOException {
        return new StoreVerifier(this).repair();
    }

    void forEachFile(BiConsumer<String, FileRecord> consumer) throws IOException {
        forEachEntry(
                Family.FILES,
                new byte[0],
                (key, value) -> consumer.accept(text(key), parseFile(value)));
    }

    void forEachBatch(BiConsumer<String, BatchRecord> consumer) throws IOException {
        forEachEntry(
                Family.BATCHES,
                new byte[0],
                (key, value) -> {
                    try {
                        consumer.accept(text(key), BatchRecord.parseFrom(value));
                    } catch (InvalidProtocolBufferException e) {
                        throw new IllegalStateException(
                                "batch " + text(key) + " can't be parsed", e);
                    }
                });
    }

    boolean isActive(String batchId) throws IOException {
        return get(Family.ACTIVE, key(batchId)) != null;
    }

    /** Counts the answers of a batch: for the output file at index 0, for the error file at 1. */
    long[] countAnswers(String batchId) throws IOException {
        long[] counts = new long[2];
        forEachEntry(
                Family.ANSWERS,
                key(batchId + '\0'),
                (key, value) -> {
                    try {
                        counts[LineAnswer.parseFrom(value).getGood() ? 0 : 1]++;
                    } catch (InvalidProtocolBufferException e) {
                        throw new IllegalStateException(
                                "a line answer of " + batchId + " can't be parsed", e);
                    }
                });
        return counts;
    }

    Map<String, Long> referenceCounts() throws IOException {
        Map<String, Long> counts = new HashMap<>();
        forEachEntry(
                Family.BLOBS,
                new byte[0],
                (key, value) -> counts.put(text(key), decodeLong(value)));
        return counts;
    }

    void replaceReferenceCounts(Map<String, Long> counts) throws IOException {
        Change change = new Change();
        for (String digest : referenceCounts().keySet()) {
            change.delete(Family.BLOBS, key(digest));
        }
        counts.forEach((digest, count) -> change.put(Family.BLOBS, key(digest), encodeLong(count)));
        commit("repair", change);
    }

    Path blobFolder() {
        return blobs;
    }

    Path blobPath(String digest) {
        return blobPathIn(blobs, digest);
    }

    private static Path blobPathIn(Path blobs, String digest) {
        return blobs.resolve(digest.substring(0, 2)).resolve(digest);
    }

    /** The folder that holds the store. */
    public Path folder() {
        return folder;
    }

    @Override
    public void close() {
        handles.forEach(ColumnFamilyHandle::close);
        db.close();
        options.close();
        familyOptions.close();
    }

    // ------------------------------------------------------------------ the database

    /** A set of updates that is written atomically. */
    private final class Change {
        private final WriteBatch writeBatch = new WriteBatch();

        Change put(Family family, byte[] key, byte[] value) {
            return apply(() -> writeBatch.put(handle(family), key, value));
        }

        Change delete(Family family, byte[] key) {
            return apply(() -> writeBatch.delete(handle(family), key));
        }

        Change deleteRange(Family family, byte[] from, byte[] to) {
            return apply(() -> writeBatch.deleteRange(handle(family), from, to));
        }

        /** Adds {@code delta} to the number of files that refer to a blob. */
        void addReferences(String digest, int delta) throws IOException {
            long count =
                    referenceDeltas.merge(digest, (long) delta, Long::sum)
                            + decodeLong(get(Family.BLOBS, key(digest)));
            if (count > 0) {
                put(Family.BLOBS, key(digest), encodeLong(count));
            } else {
                delete(Family.BLOBS, key(digest));
            }
        }

        private final Map<String, Long> referenceDeltas = new HashMap<>();

        private Change apply(WriteBatchOperation operation) {
            try {
                operation.run();
                return this;
            } catch (RocksDBException e) {
                throw new IllegalStateException("the update can't be added to the write batch", e);
            }
        }
    }

    private interface WriteBatchOperation {
        void run() throws RocksDBException;
    }

    private void commit(String crashPoint, Change change) throws IOException {
        if (!writable) {
            throw new IllegalStateException("the store is open for reading only");
        }
        try (WriteBatch writeBatch = change.writeBatch;
                WriteOptions syncedWrite = new WriteOptions().setSync(true)) {
            crashPoints.reached(crashPoint);
            db.write(syncedWrite, writeBatch);
            crashPoints.reached("after: " + crashPoint);
        } catch (RocksDBException e) {
            throw new StoreException("the store can't be written: " + e.getMessage(), e);
        }
    }

    private byte[] get(Family family, byte[] key) throws IOException {
        try {
            return db.get(handle(family), key);
        } catch (RocksDBException e) {
            throw new StoreException("the store can't be read: " + e.getMessage(), e);
        }
    }

    private void forEachEntry(Family family, byte[] prefix, BiConsumer<byte[], byte[]> consumer)
            throws IOException {
        try (RocksIterator iterator = db.newIterator(handle(family))) {
            for (iterator.seek(prefix);
                    iterator.isValid() && startsWith(iterator.key(), prefix);
                    iterator.next()) {
                consumer.accept(iterator.key(), iterator.value());
            }
            iterator.status();
        } catch (RocksDBException e) {
            throw new StoreException("the store can't be read: " + e.getMessage(), e);
        }
    }

    /** RocksDB returned the handles in the order in which the families were passed. */
    @SuppressWarnings("EnumOrdinal")
    private ColumnFamilyHandle handle(Family family) {
        return handles.get(family.ordinal());
    }

    /** Syncs a directory, so that a rename in it is durable. */
    private void syncDirectory(Path directory) throws IOException {
        crashPoints.reached("sync directory");
        try (FileChannel channel = FileChannel.open(directory, StandardOpenOption.READ)) {
            channel.force(true);
        }
    }

    private static boolean startsWith(byte[] key, byte[] prefix) {
        return key.length >= prefix.length
                && Arrays.equals(key, 0, prefix.length, prefix, 0, prefix.length);
    }

    private static byte[] key(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private static String text(byte[] key) {
        return new String(key, StandardCharsets.UTF_8);
    }

    /**
     * The key of a line: the batch id, NUL and the line's index; -1 sorts after all lines of the
     * batch. Ids contain no NUL. Indexes 0 and -1 also bound the keys of the batch in NAMES, which
     * have a digest in place of the index.
     */
    private static byte[] lineKey(String batchId, long lineIndex) {
        byte[] id = key(batchId);
        return ByteBuffer.allocate(id.length + 9).put(id).put((byte) 0).putLong(lineIndex).array();
    }

    /**
     * The key of a file or batch in the family ORDER, which sorts the newest first; for a negative
     * number, the prefix of all keys of this tenant and kind.
     */
    private static byte[] orderKey(String tenant, char kind, long number) {
        byte[] prefix = key(tenant + '\0' + kind + '\0');
        return number < 0
                ? prefix
                : ByteBuffer.allocate(prefix.length + 8)
                        .put(prefix)
                        .putLong(Long.MAX_VALUE - number)
                        .array();
    }

    private static long trailingLong(byte[] key) {
        return ByteBuffer.wrap(key).getLong(key.length - 8);
    }

    private static byte[] encodeLong(long number) {
        return ByteBuffer.allocate(8).putLong(number).array();
    }

    private static long decodeLong(byte[] bytes) {
        return bytes == null ? 0 : ByteBuffer.wrap(bytes).getLong();
    }

    private static FileRecord parseFile(byte[] bytes) {
        try {
            return FileRecord.parseFrom(bytes);
        } catch (InvalidProtocolBufferException e) {
            throw new IllegalStateException("a file record can't be parsed", e);
        }
    }

    private static byte[] sha256(String text) {
        try {
            return MessageDigest.getInstance("SHA-256").digest(key(text));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("the Java runtime has no SHA-256", e);
        }
    }
}
