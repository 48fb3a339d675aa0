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
import larchridge.store.form.LineAnswer;
import larchridge.store.form.BatchRecord;
import larchridge.store.form.FileRecord;
import larchridge.store.form.LineAttempts;
import larchridge.store.form.BatchState;
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
    private final Path arriving;
    private final CrashPoints points;
    private final DBOptions options;
    private final ColumnFamilyOptions familyOptions = new ColumnFamilyOptions();
    private final List<ColumnFamilyHandle> handles = new ArrayList<>();
    private final RocksDB db;
    private final boolean writes;
    private long epoch;
    private long numbers;

    /** Tenants' bytes and files. */
    private final Map<String, long[]> kept = new HashMap<>();

    /** Files that a batch which is not over reads, and by how many. */
    private final Map<String, Integer> read = new HashMap<>();

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

    private Store(Path folder, CrashPoints points, boolean writes)
            throws RocksDBException, IOException {
        this.folder = folder;
        this.points = points;
        this.writes = writes;
        blobs = folder.resolve("blobs");
        arriving = folder.resolve("arriving");
        if (writes) {
            Files.createDirectories(blobs);
            Files.createDirectories(arriving);
        }
        options =
                new DBOptions()
                        .setCreateIfMissing(writes)
                        .setCreateMissingColumnFamilies(writes)
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
                writes
                        ? RocksDB.open(options, path, descriptors, handles)
                        : RocksDB.openReadOnly(options, path, descriptors, handles);
    }

    /** Opens a store as its owner; {@link Taken} if another process owns it. */
    public static Store open(Path folder, CrashPoints points) throws IOException {
        Store store;
        try {
            store = new Store(folder, points, true);
        } catch (RocksDBException e) {
            if (e.getMessage().contains("lock")) {
                throw new Taken("store " + folder + " belongs to another process");
            }
            throw new StoreException("store " + folder + " can't be opened: " + e.getMessage(), e);
        }
        boolean begun = false;
        try {
            store.begin();
            begun = true;
            return store;
        } finally {
            if (!begun) {
                store.close();
            }
        }
    }

    /** Opens a store to read, also while another process owns it; it is read as it was then. */
    public static Store look(Path folder) throws IOException {
        try {
            return new Store(folder, CrashPoints.NONE, false);
        } catch (RocksDBException e) {
            throw new StoreException("store " + folder + " can't be read: " + e.getMessage(), e);
        }
    }

    /** Another process owns the store. */
    public static final class Taken extends IOException {
        private static final long serialVersionUID = 1;

        Taken(String text) {
            super(text);
        }
    }

    private void begin() throws IOException {
        epoch = number(get(Family.META, EPOCH)) + 1;
        try (Stream<Path> left = Files.list(arriving)) {
            // What was arriving when the owner before ended was promised to nobody.
            for (Path path : left.toList()) {
                Files.delete(path);
            }
        }
        try (RocksIterator last = db.newIterator(handle(Family.ORDER))) {
            for (last.seekToFirst(); last.isValid(); last.next()) {
                numbers = Math.max(numbers, Long.MAX_VALUE - tail(last.key()));
            }
        }
        files((id, file) -> count(file, 1));
        each(
                Family.ACTIVE,
                new byte[0],
                (key, value) -> {
                    try {
                        read.merge(batch(text(key)).getInput(), 1, Integer::sum);
                    } catch (IOException e) {
                        throw new IllegalStateException(e);
                    }
                });
        sweep();
        commit("take over", new Change().put(Family.META, EPOCH, bytes(epoch)));
    }

    /**
     * Bytes that were placed and named by no record, or unnamed and not removed, when the owner
     * before ended.
     */
    private void sweep() throws IOException {
        try (Stream<Path> all = Files.walk(blobs)) {
            for (Path path : all.filter(Files::isRegularFile).toList()) {
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
    public IncomingFile receive() throws IOException {
        return new IncomingFile(arriving.resolve(UUID.randomUUID() + ".in"), points);
    }

    public long bytesOf(String tenant) {
        return kept.getOrDefault(tenant, new long[2])[0];
    }

    public long filesOf(String tenant) {
        return kept.getOrDefault(tenant, new long[2])[1];
    }

    /** Makes a synced incoming a file; when this returns it is there for good. */
    public FileRecord keep(
            IncomingFile incoming, String tenant, String name, String purpose, long nowMs)
            throws IOException {
        Change change = new Change();
        FileRecord file = place(incoming, tenant, name, purpose, nowMs, change);
        commit("record file", change);
        count(file, 1);
        return file;
    }

    /**
     * Moves the bytes to where they stay and adds the record to a change; a crash before that
     * leaves bytes that nobody names.
     */
    private FileRecord place(
            IncomingFile incoming,
            String tenant,
            String name,
            String purpose,
            long nowMs,
            Change change)
            throws IOException {
        String digest = incoming.digest();
        Path to = blob(digest);
        Files.createDirectories(to.getParent());
        points.at("move blob");
        if (Files.exists(to)) {
            Files.delete(incoming.path);
        } else {
            Files.move(incoming.path, to, StandardCopyOption.ATOMIC_MOVE);
        }
        sync(to.getParent());
        long number = ++numbers;
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
        change.put(Family.ORDER, order(tenant, 'f', number), key(file.getId()));
        change.blob(digest, 1);
        return file;
    }

    private void count(FileRecord file, int sign) {
        long[] sums = kept.computeIfAbsent(file.getTenant(), name -> new long[2]);
        sums[0] += sign * file.getBytes();
        sums[1] += sign;
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
    public FileChannel content(FileRecord file) throws IOException {
        return FileChannel.open(blob(file.getDigest()), StandardOpenOption.READ);
    }

    public boolean isRead(String fileId) {
        return read.containsKey(fileId);
    }

    /** Deletes a file; false if a batch that is not over reads it. */
    public boolean delete(FileRecord file) throws IOException {
        if (isRead(file.getId())) {
            return false;
        }
        Change change =
                new Change()
                        .delete(Family.FILES, key(file.getId()))
                        .delete(Family.ORDER, order(file.getTenant(), 'f', file.getNumber()));
        change.blob(file.getDigest(), -1);
        commit("delete file", change);
        count(file, -1);
        if (get(Family.BLOBS, key(file.getDigest())) == null) {
            points.at("remove blob");
            Files.deleteIfExists(blob(file.getDigest()));
        }
        return true;
    }

    /**
     * So many ids of a tenant's files (kind f) or batches (b), newest first, after one of them or
     * from the newest.
     */
    public List<String> page(String tenant, char kind, long afterNumber, int most)
            throws IOException {
        List<String> ids = new ArrayList<>();
        byte[] prefix = order(tenant, kind, -1);
        try (RocksIterator at = db.newIterator(handle(Family.ORDER))) {
            for (at.seek(afterNumber < 0 ? prefix : order(tenant, kind, afterNumber - 1));
                    at.isValid() && startsWith(at.key(), prefix) && ids.size() < most;
                    at.next()) {
                ids.add(text(at.value()));
            }
        }
        return ids;
    }

    // ------------------------------------------------------------------ batches

    /** A new batch, validating; synced. */
    public BatchRecord begin(BatchRecord.Builder about) throws IOException {
        long number = ++numbers;
        BatchRecord batch =
                about.setNumber(number)
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
                                order(batch.getTenant(), 'b', number),
                                key(batch.getId()))
                        .put(Family.ACTIVE, key(batch.getId()), new byte[0]);
        commit("begin batch", change);
        read.merge(batch.getInput(), 1, Integer::sum);
        return batch;
    }

    /** The batch of this name, or null. */
    public BatchRecord batch(String id) throws IOException {
        byte[] bytes = get(Family.BATCHES, key(id));
        return bytes == null ? null : BatchRecord.parseFrom(bytes);
    }

    /** Batches that are not over, in the order in which they came. */
    public List<BatchRecord> active() throws IOException {
        List<BatchRecord> all = new ArrayList<>();
        List<String> ids = new ArrayList<>();
        each(Family.ACTIVE, new byte[0], (key, value) -> ids.add(text(key)));
        for (String id : ids) {
            all.add(batch(id));
        }
        all.sort(java.util.Comparator.comparingLong(BatchRecord::getNumber));
        return all;
    }

    /** What a batch is from now on; synced. One that has failed is over. */
    public void update(BatchRecord batch) throws IOException {
        Change change = new Change().put(Family.BATCHES, key(batch.getId()), batch.toByteArray());
        if (batch.getState() == BatchState.FAILED) {
            over(batch, change);
        }
        commit("update batch", change);
        if (batch.getState() == BatchState.FAILED) {
            unread(batch);
        }
    }

    private static void over(BatchRecord batch, Change change) throws IOException {
        change.delete(Family.ACTIVE, key(batch.getId()));
        for (Family family : List.of(Family.ANSWERS, Family.FLIGHTS, Family.NAMES)) {
            change.deleteRange(family, line(batch.getId(), 0), line(batch.getId(), -1));
        }
    }

    private void unread(BatchRecord batch) {
        read.computeIfPresent(batch.getInput(), (id, readers) -> readers > 1 ? readers - 1 : null);
    }

    /**
     * The end of a batch: its files, its last state and the going of its lines' records, all or
     * nothing. The incomings may be null where a file would be empty. What was placed before a
     * crash is placed again by the next try.
     */
    public BatchRecord finish(
            BatchRecord.Builder batch, IncomingFile output, IncomingFile errors, long nowMs)
            throws IOException {
        Change change = new Change();
        List<FileRecord> made = new ArrayList<>();
        if (output != null) {
            made.add(
                    place(
                            output,
                            batch.getTenant(),
                            batch.getId() + "_output.jsonl",
                            "batch_output",
                            nowMs,
                            change));
            batch.setOutput(made.get(0).getId());
        }
        if (errors != null) {
            made.add(
                    place(
                            errors,
                            batch.getTenant(),
                            batch.getId() + "_error.jsonl",
                            "batch_output",
                            nowMs,
                            change));
            batch.setErrors(made.get(made.size() - 1).getId());
        }
        BatchRecord done = batch.build();
        change.put(Family.BATCHES, key(done.getId()), done.toByteArray());
        over(done, change);
        commit("finish batch", change);
        made.forEach(file -> count(file, 1));
        unread(done);
        return done;
    }

    // ------------------------------------------------------------------ lines

    /**
     * Notes a custom id while a file is validated; the line that had it before, or -1. Not kept
     * over a crash.
     */
    public long name(String batch, String customId, long line) throws IOException {
        byte[] key = Arrays.copyOf(key(batch + '\0'), batch.length() + 17);
        System.arraycopy(sha256(customId), 0, key, batch.length() + 1, 16);
        byte[] before = get(Family.NAMES, key);
        if (before != null) {
            return number(before);
        }
        try (WriteOptions unsafe = new WriteOptions().setDisableWAL(true)) {
            db.put(handle(Family.NAMES), unsafe, key, bytes(line));
            return -1;
        } catch (RocksDBException e) {
            throw new StoreException("the store can't be written: " + e.getMessage(), e);
        }
    }

    /** Forgets the custom ids noted for a batch. */
    public void unname(String batch) throws IOException {
        commit(
                "forget names",
                new Change().deleteRange(Family.NAMES, line(batch, 0), line(batch, -1)));
    }

    /** A line goes to a front for this time; synced where nobody may find out by trying again. */
    public void flight(String batch, long line, int attempts, boolean sync) throws IOException {
        points.at("record flight");
        try (WriteOptions how = new WriteOptions().setSync(sync)) {
            db.put(
                    handle(Family.FLIGHTS),
                    how,
                    line(batch, line),
                    LineAttempts.newBuilder().setAttempts(attempts).build().toByteArray());
        } catch (RocksDBException e) {
            throw new StoreException("the store can't be written: " + e.getMessage(), e);
        }
    }

    /** A line came back from its front as one that surely did not run there. */
    public void landed(String batch, long line, int attempts) throws IOException {
        if (attempts > 0) {
            flight(batch, line, attempts, false);
            return;
        }
        points.at("record landing");
        try {
            db.delete(handle(Family.FLIGHTS), line(batch, line));
        } catch (RocksDBException e) {
            throw new StoreException("the store can't be written: " + e.getMessage(), e);
        }
    }

    /** How often a line was handed to a front. */
    public int attempts(String batch, long line) throws IOException {
        byte[] bytes = get(Family.FLIGHTS, line(batch, line));
        return bytes == null ? 0 : LineAttempts.parseFrom(bytes).getAttempts();
    }

    public boolean isAnswered(String batch, long line) throws IOException {
        return get(Family.ANSWERS, line(batch, line)) != null;
    }

    /** The record of a line, or null. */
    public LineAnswer answer(String batch, long line) throws IOException {
        byte[] bytes = get(Family.ANSWERS, line(batch, line));
        return bytes == null ? null : LineAnswer.parseFrom(bytes);
    }

    /** One line's one record, to be written with others. */
    public record Answer(String batch, long line, LineAnswer answer) {}

    /**
     * Writes records and the batches that they belong to, as they are then, in one synced change.
     */
    public void answered(List<Answer> answers, List<BatchRecord> batches) throws IOException {
        Change change = new Change();
        for (Answer one : answers) {
            change.put(Family.ANSWERS, line(one.batch(), one.line()), one.answer().toByteArray());
            change.delete(Family.FLIGHTS, line(one.batch(), one.line()));
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
        points.at("snapshot");
        try (Checkpoint checkpoint = Checkpoint.create(db)) {
            checkpoint.createCheckpoint(to.resolve("db").toString());
        } catch (RocksDBException e) {
            throw new StoreException("no snapshot: " + e.getMessage(), e);
        }
        List<String> digests = new ArrayList<>();
        each(Family.BLOBS, new byte[0], (key, value) -> digests.add(text(key)));
        for (String digest : digests) {
            copy(blob(digest), blobIn(to.resolve("blobs"), digest));
        }
        sync(to);
    }

    /**
     * Copies a store that lies still, or lies as a kill would leave it, to a folder that is not
     * there yet.
     */
    public static void copyFolder(Path from, Path to) throws IOException {
        try (Stream<Path> all = Files.walk(from)) {
            for (Path path : all.toList()) {
                Path into = to.resolve(from.relativize(path).toString());
                if (Files.isDirectory(path)) {
                    Files.createDirectories(into);
                } else {
                    Files.copy(path, into);
                }
            }
        }
    }

    /** Links where the file system can, copies elsewhere. */
    static void copy(Path from, Path to) throws IOException {
        Files.createDirectories(to.getParent());
        try {
            Files.createLink(to, from);
        } catch (UnsupportedOperationException | java.nio.file.FileSystemException e) {
            Files.copy(from, to, StandardCopyOption.REPLACE_EXISTING);
        }
    }

    /** Reads everything and tells what is wrong; nothing if the store is whole. */
    public List<String> verify() throws IOException {
        return new StoreVerifier(this).faults();
    }

    /**
     * Mends what can be: bytes that nobody names go, counts of names are made anew. Returns what
     * was done.
     */
    public List<String> repair() throws IOException {
        return new StoreVerifier(this).repair();
    }

    void files(BiConsumer<String, FileRecord> told) throws IOException {
        each(Family.FILES, new byte[0], (key, value) -> told.accept(text(key), parsed(value)));
    }

    void batches(BiConsumer<String, BatchRecord> told) throws IOException {
        each(
                Family.BATCHES,
                new byte[0],
                (key, value) -> {
                    try {
                        told.accept(text(key), BatchRecord.parseFrom(value));
                    } catch (InvalidProtocolBufferException e) {
                        throw new IllegalStateException("batch " + text(key) + " can't be read", e);
                    }
                });
    }

    boolean isActive(String batch) throws IOException {
        return get(Family.ACTIVE, key(batch)) != null;
    }

    /** Counts a batch's records: those for the output, and those for the errors. */
    long[] answersOf(String batch) throws IOException {
        long[] counts = new long[2];
        each(
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

    Map<String, Long> blobCounts() throws IOException {
        Map<String, Long> counts = new HashMap<>();
        each(Family.BLOBS, new byte[0], (key, value) -> counts.put(text(key), number(value)));
        return counts;
    }

    void blobCounts(Map<String, Long> right) throws IOException {
        Change change = new Change();
        for (String digest : blobCounts().keySet()) {
            change.delete(Family.BLOBS, key(digest));
        }
        right.forEach((digest, count) -> change.put(Family.BLOBS, key(digest), bytes(count)));
        commit("repair", change);
    }

    Path blobFolder() {
        return blobs;
    }

    Path blob(String digest) {
        return blobIn(blobs, digest);
    }

    private static Path blobIn(Path blobs, String digest) {
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
            return run(() -> batch.put(handle(family), key, value));
        }

        Change delete(Family family, byte[] key) {
            return run(() -> batch.delete(handle(family), key));
        }

        Change deleteRange(Family family, byte[] from, byte[] to) {
            return run(() -> batch.deleteRange(handle(family), from, to));
        }

        /** One name more or less for these bytes. */
        void blob(String digest, int more) throws IOException {
            long count =
                    added.merge(digest, (long) more, Long::sum)
                            + number(get(Family.BLOBS, key(digest)));
            if (count > 0) {
                put(Family.BLOBS, key(digest), bytes(count));
            } else {
                delete(Family.BLOBS, key(digest));
            }
        }

        private final Map<String, Long> added = new HashMap<>();

        private Change run(Write write) {
            try {
                write.run();
                return this;
            } catch (RocksDBException e) {
                throw new IllegalStateException("no change can be made", e);
            }
        }
    }

    private interface Write {
        void run() throws RocksDBException;
    }

    private void commit(String name, Change change) throws IOException {
        if (!writes) {
            throw new IllegalStateException("opened to read");
        }
        try (WriteBatch batch = change.batch;
                WriteOptions sync = new WriteOptions().setSync(true)) {
            points.at(name);
            db.write(sync, batch);
            points.at("after: " + name);
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

    private void each(Family family, byte[] prefix, BiConsumer<byte[], byte[]> told)
            throws IOException {
        try (RocksIterator at = db.newIterator(handle(family))) {
            for (at.seek(prefix); at.isValid() && startsWith(at.key(), prefix); at.next()) {
                told.accept(at.key(), at.value());
            }
            at.status();
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
    private void sync(Path directory) throws IOException {
        points.at("sync folder");
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
    private static byte[] line(String batch, long line) {
        byte[] id = key(batch);
        return ByteBuffer.allocate(id.length + 9).put(id).put((byte) 0).putLong(line).array();
    }

    /** Newest first; a number under 0 gives the beginning of all of them. */
    private static byte[] order(String tenant, char kind, long number) {
        byte[] start = key(tenant + '\0' + kind + '\0');
        return number < 0
                ? start
                : ByteBuffer.allocate(start.length + 8)
                        .put(start)
                        .putLong(Long.MAX_VALUE - number)
                        .array();
    }

    private static long tail(byte[] key) {
        return ByteBuffer.wrap(key).getLong(key.length - 8);
    }

    private static byte[] bytes(long number) {
        return ByteBuffer.allocate(8).putLong(number).array();
    }

    private static long number(byte[] bytes) {
        return bytes == null ? 0 : ByteBuffer.wrap(bytes).getLong();
    }

    private static FileRecord parsed(byte[] bytes) {
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
