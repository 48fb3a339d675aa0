package larchridge.ledger;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.google.protobuf.InvalidProtocolBufferException;
import java.nio.file.Path;
import java.time.YearMonth;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Function;
import larchridge.ledger.proto.UsageRecord;
import larchridge.ledger.proto.UsageTotalRecord;
import org.jctools.queues.MpscBlockingConsumerArrayQueue;
import org.rocksdb.ColumnFamilyHandle;
import org.rocksdb.RocksDBException;
import org.rocksdb.RocksIterator;
import org.rocksdb.WriteBatch;
import org.rocksdb.WriteOptions;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Durable usage records in RocksDB: one per bill, keyed by bill id, and totals per month, tenant
 * and product. A batch of records and the totals that it changes are written atomically.
 *
 * <p>Event loops queue records without blocking; a single thread writes them in order, with one
 * disk sync per batch. The next opening drops an incomplete tail of the write-ahead log, which was
 * never acknowledged. While the disk is slow or full, records wait in memory: once three quarters
 * of {@code maxQueuedRecords} are queued ({@link #isBacklogged}), routers admit no more requests;
 * once the queue is full, {@link #offer} returns false.
 */
public final class Ledger implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(Ledger.class);
    private static final int MAX_BATCH_RECORDS = 1024;
    private static final long RETRY_DELAY_MS = 200;
    private final Path folder;
    private final boolean writable;

    /** Guards {@link #database}, which the writer thread reopens after a failure. */
    private final Object databaseLock = new Object();

    /** Null while the database can't be opened. */
    private LedgerDatabase database;

    private final MpscBlockingConsumerArrayQueue<PendingRecord> queue;
    private final int maxQueuedRecords;
    private final Thread writer;
    private volatile boolean closing;

    /** Modified only by the writer thread. */
    private volatile long writtenRecords;

    private volatile boolean writeFailing;

    private Ledger(Path folder, int maxQueuedRecords, boolean writable) throws RocksDBException {
        this.maxQueuedRecords = maxQueuedRecords;
        queue = new MpscBlockingConsumerArrayQueue<>(Math.max(2, maxQueuedRecords));
        this.folder = folder;
        this.writable = writable;
        database = LedgerDatabase.open(folder, writable);
        writer = writable ? new Thread(this::runWriter, "ledger") : null;
        if (writer != null) {
            writer.start();
        }
    }

    /** Opens a ledger for writing. Only one process can at a time; the call fails in any other. */
    public static Ledger open(Path folder, int maxQueuedRecords) throws LedgerException {
        try {
            return new Ledger(folder, maxQueuedRecords, true);
        } catch (RocksDBException e) {
            throw new LedgerException(
                    "ledger " + folder + " can't be opened: " + e.getMessage(), e);
        }
    }

    /** Opens for reading, also while another process writes; reads return the state at opening. */
    public static Ledger openReadOnly(Path folder) throws LedgerException {
        try {
            return new Ledger(folder, 2, false);
        } catch (RocksDBException e) {
            throw new LedgerException("ledger " + folder + " can't be read: " + e.getMessage(), e);
        }
    }

    /** A queued record and its callback, null if none, to run once the record is on disk. */
    private record PendingRecord(Usage usage, Runnable onDisk) {}

    /** Queues a record without blocking; returns false if the queue is full. */
    public boolean offer(Usage usage) {
        return offer(usage, null);
    }

    /**
     * Queues a record without blocking; returns false if the queue is full. Unless null, {@code
     * onDisk} runs on the writer thread once the record is on disk, and never if it wasn't queued.
     */
    public boolean offer(Usage usage, Runnable onDisk) {
        return queue.offer(new PendingRecord(usage, onDisk));
    }

    /** Whether the queue is three quarters full, so that no more requests should be admitted. */
    public boolean isBacklogged() {
        return queue.size() >= maxQueuedRecords * 3 / 4;
    }

    /** The number of records written to disk since this ledger was opened. */
    public long writtenRecords() {
        return writtenRecords;
    }

    // ------------------------------------------------------------------ writing

    @SuppressWarnings("NonAtomicVolatileUpdate") // Only this thread modifies writtenRecords.
    private void runWriter() {
        List<PendingRecord> batch = new ArrayList<>(MAX_BATCH_RECORDS);
        try {
            while (!closing || !queue.isEmpty() || !batch.isEmpty()) {
                if (batch.isEmpty()) {
                    PendingRecord first = queue.poll(50, TimeUnit.MILLISECONDS);
                    if (first == null) {
                        continue;
                    }
                    batch.add(first);
                    queue.drain(batch::add, MAX_BATCH_RECORDS - 1);
                }
                if (commit(batch)) {
                    writtenRecords += batch.size();
                    for (PendingRecord entry : batch) {
                        if (entry.onDisk != null) {
                            entry.onDisk.run();
                        }
                    }
                    batch.clear();
                } else if (closing) {
                    LOG.error(
                            "{} usage records lost: the ledger could not be written while closing",
                            batch.size() + queue.size());
                    return;
                } else {
                    Thread.sleep(RETRY_DELAY_MS);
                }
            }
        } catch (InterruptedException e) {
            LOG.error("the ledger's writer thread was interrupted", e);
        }
    }

    private boolean commit(List<PendingRecord> batch) {
        synchronized (databaseLock) {
            return (database != null && commitToOpenDatabase(batch))
                    || (!closing && reopen() && commitToOpenDatabase(batch));
        }
    }

    /**
     * Reopens the database. After a failed write or sync RocksDB rejects all further writes, even
     * once the disk has recovered, until the database is reopened. Reopening drops the incomplete
     * write, so the whole batch can be written again.
     */
    private boolean reopen() {
        try {
            if (database != null) {
                database.close();
                database = null;
            }
            database = LedgerDatabase.open(folder, writable);
            return true;
        } catch (RocksDBException e) {
            LOG.debug("the ledger can't be reopened yet; trying again", e);
            return false;
        }
    }

    private LedgerDatabase requireDatabase() throws RocksDBException {
        if (database == null) {
            throw new RocksDBException("the ledger's database is closed after a failure");
        }
        return database;
    }

    private boolean commitToOpenDatabase(List<PendingRecord> batch) {
        try (WriteBatch writeBatch = new WriteBatch();
                WriteOptions syncedWrite = new WriteOptions().setSync(true)) {
            Map<String, Usage> usages = new HashMap<>();
            Map<String, UsageTotal> sums = new TreeMap<>();
            for (PendingRecord entry : batch) {
                Usage usage = entry.usage;
                Usage old =
                        usages.containsKey(usage.billId())
                                ? usages.get(usage.billId())
                                : readUsage(usage.billId());
                // Guards against: billing twice for a record queued twice, or for a client's retry.
                Usage merged =
                        old == null ? usage : old.equals(usage) ? old : Usage.merge(old, usage);
                if (old != null) {
                    String key = totalKey(old);
                    sums.put(
                            key,
                            (sums.containsKey(key) ? sums.get(key) : readTotal(key)).minus(old));
                }
                String key = totalKey(merged);
                sums.put(
                        key, (sums.containsKey(key) ? sums.get(key) : readTotal(key)).plus(merged));
                usages.put(usage.billId(), merged);
            }
            for (Map.Entry<String, Usage> entry : usages.entrySet()) {
                writeBatch.put(
                        database.usagesFamily(),
                        entry.getKey().getBytes(UTF_8),
                        entry.getValue().toBytes());
            }
            for (Map.Entry<String, UsageTotal> entry : sums.entrySet()) {
                writeBatch.put(
                        database.totalsFamily(),
                        entry.getKey().getBytes(UTF_8),
                        entry.getValue().toBytes());
            }
            database.rocksDb().write(syncedWrite, writeBatch);
            if (writeFailing) {
                writeFailing = false;
                LOG.info("the ledger is writable again");
            }
            return true;
        } catch (RocksDBException | InvalidProtocolBufferException e) {
            if (!writeFailing) {
                writeFailing = true;
                LOG.error("the ledger can't be written; usage records are queued in memory", e);
            }
            return false;
        }
    }

    // ------------------------------------------------------------------ reading

    private Usage readUsage(String id) throws RocksDBException, InvalidProtocolBufferException {
        byte[] bytes =
                requireDatabase()
                        .rocksDb()
                        .get(requireDatabase().usagesFamily(), id.getBytes(UTF_8));
        return bytes == null ? null : Usage.fromProto(id, UsageRecord.parseFrom(bytes));
    }

    private UsageTotal readTotal(String key)
            throws RocksDBException, InvalidProtocolBufferException {
        byte[] bytes =
                requireDatabase()
                        .rocksDb()
                        .get(requireDatabase().totalsFamily(), key.getBytes(UTF_8));
        return bytes == null
                ? UsageTotal.ZERO
                : UsageTotal.fromProto(UsageTotalRecord.parseFrom(bytes));
    }

    private static String totalKey(Usage usage) {
        return usage.month() + "\n" + usage.tenant() + "\n" + usage.product();
    }

    /** Identifies a total. */
    public record TotalKey(YearMonth month, String tenant, String product) {}

    /** The totals of a month, or of all months if it is null, in the order of their keys. */
    public Map<TotalKey, UsageTotal> totals(YearMonth month) throws LedgerException {
        Map<TotalKey, UsageTotal> totals = new java.util.LinkedHashMap<>();
        try {
            forEachEntry(
                    LedgerDatabase::totalsFamily,
                    (key, raw) -> {
                        String[] parts = key.split("\n", 3);
                        YearMonth keyMonth = YearMonth.parse(parts[0]);
                        if (month == null || month.equals(keyMonth)) {
                            totals.put(new TotalKey(keyMonth, parts[1], parts[2]), parseTotal(raw));
                        }
                    });
        } catch (IllegalStateException e) {
            throw new LedgerException(e.getMessage(), e);
        }
        return totals;
    }

    /** Passes every record to {@code reader}, in the order of the bill ids. */
    public void forEachRecord(java.util.function.Consumer<Usage> reader) throws LedgerException {
        try {
            forEachEntry(
                    LedgerDatabase::usagesFamily, (id, raw) -> reader.accept(parseUsage(id, raw)));
        } catch (IllegalStateException e) {
            throw new LedgerException(e.getMessage(), e);
        }
    }

    /** Returns a message per difference of the stored totals from the records' sums, or none. */
    public List<String> verify() throws LedgerException {
        Map<String, UsageTotal> expected = new TreeMap<>();
        forEachRecord(
                usage ->
                        expected.merge(
                                totalKey(usage),
                                UsageTotal.ZERO.plus(usage),
                                (a, b) ->
                                        new UsageTotal(
                                                a.generations() + b.generations(),
                                                a.promptTokens() + b.promptTokens(),
                                                a.cachedTokens() + b.cachedTokens(),
                                                a.outputTokens() + b.outputTokens(),
                                                a.wastedTokens() + b.wastedTokens())));
        List<String> differences = new ArrayList<>();
        Map<String, UsageTotal> stored = new TreeMap<>();
        totals(null)
                .forEach(
                        (key, total) ->
                                stored.put(
                                        key.month() + "\n" + key.tenant() + "\n" + key.product(),
                                        total));
        for (Map.Entry<String, UsageTotal> entry : expected.entrySet()) {
            UsageTotal storedTotal = stored.remove(entry.getKey());
            if (!entry.getValue().equals(storedTotal)) {
                differences.add(
                        entry.getKey().replace('\n', ' ')
                                + ": the records add up to "
                                + entry.getValue()
                                + ", but the stored total is "
                                + storedTotal);
            }
        }
        stored.forEach(
                (key, total) -> {
                    if (!total.equals(UsageTotal.ZERO)) {
                        differences.add(
                                key.replace('\n', ' ') + ": a total without records: " + total);
                    }
                });
        return differences;
    }

    private void forEachEntry(
            Function<LedgerDatabase, ColumnFamilyHandle> family,
            BiConsumer<String, byte[]> consumer) {
        synchronized (databaseLock) {
            try (RocksIterator iterator =
                    requireDatabase().rocksDb().newIterator(family.apply(requireDatabase()))) {
                for (iterator.seekToFirst(); iterator.isValid(); iterator.next()) {
                    consumer.accept(new String(iterator.key(), UTF_8), iterator.value());
                }
                iterator.status();
            } catch (RocksDBException e) {
                throw new IllegalStateException("the ledger can't be read: " + e.getMessage(), e);
            }
        }
    }

    private static UsageTotal parseTotal(byte[] bytes) {
        try {
            return UsageTotal.fromProto(UsageTotalRecord.parseFrom(bytes));
        } catch (InvalidProtocolBufferException e) {
            throw new IllegalStateException("a total in the ledger can't be parsed", e);
        }
    }

    private static Usage parseUsage(String id, byte[] bytes) {
        try {
            return Usage.fromProto(id, UsageRecord.parseFrom(bytes));
        } catch (InvalidProtocolBufferException e) {
            throw new IllegalStateException("record " + id + " in the ledger can't be parsed", e);
        }
    }

    /** Compacts the database; blocks until done, which takes long for a large ledger. */
    public void compact() throws LedgerException {
        try {
            synchronized (databaseLock) {
                requireDatabase().compact();
            }
        } catch (RocksDBException e) {
            throw new LedgerException("the ledger can't be compacted: " + e.getMessage(), e);
        }
    }

    /** Writes the queued records, waiting at most 10 seconds, then closes the database. */
    @Override
    public void close() {
        closing = true;
        if (writer != null) {
            try {
                writer.join(10_000);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        synchronized (databaseLock) {
            if (database != null) {
                database.close();
            }
        }
    }
}
