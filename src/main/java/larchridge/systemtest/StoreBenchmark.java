package larchridge.systemtest;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.stream.Stream;
import larchridge.store.CrashPoints;
import larchridge.store.IncomingFile;
import larchridge.store.Store;
import larchridge.store.proto.BatchRecord;
import larchridge.store.proto.BatchState;
import larchridge.store.proto.LineAnswer;

/**
 * Measures what the records of batch lines cost a store: the time to write them, their size on
 * disk, and the time to open the store after a crash.
 */
public final class StoreBenchmark {
    private static final int GROUP_SIZE = 256;
    private static final String ANSWER = "{\"response\":\"" + "caudal ".repeat(60) + "\"}";

    private StoreBenchmark() {}

    /**
     * Writes records in groups like a busy service, copies the store while it is open, and opens
     * the copy.
     */
    public static String measure(Path folder, int lines) throws IOException {
        double writtenMs;
        Path copy = folder.resolveSibling(folder.getFileName() + ".killed");
        try (Store store = Store.open(folder, CrashPoints.NONE)) {
            IncomingFile incoming = store.createIncomingFile();
            incoming.write("{}".getBytes(StandardCharsets.UTF_8), 0, 2);
            String input = store.addFile(incoming.sync(), "t", "n", "batch", 1).getId();
            BatchRecord batch =
                    store.createBatch(
                            BatchRecord.newBuilder()
                                    .setTenant("t")
                                    .setInput(input)
                                    .setTotal(lines));
            batch = batch.toBuilder().setState(BatchState.IN_PROGRESS).build();
            long start = System.nanoTime();
            for (int from = 0; from < lines; from += GROUP_SIZE) {
                List<Store.AnsweredLine> group = new ArrayList<>();
                for (int i = from; i < Math.min(lines, from + GROUP_SIZE); i++) {
                    store.recordAttempts(batch.getId(), i, 1, false);
                    group.add(
                            new Store.AnsweredLine(
                                    batch.getId(),
                                    i,
                                    LineAnswer.newBuilder().setGood(true).setText(ANSWER).build()));
                }
                batch =
                        batch.toBuilder()
                                .setDone(batch.getDone() + group.size())
                                .setLowLine(from + group.size())
                                .build();
                store.recordAnswers(group, List.of(batch));
            }
            writtenMs = (System.nanoTime() - start) / 1e6;
            Store.copyFolder(folder, copy);
        }
        long start = System.nanoTime();
        try (Store store = Store.open(copy, CrashPoints.NONE)) {
            double openedMs = (System.nanoTime() - start) / 1e6;
            long done = store.activeBatches().get(0).getDone();
            return String.format(
                    Locale.ROOT,
                    "lines %d kept %d written/s %.0f opened in %.0f ms disk %.1f MB",
                    lines,
                    done,
                    lines / writtenMs * 1000,
                    openedMs,
                    size(copy) / 1e6);
        }
    }

    private static long size(Path folder) throws IOException {
        try (Stream<Path> all = Files.walk(folder)) {
            long size = 0;
            for (Path path : all.filter(Files::isRegularFile).toList()) {
                size += Files.size(path);
            }
            return size;
        }
    }
}
