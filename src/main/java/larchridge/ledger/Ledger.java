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
import larchridge.ledger.form.UsageTotalRecord;
import larchridge.ledger.form.UsageRecord;
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
    private static final int BATCH = 1024;
    private static final long AGAIN_MS = 200;
    private final Path folder;
    private final boolean writes;

    /** Guards the database, which the writer opens anew after a failure. */
    private final Object databaseLock = new Object();

    /** Null while it can't be opened. */
    private LedgerDatabase database;

    private final MpscBlockingConsumerArrayQueue<Entry> queue;
    private final int bound;
    private final Thread writer;
    private volatile boolean closing;

    /** Written by the ledger's own thread alone. */
    private volatile long written;

    private volatile boolean failing;

    private Ledger(Path folder, int bound, boolean write) throws RocksDBException {
        this.bound = bound;
        queue = new MpscBlockingConsumerArrayQueue<>(Math.max(2, bound));
        this.folder = folder;
        writes = write;
        database = LedgerDatabase.open(folder, write);
        writer = write ? new Thread(this::write, "ledger") : null;
        if (writer != null) {
            writer.start();
        }
    }

    /** Opens a ledger for one process to write; another that tries gets an error. */
    public static Ledger open(Path folder, int bound) throws LedgerException {
        try {
            return new Ledger(folder, bound, true);
        } catch (RocksDBException e) {
            throw new LedgerException(
                    "ledger " + folder + " can't be opened: " + e.getMessage(), e);
        }
    }

    /** Opens a ledger to read, also while another process writes it; it is read as it was then. */
    public static Ledger look(Path folder) throws LedgerException {
        try {
            return new Ledger(folder, 2, false);
        } catch (RocksDBException e) {
            throw new LedgerException("ledger " + folder + " can't be read: " + e.getMessage(), e);
        }
    }

    /** A record on its way, and who is to be told that it is on disk. */
    private record Entry(Usage usage, Runnable written) {}

    /** Takes a record without waiting; false if as many wait as may. */
    public boolean offer(Usage usage) {
        return offer(usage, null);
    }

    /**
     * The same; onDisk is run, on the ledger's thread, when the record is on disk, and never if it
     * is not taken.
     */
    public boolean offer(Usage usage, Runnable onDisk) {
        return queue.offer(new Entry(usage, onDisk));
    }

    /** Whether so much waits for the disk that nothing more should be begun. */
    public boolean isBehind() {
        return queue.size() >= bound * 3 / 4;
    }

    public long written() {
        return written;
    }

    // ------------------------------------------------------------------ writing

    @SuppressWarnings("NonAtomicVolatileUpdate") // Only this one thread writes the count.
    private void write() {
        List<Entry> batch = new ArrayList<>(BATCH);
        try {
            while (!closing || !queue.isEmpty() || !batch.isEmpty()) {
                if (batch.isEmpty()) {
                    Entry first = queue.poll(50, TimeUnit.MILLISECONDS);
                    if (first == null) {
                        continue;
                    }
                    batch.add(first);
                    queue.drain(batch::add, BATCH - 1);
                }
                if (commit(batch)) {
                    written += batch.size();
                    for (Entry entry : batch) {
                        if (entry.written != null) {
                            entry.written.run();
                        }
                    }
                    batch.clear();
                } else if (closing) {
                    LOG.error(
                            "{} records are lost: the ledger can't be written",
                            batch.size() + queue.size());
                    return;
                } else {
                    Thread.sleep(AGAIN_MS);
                }
            }
        } catch (InterruptedException e) {
            LOG.error("the ledger's writer was interrupted", e);
        }
    }

    private boolean commit(List<Entry> batch) {
        synchronized (databaseLock) {
            return (database != null && commitOpen(batch))
                    || (!closing && reopen() && commitOpen(batch));
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
            database = LedgerDatabase.open(folder, writes);
            return true;
        } catch (RocksDBException e) {
            LOG.debug("the ledger can't be opened again yet", e);
            return false;
        }
    }

    private LedgerDatabase open() throws RocksDBException {
        if (database == null) {
            throw new RocksDBException("the ledger can't be opened for now");
        }
        return database;
    }

    private boolean commitOpen(List<Entry> batch) {
        try (WriteBatch write = new WriteBatch();
                WriteOptions sync = new WriteOptions().setSync(true)) {
            Map<String, Usage> usages = new HashMap<>();
            Map<String, UsageTotal> totals = new TreeMap<>();
            for (Entry entry : batch) {
                Usage usage = entry.usage;
                Usage before =
                        usages.containsKey(usage.id()) ? usages.get(usage.id()) : usage(usage.id());
                // Guards against: a record that comes twice, or a client that asks again, must not
                // be
                // billed twice.
                Usage now =
                        before == null
                                ? usage
                                : before.equals(usage) ? before : Usage.joined(before, usage);
                if (before != null) {
                    String key = key(before);
                    totals.put(
                            key,
                            (totals.containsKey(key) ? totals.get(key) : total(key)).minus(before));
                }
                String key = key(now);
                totals.put(key, (totals.containsKey(key) ? totals.get(key) : total(key)).plus(now));
                usages.put(usage.id(), now);
            }
            for (Map.Entry<String, Usage> entry : usages.entrySet()) {
                write.put(
                        database.usages(),
                        entry.getKey().getBytes(StandardCharsets.UTF_8),
                        entry.getValue().bytes());
            }
            for (Map.Entry<String, UsageTotal> entry : totals.entrySet()) {
                write.put(
                        database.totals(),
                        entry.getKey().getBytes(StandardCharsets.UTF_8),
                        entry.getValue().bytes());
            }
            database.database().write(sync, write);
            if (failing) {
                failing = false;
                LOG.info("the ledger can be written again");
            }
            return true;
        } catch (RocksDBException | InvalidProtocolBufferException e) {
            if (!failing) {
                failing = true;
                LOG.error("the ledger can't be written; records wait in memory", e);
            }
            return false;
        }
    }

    // ------------------------------------------------------------------ reading

    private Usage usage(String id) throws RocksDBException, InvalidProtocolBufferException {
        byte[] bytes = open().database().get(open().usages(), id.getBytes(StandardCharsets.UTF_8));
        return bytes == null ? null : Usage.of(id, UsageRecord.parseFrom(bytes));
    }

    private UsageTotal total(String key) throws RocksDBException, InvalidProtocolBufferException {
        byte[] bytes = open().database().get(open().totals(), key.getBytes(StandardCharsets.UTF_8));
        return bytes == null ? UsageTotal.ZERO : UsageTotal.of(UsageTotalRecord.parseFrom(bytes));
    }

    private static String key(Usage usage) {
        return usage.month() + "\n" + usage.tenant() + "\n" + usage.product();
    }

    /** What names a sum. */
    public record Line(YearMonth month, String tenant, String product) {}

    /** The sums of a month, or of all months where it is null, in order. */
    public Map<Line, UsageTotal> totals(YearMonth month) throws LedgerException {
        Map<Line, UsageTotal> totals = new java.util.LinkedHashMap<>();
        try {
            each(
                    LedgerDatabase::totals,
                    (key, value) -> {
                        String[] parts = key.split("\n", 3);
                        YearMonth of = YearMonth.parse(parts[0]);
                        if (month == null || month.equals(of)) {
                            totals.put(new Line(of, parts[1], parts[2]), parsedTotal(value));
                        }
                    });
        } catch (IllegalStateException e) {
            throw new LedgerException(e.getMessage(), e);
        }
        return totals;
    }

    /** Tells every record, in the order of ids. */
    public void records(java.util.function.Consumer<Usage> told) throws LedgerException {
        try {
            each(LedgerDatabase::usages, (key, value) -> told.accept(parsedUsage(key, value)));
        } catch (IllegalStateException e) {
            throw new LedgerException(e.getMessage(), e);
        }
    }

    /** Adds all records anew and compares; the differences, none if the ledger is whole. */
    public List<String> verify() throws LedgerException {
        Map<String, UsageTotal> sums = new TreeMap<>();
        records(
                usage ->
                        sums.merge(
                                key(usage),
                                UsageTotal.ZERO.plus(usage),
                                (a, b) ->
                                        new UsageTotal(
                                                a.generations() + b.generations(),
                                                a.promptTokens() + b.promptTokens(),
                                                a.keptTokens() + b.keptTokens(),
                                                a.outTokens() + b.outTokens(),
                                                a.wastedTokens() + b.wastedTokens())));
        List<String> faults = new ArrayList<>();
        Map<String, UsageTotal> kept = new TreeMap<>();
        totals(null)
                .forEach(
                        (line, total) ->
                                kept.put(
                                        line.month() + "\n" + line.tenant() + "\n" + line.product(),
                                        total));
        for (Map.Entry<String, UsageTotal> entry : sums.entrySet()) {
            UsageTotal other = kept.remove(entry.getKey());
            if (!entry.getValue().equals(other)) {
                faults.add(
                        entry.getKey().replace('\n', ' ')
                                + ": records add up to "
                                + entry.getValue()
                                + ", the sum says "
                                + other);
            }
        }
        kept.forEach(
                (key, total) -> {
                    if (!total.equals(UsageTotal.ZERO)) {
                        faults.add(key.replace('\n', ' ') + ": a sum without records: " + total);
                    }
                });
        return faults;
    }

    private void each(
            Function<LedgerDatabase, ColumnFamilyHandle> family, BiConsumer<String, byte[]> told) {
        synchronized (databaseLock) {
            try (RocksIterator at = open().database().newIterator(family.apply(open()))) {
                for (at.seekToFirst(); at.isValid(); at.next()) {
                    told.accept(new String(at.key(), StandardCharsets.UTF_8), at.value());
                }
                at.status();
            } catch (RocksDBException e) {
                throw new IllegalStateException("the ledger can't be read: " + e.getMessage(), e);
            }
        }
    }

    private static UsageTotal parsedTotal(byte[] bytes) {
        try {
            return UsageTotal.of(UsageTotalRecord.parseFrom(bytes));
        } catch (InvalidProtocolBufferException e) {
            throw new IllegalStateException("a sum in the ledger can't be read", e);
        }
    }

    private static Usage parsedUsage(String id, byte[] bytes) {
        try {
            return Usage.of(id, UsageRecord.parseFrom(bytes));
        } catch (InvalidProtocolBufferException e) {
            throw new IllegalStateException("record " + id + " in the ledger can't be read", e);
        }
    }

    /** Merges the files on disk; takes a while. */
    public void compact() throws LedgerException {
        try {
            synchronized (databaseLock) {
                open().compact();
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
