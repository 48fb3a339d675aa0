package larchridge.ledger;

import com.google.protobuf.InvalidProtocolBufferException;
import java.nio.charset.StandardCharsets;
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
import larchridge.ledger.form.UsageRecord;
import larchridge.ledger.form.UsageTotalRecord;
import org.jctools.queues.MpscBlockingConsumerArrayQueue;
import org.rocksdb.ColumnFamilyHandle;
import org.rocksdb.RocksDBException;
import org.rocksdb.RocksIterator;
import org.rocksdb.WriteBatch;
import org.rocksdb.WriteOptions;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Usage on disk: one record a generation under its billing id, and the sums of each month, tenant
 * and product, written together or not at all. Records are taken by loops without waiting, and
 * written in order by one thread that syncs the disk once a batch. A torn tail is dropped at the
 * next opening: it was never acknowledged. Where the disk is slow or full, up to {@code bound}
 * records wait in memory; beyond that {@link #offer} says no, and fronts take nothing more.
 */
public final class Ledger implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(Ledger.class);
    private static final int MAX_BATCH_RECORDS = 1024;
    private static final long RETRY_DELAY_MS = 200;
    private final Path folder;
    private final boolean writable;

    /** Guards the database, which the writer opens anew after a failure. */
    private final Object databaseLock = new Object();

    /** Null while it can't be opened. */
    private LedgerDatabase database;

    private final MpscBlockingConsumerArrayQueue<PendingRecord> queue;
    private final int maxQueuedRecords;
    private final Thread writer;
    private volatile boolean closing;

    /** Written by the ledger's own thread alone. */
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

    /** Opens a ledger for one process to write; another that tries gets an error. */
    public static Ledger open(Path folder, int maxQueuedRecords) throws LedgerException {
        try {
            return new Ledger(folder, maxQueuedRecords, true);
        } catch (RocksDBException e) {
            throw new LedgerException(
                    "ledger " + folder + " can't be opened: " + e.getMessage(), e);
        }
    }

    /** Opens a ledger to read, also while another process writes it; it is read as it was then. */
    public static Ledger openReadOnly(Path folder) throws LedgerException {
        try {
            return new Ledger(folder, 2, false);
        } catch (RocksDBException e) {
            throw new LedgerException("ledger " + folder + " can't be read: " + e.getMessage(), e);
        }
    }

    /** A record on its way, and who is to be told that it is on disk. */
    private record PendingRecord(Usage usage, Runnable onDisk) {}

    /** Takes a record without waiting; false if as many wait as may. */
    public boolean offer(Usage usage) {
        return offer(usage, null);
    }

    /**
     * The same; onDisk is run, on the ledger's thread, when the record is on disk, and never if it
     * is not taken.
     */
    public boolean offer(Usage usage, Runnable onDisk) {
        return queue.offer(new PendingRecord(usage, onDisk));
    }

    /** Whether so much waits for the disk that nothing more should be begun. */
    public boolean isBacklogged() {
        return queue.size() >= maxQueuedRecords * 3 / 4;
    }

    public long writtenRecords() {
        return writtenRecords;
    }

    // ------------------------------------------------------------------ writing

    @SuppressWarnings("NonAtomicVolatileUpdate") // Only this one thread writes the count.
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
                            "{} records are lost: the ledger can't be written",
                            batch.size() + queue.size());
                    return;
                } else {
                    Thread.sleep(RETRY_DELAY_MS);
                }
            }
        } catch (InterruptedException e) {
            LOG.error("the ledger's writer was interrupted", e);
        }
    }

    private boolean commit(List<PendingRecord> batch) {
        synchronized (databaseLock) {
            return (database != null && commitToOpenDatabase(batch))
                    || (!closing && reopen() && commitToOpenDatabase(batch));
        }
    }

    /**
     * After a write or sync that failed the database takes no more writes, also when the disk is
     * well again; only opening it anew ends that. What was written in part is dropped then, and the
     * batch is written whole.
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
            LOG.debug("the ledger can't be opened again yet", e);
            return false;
        }
    }

    private LedgerDatabase openDatabase() throws RocksDBException {
        if (database == null) {
            throw new RocksDBException("the ledger can't be opened for now");
        }
        return database;
    }

    private boolean commitToOpenDatabase(List<PendingRecord> batch) {
        try (WriteBatch writeBatch = new WriteBatch();
                WriteOptions syncedWrite = new WriteOptions().setSync(true)) {
            Map<String, Usage> usages = new HashMap<>();
            Map<String, UsageTotal> totals = new TreeMap<>();
            for (PendingRecord entry : batch) {
                Usage usage = entry.usage;
                Usage previous =
                        usages.containsKey(usage.billId())
                                ? usages.get(usage.billId())
                                : readUsage(usage.billId());
                // Guards against: a record that comes twice, or a client that asks again, must not
                // be
                // billed twice.
                Usage merged =
                        previous == null
                                ? usage
                                : previous.equals(usage) ? previous : Usage.merge(previous, usage);
                if (previous != null) {
                    String key = totalKey(previous);
                    totals.put(
                            key,
                            (totals.containsKey(key) ? totals.get(key) : readTotal(key))
                                    .minus(previous));
                }
                String key = totalKey(merged);
                totals.put(
                        key,
                        (totals.containsKey(key) ? totals.get(key) : readTotal(key)).plus(merged));
                usages.put(usage.billId(), merged);
            }
            for (Map.Entry<String, Usage> entry : usages.entrySet()) {
                writeBatch.put(
                        database.usagesFamily(),
                        entry.getKey().getBytes(StandardCharsets.UTF_8),
                        entry.getValue().toBytes());
            }
            for (Map.Entry<String, UsageTotal> entry : totals.entrySet()) {
                writeBatch.put(
                        database.totalsFamily(),
                        entry.getKey().getBytes(StandardCharsets.UTF_8),
                        entry.getValue().toBytes());
            }
            database.database().write(syncedWrite, writeBatch);
            if (writeFailing) {
                writeFailing = false;
                LOG.info("the ledger can be written again");
            }
            return true;
        } catch (RocksDBException | InvalidProtocolBufferException e) {
            if (!writeFailing) {
                writeFailing = true;
                LOG.error("the ledger can't be written; records wait in memory", e);
            }
            return false;
        }
    }

    // ------------------------------------------------------------------ reading

    private Usage readUsage(String id) throws RocksDBException, InvalidProtocolBufferException {
        byte[] bytes =
                openDatabase()
                        .database()
                        .get(openDatabase().usagesFamily(), id.getBytes(StandardCharsets.UTF_8));
        return bytes == null ? null : Usage.fromProto(id, UsageRecord.parseFrom(bytes));
    }

    private UsageTotal readTotal(String key)
            throws RocksDBException, InvalidProtocolBufferException {
        byte[] bytes =
                openDatabase()
                        .database()
                        .get(openDatabase().totalsFamily(), key.getBytes(StandardCharsets.UTF_8));
        return bytes == null
                ? UsageTotal.ZERO
                : UsageTotal.fromProto(UsageTotalRecord.parseFrom(bytes));
    }

    private static String totalKey(Usage usage) {
        return usage.month() + "\n" + usage.tenant() + "\n" + usage.product();
    }

    /** What names a sum. */
    public record TotalKey(YearMonth month, String tenant, String product) {}

    /** The sums of a month, or of all months where it is null, in order. */
    public Map<TotalKey, UsageTotal> totals(YearMonth month) throws LedgerException {
        Map<TotalKey, UsageTotal> totals = new java.util.LinkedHashMap<>();
        try {
            forEachEntry(
                    LedgerDatabase::totalsFamily,
                    (key, value) -> {
                        String[] parts = key.split("\n", 3);
                        YearMonth entryMonth = YearMonth.parse(parts[0]);
                        if (month == null || month.equals(entryMonth)) {
                            totals.put(
                                    new TotalKey(entryMonth, parts[1], parts[2]),
                                    parseTotal(value));
                        }
                    });
        } catch (IllegalStateException e) {
            throw new LedgerException(e.getMessage(), e);
        }
        return totals;
    }

    /** Tells every record, in the order of ids. */
    public void forEachRecord(java.util.function.Consumer<Usage> consumer) throws LedgerException {
        try {
            forEachEntry(
                    LedgerDatabase::usagesFamily,
                    (key, value) -> consumer.accept(parseUsage(key, value)));
        } catch (IllegalStateException e) {
            throw new LedgerException(e.getMessage(), e);
        }
    }

    /** Adds all records anew and compares; the differences, none if the ledger is whole. */
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
                                + ": records add up to "
                                + entry.getValue()
                                + ", the sum says "
                                + storedTotal);
            }
        }
        stored.forEach(
                (key, total) -> {
                    if (!total.equals(UsageTotal.ZERO)) {
                        differences.add(
                                key.replace('\n', ' ') + ": a sum without records: " + total);
                    }
                });
        return differences;
    }

    private void forEachEntry(
            Function<LedgerDatabase, ColumnFamilyHandle> family,
            BiConsumer<String, byte[]> consumer) {
        synchronized (databaseLock) {
            try (RocksIterator iterator =
                    openDatabase().database().newIterator(family.apply(openDatabase()))) {
                for (iterator.seekToFirst(); iterator.isValid(); iterator.next()) {
                    consumer.accept(
                            new String(iterator.key(), StandardCharsets.UTF_8), iterator.value());
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
            throw new IllegalStateException("a sum in the ledger can't be read", e);
        }
    }

    private static Usage parseUsage(String id, byte[] bytes) {
        try {
            return Usage.fromProto(id, UsageRecord.parseFrom(bytes));
        } catch (InvalidProtocolBufferException e) {
            throw new IllegalStateException("record " + id + " in the ledger can't be read", e);
        }
    }

    /** Merges the files on disk; takes a while. */
    public void compact() throws LedgerException {
        try {
            synchronized (databaseLock) {
                openDatabase().compact();
            }
        } catch (RocksDBException e) {
            throw new LedgerException("not compacted: " + e.getMessage(), e);
        }
    }

    /** Writes what waits, then closes. */
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
