package larchridge.store;

import com.google.protobuf.InvalidProtocolBufferException;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
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
import larchridge.store.form.BatchRecord;
import larchridge.store.form.BatchState;
import larchridge.store.form.FileRecord;
import larchridge.store.form.LineAnswer;
import larchridge.store.form.LineAttempts;
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
 * Files and batches on disk, over crashes. Bytes lie in {@code blobs} under their SHA-256 and never
 * change; everything else is in one RocksDB, so that what belongs together is written together or
 * not at all. A record that a client was promised is synced. What is half-done when the process
 * ends is either not there at the next opening, or done anew.
 *
 * <p>One process owns a store, by the kernel's lock on its database, which goes with the process;
 * each owner has a higher epoch. All that writes here, but for an {@link IncomingFile}, runs on one
 * thread of the owner.
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
    private long lastNumber;

    /** Tenants' bytes and files. */
    private final Map<String, long[]> tenantUsage = new HashMap<>();

    /** Files that a batch which is not over reads, and by how many. */
    private final Map<String, Integer> activeBatchesByInput = new HashMap<>();

    /** What the database keeps, in families of its own. */
    private enum Family {
        META,
        FILES,
        BATCHES,
        ORDER,
        ACTIVE,
        ANSWERS,
        FLIGHTS,
        NAMES,
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

    /** Opens a store as its owner; {@link InUseException} if another process owns it. */
    public static Store open(Path folder, CrashPoints crashPoints) throws IOException {
        Store store;
        try {
            store = new Store(folder, crashPoints, true);
        } catch (RocksDBException e) {
            if (e.getMessage().contains("lock")) {
                throw new InUseException("store " + folder + " belongs to another process");
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

    /** Opens a store to read, also while another process owns it; it is read as it was then. */
    public static Store openReadOnly(Path folder) throws IOException {
        try {
            return new Store(folder, CrashPoints.NONE, false);
        } catch (RocksDBException e) {
            throw new StoreException("store " + folder + " can't be read: " + e.getMessage(), e);
        }
    }

    /** Another process owns the store. */
    public static final class InUseException extends IOException {
        private static final long serialVersionUID = 1;

        InUseException(String message) {
            super(message);
        }
    }

    private void becomeOwner() throws IOException {
        epoch = decodeLong(get(Family.META, EPOCH)) + 1;
        try (Stream<Path> unfinished = Files.list(incomingFolder)) {
            // What was arriving when the owner before ended was promised to nobody.
            for (Path path : unfinished.toList()) {
                Files.delete(path);
            }
        }
        try (RocksIterator iterator = db.newIterator(handle(Family.ORDER))) {
            for (iterator.seekToFirst(); iterator.isValid(); iterator.next()) {
                lastNumber = Math.max(lastNumber, Long.MAX_VALUE - trailingLong(iterator.key()));
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
     * Bytes that were placed and named by no record, or unnamed and not removed, when the owner
     * before ended.
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

    /** How often the store has had an owner. */
    public long epoch() {
        return epoch;
    }

    // ------------------------------------------------------------------ files

    /** A place for bytes that arrive; on any thread. */
    public IncomingFile createIncomingFile() throws IOException {
        return new IncomingFile(incomingFolder.resolve(UUID.randomUUID() + ".in"), crashPoints);
    }

    public long storedBytes(String tenant) {
        return tenantUsage.getOrDefault(tenant, new long[2])[0];
    }

    public long storedFiles(String tenant) {
        return tenantUsage.getOrDefault(tenant, new long[2])[1];
    }

    /** Makes a synced incoming a file; when this returns it is there for good. */
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
     * Moves the bytes to where they stay and adds the record to a change; a crash before that
     * leaves bytes that nobody names.
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
        long number = ++lastNumber;
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

    /** The file of this name, or null. */
    public FileRecord file(String id) throws IOException {
        byte[] bytes = get(Family.FILES, key(id));
        return bytes == null ? null : FileRecord.parseFrom(bytes);
    }

    /**
     * The bytes of a file; they stay readable through what is opened here even if the file is
     * deleted.
     */
    public FileChannel openContent(FileRecord file) throws IOException {
        return FileChannel.open(blobPath(file.getDigest()), StandardOpenOption.READ);
    }

    public boolean isInputInUse(String fileId) {
        return activeBatchesByInput.containsKey(fileId);
    }

    /** Deletes a file; false if a batch that is not over reads it. */
    public boolean deleteFile(FileRecord file) throws IOException {
        if (isInputInUse(file.getId())) {
            return false;
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
        return true;
    }

    /**
     * So many ids of a tenant's files (kind f) or batches (b), newest first, after one of them or
     * from the newest.
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

    /** A new batch, validating; synced. */
    public BatchRecord createBatch(BatchRecord.Builder builder) throws IOException {
        long number = ++lastNumber;
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

    /** The batch of this name, or null. */
    public BatchRecord batch(String id) throws IOException {
        byte[] bytes = get(Family.BATCHES, key(id));
        return bytes == null ? null : BatchRecord.parseFrom(bytes);
    }

    /** Batches that are not over, in the order in which they came. */
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

    /** What a batch is from now on; synced. One that has failed is over. */
    public void updateBatch(BatchRecord batch) throws IOException {
        Change change = new Change().put(Family.BATCHES, key(batch.getId()), batch.toByteArray());
        if (batch.getState() == BatchState.FAILED) {
            deleteActiveState(batch, change);
        }
        commit("update batch", change);
        if (batch.getState() == BatchState.FAILED) {
            releaseInput(batch);
        }
    }

    private static void deleteActiveState(BatchRecord batch, Change change) throws IOException {
        change.delete(Family.ACTIVE, key(batch.getId()));
        for (Family family : List.of(Family.ANSWERS, Family.FLIGHTS, Family.NAMES)) {
            change.deleteRange(family, lineKey(batch.getId(), 0), lineKey(batch.getId(), -1));
        }
    }

    private void releaseInput(BatchRecord batch) {
        activeBatchesByInput.computeIfPresent(
                batch.getInput(), (id, count) -> count > 1 ? count - 1 : null);
    }

    /**
     * The end of a batch: its files, its last state and the going of its lines' records, all or
     * nothing. The incomings may be null where a file would be empty. What was placed before a
     * crash is placed again by the next try.
     */
    public BatchRecord finishBatch(
            BatchRecord.Builder batch, IncomingFile output, IncomingFile errors, long nowMs)
            throws IOException {
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
     * Notes a custom id while a file is validated; the line that had it before, or -1. Not kept
     * over a crash.
     */
    public long recordCustomId(String batch, String customId, long line) throws IOException {
        byte[] key = Arrays.copyOf(key(batch + '\0'), batch.length() + 17);
        System.arraycopy(sha256(customId), 0, key, batch.length() + 1, 16);
        byte[] previous = get(Family.NAMES, key);
        if (previous != null) {
            return decodeLong(previous);
        }
        try (WriteOptions withoutLog = new WriteOptions().setDisableWAL(true)) {
            db.put(handle(Family.NAMES), withoutLog, key, encodeLong(line));
            return -1;
        } catch (RocksDBException e) {
            throw new StoreException("the store can't be written: " + e.getMessage(), e);
        }
    }

    /** Forgets the custom ids noted for a batch. */
    public void forgetCustomIds(String batch) throws IOException {
        commit(
                "forget custom ids",
                new Change().deleteRange(Family.NAMES, lineKey(batch, 0), lineKey(batch, -1)));
    }

    /** A line goes to a front for this time; synced where nobody may find out by trying again. */
    public void recordAttempts(String batch, long line, int attempts, boolean sync)
            throws IOException {
        crashPoints.reached("record attempts");
        try (WriteOptions writeOptions = new WriteOptions().setSync(sync)) {
            db.put(
                    handle(Family.FLIGHTS),
                    writeOptions,
                    lineKey(batch, line),
                    LineAttempts.newBuilder().setAttempts(attempts).build().toByteArray());
        } catch (RocksDBException e) {
            throw new StoreException("the store can't be written: " + e.getMessage(), e);
        }
    }

    /** A line came back from its front as one that surely did not run there. */
    public void recordNotRun(String batch, long line, int attempts) throws IOException {
        if (attempts > 0) {
            recordAttempts(batch, line, attempts, false);
            return;
        }
        crashPoints.reached("record not run");
        try {
            db.delete(handle(Family.FLIGHTS), lineKey(batch, line));
        } catch (RocksDBException e) {
            throw new StoreException("the store can't be written: " + e.getMessage(), e);
        }
    }

    /** How often a line was handed to a front. */
    public int attempts(String batch, long line) throws IOException {
        byte[] bytes = get(Family.FLIGHTS, lineKey(batch, line));
        return bytes == null ? 0 : LineAttempts.parseFrom(bytes).getAttempts();
    }

    public boolean isAnswered(String batch, long line) throws IOException {
        return get(Family.ANSWERS, lineKey(batch, line)) != null;
    }

    /** The record of a line, or null. */
    public LineAnswer answer(String batch, long line) throws IOException {
        byte[] bytes = get(Family.ANSWERS, lineKey(batch, line));
        return bytes == null ? null : LineAnswer.parseFrom(bytes);
    }

    /** One line's one record, to be written with others. */
    public record Answer(String batch, long line, LineAnswer answer) {}

    /**
     * Writes records and the batches that they belong to, as they are then, in one synced change.
     */
    public void recordAnswers(List<Answer> answers, List<BatchRecord> batches) throws IOException {
        Change change = new Change();
        for (Answer answer : answers) {
            change.put(
                    Family.ANSWERS,
                    lineKey(answer.batch(), answer.line()),
                    answer.answer().toByteArray());
            change.delete(Family.FLIGHTS, lineKey(answer.batch(), answer.line()));
        }
        for (BatchRecord batch : batches) {
            change.put(Family.BATCHES, key(batch.getId()), batch.toByteArray());
        }
        commit("record answers", change);
    }

    // ------------------------------------------------------------------ looking after it

    /**
     * Copies the whole store, as it is now, to a folder that is not there yet; bytes are shared by
     * links where possible.
     */
    public void snapshot(Path to) throws IOException {
        Files.createDirectories(to);
        crashPoints.reached("snapshot");
        try (Checkpoint checkpoint = Checkpoint.create(db)) {
            checkpoint.createCheckpoint(to.resolve("db").toString());
        } catch (RocksDBException e) {
            throw new StoreException("no snapshot: " + e.getMessage(), e);
        }
        List<String> digests = new ArrayList<>();
        forEachEntry(Family.BLOBS, new byte[0], (key, value) -> digests.add(text(key)));
        for (String digest : digests) {
            linkOrCopy(blobPath(digest), blobPathIn(to.resolve("blobs"), digest));
        }
        syncDirectory(to);
    }

    /**
     * Copies a store that lies still, or lies as a kill would leave it, to a folder that is not
     * there yet.
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

    /** Links where the file system can, copies elsewhere. */
    static void linkOrCopy(Path from, Path to) throws IOException {
        Files.createDirectories(to.getParent());
        try {
            Files.createLink(to, from);
        } catch (UnsupportedOperationException | java.nio.file.FileSystemException e) {
            Files.copy(from, to, StandardCopyOption.REPLACE_EXISTING);
        }
    }

    /** Reads everything and tells what is wrong; nothing if the store is whole. */
    public List<String> verify() throws IOException {
        return new StoreVerifier(this).findFaults();
    }

    /**
     * Mends what can be: bytes that nobody names go, counts of names are made anew. Returns what
     * was done.
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
                        throw new IllegalStateException("batch " + text(key) + " can't be read", e);
                    }
                });
    }

    boolean isActive(String batch) throws IOException {
        return get(Family.ACTIVE, key(batch)) != null;
    }

    /** Counts a batch's records: those for the output, and those for the errors. */
    long[] countAnswers(String batch) throws IOException {
        long[] counts = new long[2];
        forEachEntry(
                Family.ANSWERS,
                key(batch + '\0'),
                (key, value) -> {
                    try {
                        counts[LineAnswer.parseFrom(value).getGood() ? 0 : 1]++;
                    } catch (InvalidProtocolBufferException e) {
                        throw new IllegalStateException(
                                "a record of " + batch + " can't be read", e);
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

    /** What is to be written together. */
    private final class Change {
        private final WriteBatch batch = new WriteBatch();

        Change put(Family family, byte[] key, byte[] value) {
            return apply(() -> batch.put(handle(family), key, value));
        }

        Change delete(Family family, byte[] key) {
            return apply(() -> batch.delete(handle(family), key));
        }

        Change deleteRange(Family family, byte[] from, byte[] to) {
            return apply(() -> batch.deleteRange(handle(family), from, to));
        }

        /** One name more or less for these bytes. */
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

        private Change apply(BatchOperation operation) {
            try {
                operation.run();
                return this;
            } catch (RocksDBException e) {
                throw new IllegalStateException("no change can be made", e);
            }
        }
    }

    private interface BatchOperation {
        void run() throws RocksDBException;
    }

    private void commit(String crashPoint, Change change) throws IOException {
        if (!writable) {
            throw new IllegalStateException("opened to read");
        }
        try (WriteBatch batch = change.batch;
                WriteOptions syncedWrite = new WriteOptions().setSync(true)) {
            crashPoints.reached(crashPoint);
            db.write(syncedWrite, batch);
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

    /** Handles are listed in the order of the families, as the database opened them. */
    @SuppressWarnings("EnumOrdinal")
    private ColumnFamilyHandle handle(Family family) {
        return handles.get(family.ordinal());
    }

    /** Makes a rename last. */
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

    /** The key of a line; -1 is after all of them. Ids hold no NUL. */
    private static byte[] lineKey(String batch, long line) {
        byte[] id = key(batch);
        return ByteBuffer.allocate(id.length + 9).put(id).put((byte) 0).putLong(line).array();
    }

    /** Newest first; a number under 0 gives the beginning of all of them. */
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
            throw new IllegalStateException("a file's record can't be read", e);
        }
    }

    private static byte[] sha256(String text) {
        try {
            return MessageDigest.getInstance("SHA-256").digest(key(text));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java has SHA-256", e);
        }
    }
}
