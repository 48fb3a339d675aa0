import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import larchridge.ledger.Ledger;
import larchridge.ledger.Usage;
import larchridge.store.Incoming;
import larchridge.store.Points;
import larchridge.store.Store;
import larchridge.store.form.AnswerForm;
import larchridge.store.form.BatchForm;
import larchridge.store.form.FaultForm;
import larchridge.store.form.FileForm;
import larchridge.store.form.StateForm;

/** Writes the stored data of this folder; compiled and run against the classes of f8721a5. */
public final class WriteStoredData {
    /** 2026-05-28T20:26:40Z and, 31 days later, 2026-06-28T20:26:40Z. */
    private static final long MAY_MS = 1_780_000_000_000L;

    private static final long JUNE_MS = MAY_MS + 31L * 24 * 3600 * 1000;

    public static void main(String[] arguments) throws Exception {
        Path folder = Path.of(arguments[0]);
        Files.createDirectories(folder);
        writeLedger(folder.resolve("ledger"));
        writeStore(folder.resolve("store"));
    }

    // ---------------------------------------------------------------- ledger

    private static void writeLedger(Path folder) throws Exception {
        try (Ledger ledger = Ledger.open(folder, 100)) {
            offer(ledger, new Usage("bill-01", "acme", "chat", MAY_MS, "streamed", 100, 40, 25, 0, 1));
            offer(ledger, new Usage("bill-02", "acme", "chat", MAY_MS + 1, "throttled", 0, 0, 0, 0, 0));
            offer(ledger, new Usage("bill-03", "acme", "batch", MAY_MS + 2, "terminated", 200, 0, 7, 11, 2));
            offer(ledger, new Usage("bill-04", "globex", "chat", MAY_MS + 3, "gone", 300, 128, 3, 64, 3));
            offer(ledger, new Usage("bill-05", "globex", "chat", MAY_MS + 4, "waste", 0, 0, 0, 17, 1));
            // The waste of a second attempt, which joins the record of its answer.
            offer(ledger, new Usage("bill-01", "acme", "chat", MAY_MS + 5, "waste", 0, 0, 0, 9, 1));
            // What follows stays in the write-ahead log; what came before goes to table files.
            ledger.compact();
        }
        try (Ledger ledger = Ledger.open(folder, 100)) {
            offer(ledger, new Usage("bill-06", "acme", "chat", JUNE_MS, "streamed", 1000, 0, 500, 0, 1));
            offer(ledger, new Usage("bill-07", "globex", "chat", JUNE_MS + 1, "throttled", 0, 0, 0, 0, 0));
            offer(ledger, new Usage("bill-08", "globex", "batch", JUNE_MS + 2, "streamed", 60, 20, 30, 5, 2));
            offer(ledger, new Usage("bill-09", "acme", "chat", JUNE_MS + 3, "terminated", 70, 1, 2, 3, 4));
            offer(ledger, new Usage("bill-10", "acme", "chat", JUNE_MS + 4, "gone", 80, 8, 0, 80, 1));
            offer(ledger, new Usage("bill-11", "acme", "chat", JUNE_MS + 5, "waste", 0, 0, 0, 33, 2));
        }
        try (Ledger ledger = Ledger.look(folder)) {
            ledger.records(System.out::println);
            ledger.totals(null).forEach((line, total) -> System.out.println(line + " " + total));
            System.out.println("ledger verify: " + ledger.verify());
        }
    }

    private static void offer(Ledger ledger, Usage usage) throws InterruptedException {
        long before = ledger.written();
        if (!ledger.offer(usage)) {
            throw new IllegalStateException("not taken: " + usage);
        }
        while (ledger.written() == before) {
            Thread.sleep(1);
        }
    }

    // ---------------------------------------------------------------- store

    private static void writeStore(Path folder) throws IOException {
        try (Store store = Store.open(folder, Points.NONE)) {
            FileForm first = keep(store, "acme", "first.jsonl", "{\"custom_id\":\"a\"}\n{\"custom_id\":\"b\"}\n", 1);
            FileForm second = keep(store, "globex", "zweite-ñ.jsonl", "{\"custom_id\":\"c\"}\n", 2);
            writeFinished(store, first, second);
        }
        try (Store store = Store.open(folder, Points.NONE)) {
            writeActive(store, store.file("file-1-1"), store.file("file-1-2"));
            System.out.println("store verify: " + store.verify());
        }
        try (Store store = Store.look(folder)) {
            for (String tenant : List.of("acme", "globex")) {
                for (String id : store.page(tenant, 'f', -1, 100)) {
                    System.out.println(store.file(id));
                }
                for (String id : store.page(tenant, 'b', -1, 100)) {
                    System.out.println(store.batch(id));
                }
            }
        }
    }

    private static void writeFinished(Store store, FileForm first, FileForm second) throws IOException {
        BatchForm completed = store.begin(batch(first, 10).putMetadata("job", "nightly"));
        record(store, completed, 0, true, "{\"id\":\"completed-0\"}", 1, 0);
        record(store, completed, 1, false, "{\"id\":\"completed-1\"}", 1, 1);
        store.finish(
                ended(store, completed, StateForm.COMPLETED, 2, 1, 1),
                incoming(store, "{\"id\":\"completed-0\"}\n"),
                incoming(store, "{\"id\":\"completed-1\"}\n"),
                1000);
        BatchForm failed = store.begin(batch(second, 20));
        store.update(
                failed.toBuilder()
                        .setState(StateForm.FAILED)
                        .setEndedMs(2000)
                        .addFault(
                                FaultForm.newBuilder()
                                        .setCode("invalid_json_line")
                                        .setLine(3)
                                        .setField("body")
                                        .setMessage("not JSON"))
                        .build());
        BatchForm expired = store.begin(batch(second, 30));
        store.finish(
                ended(store, expired, StateForm.EXPIRED, 1, 0, 1),
                null,
                incoming(store, "{\"id\":\"expired-0\"}\n"),
                3000);
        BatchForm cancelled = store.begin(batch(second, 40));
        store.finish(
                ended(store, cancelled, StateForm.CANCELLED, 1, 1, 0).setCancellingMs(3500),
                incoming(store, "{\"id\":\"cancelled-0\"}\n"),
                null,
                4000);
    }

    private static void writeActive(Store store, FileForm first, FileForm second) throws IOException {
        BatchForm validating = store.begin(batch(second, 50));
        store.name(validating.getId(), "c", 0);
        BatchForm inProgress = store.begin(batch(first, 60));
        store.update(running(inProgress, 3));
        record(store, inProgress, 0, true, "{\"id\":\"in-progress-0\",\"text\":\"señal\"}", 1, 0);
        record(store, inProgress, 1, false, "{\"id\":\"in-progress-1\"}", 1, 1);
        store.flight(inProgress.getId(), 2, 2, true);
        store.update(
                store.batch(inProgress.getId()).toBuilder().setLowLine(2).setLowOffset(36).build());
        BatchForm finalizing = store.begin(batch(first, 70));
        store.update(running(finalizing, 2));
        record(store, finalizing, 0, true, "{\"id\":\"finalizing-0\"}", 1, 0);
        record(store, finalizing, 1, true, "{\"id\":\"finalizing-1\"}", 2, 0);
        store.update(
                store.batch(finalizing.getId()).toBuilder()
                        .setState(StateForm.FINALIZING)
                        .setEnding(StateForm.COMPLETED)
                        .setFinalizingMs(7000)
                        .build());
        BatchForm cancelling = store.begin(batch(second, 80));
        store.update(
                running(cancelling, 1).toBuilder()
                        .setState(StateForm.CANCELLING)
                        .setCancellingMs(8000)
                        .build());
        store.flight(cancelling.getId(), 0, 1, true);
    }

    private static BatchForm.Builder batch(FileForm input, long createdMs) {
        return BatchForm.newBuilder()
                .setTenant(input.getTenant())
                .setInput(input.getId())
                .setEndpoint("/v1/chat/completions")
                .setWindow("24h")
                .setCreatedMs(createdMs)
                .setExpiresMs(createdMs + 86_400_000);
    }

    private static BatchForm running(BatchForm batch, long total) {
        return batch.toBuilder()
                .setState(StateForm.IN_PROGRESS)
                .setInProgressMs(batch.getCreatedMs() + 1)
                .setTotal(total)
                .build();
    }

    private static BatchForm.Builder ended(
            Store store, BatchForm batch, StateForm state, long total, long done, long failed)
            throws IOException {
        return store.batch(batch.getId()).toBuilder()
                .setState(state)
                .setEnding(state)
                .setInProgressMs(batch.getCreatedMs() + 1)
                .setFinalizingMs(batch.getCreatedMs() + 2)
                .setEndedMs(batch.getCreatedMs() + 3)
                .setTotal(total)
                .setDone(done)
                .setFailed(failed);
    }

    private static void record(
            Store store, BatchForm batch, long line, boolean good, String text, long done, long failed)
            throws IOException {
        AnswerForm answer = AnswerForm.newBuilder().setGood(good).setText(text).build();
        store.answered(
                List.of(new Store.Answer(batch.getId(), line, answer)),
                List.of(
                        store.batch(batch.getId()).toBuilder()
                                .setDone(done)
                                .setFailed(failed)
                                .build()));
    }

    private static FileForm keep(Store store, String tenant, String name, String text, long nowMs)
            throws IOException {
        return store.keep(incoming(store, text), tenant, name, "batch", nowMs);
    }

    private static Incoming incoming(Store store, String text) throws IOException {
        Incoming incoming = store.receive();
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        incoming.write(bytes, 0, bytes.length);
        return incoming.synced();
    }
}
