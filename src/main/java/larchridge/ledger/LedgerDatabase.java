package larchridge.ledger;

import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.rocksdb.ColumnFamilyDescriptor;
import org.rocksdb.ColumnFamilyHandle;
import org.rocksdb.ColumnFamilyOptions;
import org.rocksdb.DBOptions;
import org.rocksdb.RocksDB;
import org.rocksdb.RocksDBException;
import org.rocksdb.WALRecoveryMode;

/** An open RocksDB with the records of a ledger by bill id, and their totals. */
final class LedgerDatabase implements AutoCloseable {
    private static final byte[] USAGES = "usages".getBytes(StandardCharsets.UTF_8);
    private static final byte[] TOTALS = "totals".getBytes(StandardCharsets.UTF_8);
    private static final int USAGES_INDEX = 1;
    private static final int TOTALS_INDEX = 2;

    static {
        RocksDB.loadLibrary();
    }

    private final DBOptions options;
    private final ColumnFamilyOptions familyOptions = new ColumnFamilyOptions();
    private final List<ColumnFamilyHandle> families = new ArrayList<>();
    private final RocksDB rocksDb;

    private LedgerDatabase(Path folder, boolean writable) throws RocksDBException {
        options =
                new DBOptions()
                        .setCreateIfMissing(writable)
                        .setCreateMissingColumnFamilies(writable)
                        .setWalRecoveryMode(WALRecoveryMode.TolerateCorruptedTailRecords)
                        .setMaxTotalWalSize(64 << 20)
                        .setKeepLogFileNum(2);
        List<ColumnFamilyDescriptor> descriptors =
                List.of(
                        new ColumnFamilyDescriptor(RocksDB.DEFAULT_COLUMN_FAMILY, familyOptions),
                        new ColumnFamilyDescriptor(USAGES, familyOptions),
                        new ColumnFamilyDescriptor(TOTALS, familyOptions));
        rocksDb =
                writable
                        ? RocksDB.open(options, folder.toString(), descriptors, families)
                        : RocksDB.openReadOnly(options, folder.toString(), descriptors, families);
    }

    static LedgerDatabase open(Path folder, boolean writable) throws RocksDBException {
        return new LedgerDatabase(folder, writable);
    }

    RocksDB rocksDb() {
        return rocksDb;
    }

    ColumnFamilyHandle usagesFamily() {
        return families.get(USAGES_INDEX);
    }

    ColumnFamilyHandle totalsFamily() {
        return families.get(TOTALS_INDEX);
    }

    void compact() throws RocksDBException {
        for (ColumnFamilyHandle family : families) {
            rocksDb.compactRange(family);
        }
    }

    @Override
    public void close() {
        families.forEach(ColumnFamilyHandle::close);
        rocksDb.close();
        options.close();
        familyOptions.close();
    }
}
