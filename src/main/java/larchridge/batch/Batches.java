package larchridge.batch;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.channels.FileChannel;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import larchridge.messages.ApiException;
import larchridge.messages.MessagesCodec;
import larchridge.planner.BatchPlanner;
import larchridge.planner.BatchRetryPolicy;
import larchridge.planner.LatencySample;
import larchridge.planner.PlannedBatch;
import larchridge.router.GenerationRequest;
import larchridge.site.BatchSettings;
import larchridge.site.Site;
import larchridge.state.Effect;
import larchridge.store.IncomingFile;
import larchridge.store.Store;
import larchridge.store.proto.BatchRecord;
import larchridge.store.proto.BatchState;
import larchridge.store.proto.InputError;
import larchridge.store.proto.LineAnswer;
import larchridge.upstream.AnswerSummary;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * All batches of one store, from their creation to their end, on one event loop.
 *
 * <p>Each line of an input has exactly one record, in the output or in the error file, whatever
 * crashes happen: its record is stored once, keyed by batch and line, in one synced change with the
 * batch's counts and before the batch can end. When all lines have a record, or the batch has
 * expired or been cancelled, the files are written from the stored records, with an error record
 * for each line that has none.
 *
 * <p>A line that may have run is submitted again only if its product's {@link Effect} is
 * IDEMPOTENT, and only up to the maximum number of attempts. A line whose submission was rejected
 * is submitted again whatever the effect of its product. Each submission is recorded in the store
 * before it is made, so that the store's next owner knows which lines may have run.
 */
final class Batches {
    private static final Logger LOG = LoggerFactory.getLogger(Batches.class);
    private static final double TICK_INTERVAL_MS = 100;
    private static final double RISK_CHECK_INTERVAL_MS = 1000;
    private static final double STORE_RETRY_DELAY_MS = 500;

    /** No more lines are started while this many records wait for the next flush. */
    private static final int MAX_PENDING_RECORDS = 512;

    /** The maximum size of {@link ActiveBatch#trackedLines}. */
    private static final int MAX_TRACKED_LINES = 10_000;

    private final Store store;
    private final BatchSettings settings;
    private final Site site;
    private final GenerationSubmitter submitter;
    private final EventLoop loop;
    private final BatchPlanner planner;
    private final BatchRetryPolicy retryPolicy;
    private final MessagesCodec messageBodies;
    private final BatchInputValidator validator;
    private final Map<String, ActiveBatch> activeBatches = new LinkedHashMap<>();
    private final List<Store.AnsweredLine> pendingRecords = new ArrayList<>();
    private boolean flushScheduled;
    private boolean storeFailing;
    private boolean storeFailureLogged;
    private boolean stopping;
    private double lastRiskCheckMs;
    private long finishedCount;
    private volatile Stats stats = new Stats(0, 0, 0, 0, 0);

    Batches(
            Store store,
            Site site,
            GenerationSubmitter submitter,
            EventLoop loop,
            BatchPlanner planner,
            BatchRetryPolicy retryPolicy,
            MessagesCodec messageBodies) {
        this.store = store;
        this.site = site;
        settings = site.batchSettings;
        this.submitter = submitter;
        this.loop = loop;
        this.planner = planner;
        this.retryPolicy = retryPolicy;
        this.messageBodies = messageBodies;
        validator = new BatchInputValidator(store, settings, site.limits.maxNesting);
    }

    /** A batch that has not ended. */
    private static final class ActiveBatch {
        /** The stored record of the batch, with changes that the next flush stores. */
        BatchRecord.Builder record;

        PlannedBatch planned;
        FileChannel inputChannel;
        LineReader lineReader;
        boolean inputExhausted;

        /** Whether lines may have been answered or submitted by a previous owner of the store. */
        boolean resumed;

        boolean finalizing;

        /** The lines that have been submitted and whose outcome is not known, by index. */
        final Map<Long, LineTask> openLines = new LinkedHashMap<>();

        final PriorityQueue<LineTask> retryQueue =
                new PriorityQueue<>(
                        Comparator.comparingDouble((LineTask task) -> task.dueMs)
                                .thenComparingLong(task -> task.line.index()));

        /** The positions of the lines that have been read, from the first one without a record. */
        final ArrayDeque<LineReader.Line> trackedLines = new ArrayDeque<>();

        /** Indexes of the lines of {@code trackedLines} that have a record. */
        final Set<Long> recordedLines = new HashSet<>();

        /** The number of records of this batch in {@link Batches#pendingRecords}. */
        int pendingRecordCount;

        ActiveBatch(BatchRecord record) {
            this.record = record.toBuilder();
        }

        String id() {
            return record.getId();
        }
    }

    /** A line that is being executed or waits for a retry. */
    private static final class LineTask {
        final ActiveBatch batch;
        final LineReader.Line line;

        /** The line's content until its first submission; for a retry it is read again. */
        byte[] bytes;

        int attempts;
        int timesRejected;

        /**
         * Whether a previous owner of the store recorded an attempt that may have run, and no
         * result; false once this process has submitted the line.
         */
        boolean mayHaveRun;

        double dueMs;
        double estimatedTokens;
        GenerationSubmitter.Submission submission;

        LineTask(ActiveBatch batch, LineReader.Line line) {
            this.batch = batch;
            this.line = line;
        }
    }

    // ------------------------------------------------------------------ operations

    /** Resumes the batches that the previous owner of the store left, and starts the ticks. */
    void start() throws IOException {
        for (BatchRecord record : store.activeBatches()) {
            ActiveBatch batch = new ActiveBatch(record);
            batch.resumed = true;
            activeBatches.put(batch.id(), batch);
            switch (record.getState()) {
                case VALIDATING, CANCELLING -> {
                    if (record.getTotal() == 0) {
                        validate(batch);
                    } else {
                        startFinalizing(batch, BatchState.CANCELLED);
                    }
                }
                case IN_PROGRESS -> startExecution(batch);
                default -> finish(batch);
            }
        }
        tick();
    }

    /** Passes a latency sample of a router's interactive requests to the planner. */
    void addLatencySample(LatencySample sample) {
        planner.addLatencySample(sample, loop.nowMs());
    }

    /** Starts no more lines; open lines may still end. */
    void stop() {
        stopping = true;
    }

    /** Creates a batch and validates its input in the background. */
    BatchRecord create(BatchRecord.Builder template) throws IOException {
        BatchRecord record = store.createBatch(template);
        ActiveBatch batch = new ActiveBatch(record);
        activeBatches.put(batch.id(), batch);
        validate(batch);
        return record;
    }

    /** Cancels a batch and returns its new state, or null if it can no longer be cancelled. */
    BatchRecord cancel(String id) throws IOException {
        ActiveBatch batch = activeBatches.get(id);
        if (batch == null || batch.finalizing) {
            return null;
        }
        if (batch.record.getState() != BatchState.CANCELLING) {
            BatchRecord.Builder updated =
                    batch.record
                            .clone()
                            .setState(BatchState.CANCELLING)
                            .setCancellingMs((long) loop.nowMs());
            store.updateBatch(updated.build());
            batch.record = updated;
            if (batch.planned != null) {
                planner.removeBatch(batch.planned);
                finalizeIfCancelled(batch);
            }
        }
        return batch.record.build();
    }

    /** The current state of a batch, or null if there is no such batch. */
    BatchRecord batch(String id) throws IOException {
        ActiveBatch batch = activeBatches.get(id);
        return batch == null ? store.batch(id) : batch.record.build();
    }

    boolean isAtRisk(String id) {
        ActiveBatch batch = activeBatches.get(id);
        return batch != null && batch.planned != null && batch.planned.isAtRisk();
    }

    Store store() {
        return store;
    }

    /** The values of the gauges. */
    record Stats(
            double openLines,
            double lineLimit,
            double limitDecreasesPerMinute,
            int activeCount,
            long finishedCount) {}

    /** The values as of the last tick; may be called on any thread. */
    Stats stats() {
        return stats;
    }

    // ------------------------------------------------------------------ lifecycle of a batch

    private void validate(ActiveBatch batch) {
        BatchRecord record = batch.record.build();
        loop.runBlocking(
                () -> validator.validate(record),
                (result, failure) ->
                        runStoreOperation(
                                () -> validationDone(batch, result, failure),
                                () -> validate(batch)));
    }

    private void validationDone(
            ActiveBatch batch, BatchInputValidator.Result result, Exception failure)
            throws IOException {
        if (failure instanceof Store.MissingContentException) {
            inputMissing(batch);
            return;
        }
        if (failure instanceof IOException ioFailure) {
            throw ioFailure;
        }
        List<InputError> faults =
                failure == null
                        ? result.faults()
                        : List.of(
                                BatchInputValidator.fault(
                                        "internal_error",
                                        0,
                                        null,
                                        "the input could not be checked"));
        if (failure != null) {
            LOG.error("failed to validate the input of a batch", failure);
        }
        BatchRecord.Builder updated = batch.record.clone();
        if (!faults.isEmpty()) {
            updated.setState(BatchState.FAILED).setEndedMs((long) loop.nowMs()).addAllFault(faults);
            store.updateBatch(updated.build());
            removeFinished(batch, updated);
            return;
        }
        updated.setTotal(result.lineCount());
        if (updated.getState() == BatchState.CANCELLING) {
            store.updateBatch(updated.build());
            batch.record = updated;
            startFinalizing(batch, BatchState.CANCELLED);
            return;
        }
        updated.setState(BatchState.IN_PROGRESS).setInProgressMs((long) loop.nowMs());
        store.updateBatch(updated.build());
        batch.record = updated;
        startExecution(batch);
    }

    /**
     * Opens the input at the first line that has no record, adds the batch to the planner, which
     * decides when its lines start, and schedules the batch's expiry. Finalizes the batch if all
     * its lines have a record.
     */
    private void startExecution(ActiveBatch batch) throws IOException {
        Site.Tenant tenant = site.tenantByName(batch.record.getTenant());
        try {
            batch.inputChannel = store.openInput(batch.record.build());
        } catch (Store.MissingContentException e) {
            inputMissing(batch);
            return;
        }
        batch.lineReader =
                new LineReader(
                        batch.inputChannel,
                        settings.maxLineBytes,
                        batch.record.getLowLine(),
                        batch.record.getLowOffset());
        batch.planned =
                planner.addBatch(
                        batch.id(),
                        batch.record.getTenant(),
                        tenant == null ? 1 : tenant.batchShare(),
                        (double) batch.record.getExpiresMs(),
                        batch.record.getNumber(),
                        (double)
                                (batch.record.getTotal()
                                        - batch.record.getDone()
                                        - batch.record.getFailed()));
        loop.schedule(Math.max(0, batch.record.getExpiresMs() - loop.nowMs()), () -> expire(batch));
        if (isComplete(batch)) {
            startFinalizing(batch, BatchState.COMPLETED);
        } else {
            startLines();
        }
    }

    private void expire(ActiveBatch batch) {
        if (!activeBatches.containsValue(batch)
                || batch.finalizing
                || batch.record.getState() != BatchState.IN_PROGRESS) {
            return;
        }
        for (LineTask task : List.copyOf(batch.openLines.values())) {
            task.submission.cancel();
            planner.lineEnded(batch.planned, task.estimatedTokens, false, loop.nowMs());
        }
        batch.openLines.clear();
        startFinalizing(batch, BatchState.EXPIRED);
    }

    private boolean isComplete(ActiveBatch batch) {
        return batch.record.getDone() + batch.record.getFailed() == batch.record.getTotal();
    }

    private void finalizeIfCancelled(ActiveBatch batch) {
        if (batch.record.getState() == BatchState.CANCELLING
                && batch.openLines.isEmpty()
                && batch.pendingRecordCount == 0
                && !batch.finalizing) {
            startFinalizing(batch, BatchState.CANCELLED);
        }
    }

    /** Starts no more lines of the batch and writes its files, after the pending records. */
    private void startFinalizing(ActiveBatch batch, BatchState endState) {
        batch.finalizing = true;
        if (batch.planned != null) {
            planner.removeBatch(batch.planned);
        }
        runStoreOperation(
                () -> {
                    flush();
                    BatchRecord.Builder updated =
                            batch.record
                                    .clone()
                                    .setEnding(endState)
                                    .setFinalizingMs((long) loop.nowMs());
                    if (endState != BatchState.CANCELLED) {
                        updated.setState(BatchState.FINALIZING);
                    }
                    store.updateBatch(updated.build());
                    batch.record = updated;
                    finish(batch);
                },
                () -> startFinalizing(batch, endState));
    }

    /** Both files of a batch, with a record for each line, and the number of records in each. */
    private record ResultFiles(
            IncomingFile output, IncomingFile errors, long completedLines, long failedLines) {}

    private void finish(ActiveBatch batch) {
        batch.finalizing = true;
        BatchRecord record = batch.record.build();
        loop.runBlocking(
                () -> writeResultFiles(record),
                (files, failure) ->
                        runStoreOperation(
                                () -> {
                                    if (failure instanceof Store.MissingContentException) {
                                        inputMissing(batch);
                                        return;
                                    }
                                    if (failure != null) {
                                        throw failure instanceof IOException ioFailure
                                                ? ioFailure
                                                : new IOException(
                                                        "cannot write the result files", failure);
                                    }
                                    try (IncomingFile output = files.output;
                                            IncomingFile errors = files.errors) {
                                        BatchRecord.Builder updated =
                                                batch.record
                                                        .clone()
                                                        .setState(record.getEnding())
                                                        .setEndedMs((long) loop.nowMs())
                                                        .setDone(files.completedLines)
                                                        .setFailed(files.failedLines);
                                        BatchRecord finishedRecord =
                                                store.finishBatch(
                                                        updated,
                                                        files.completedLines > 0 ? output : null,
                                                        files.failedLines > 0 ? errors : null,
                                                        (long) loop.nowMs());
                                        removeFinished(batch, finishedRecord.toBuilder());
                                    }
                                },
                                () -> finish(batch)));
    }

    /**
     * Ends a batch whose input is gone. Guards against: each new try would fail as well, and no
     * line of any batch starts while a store operation fails.
     */
    private void inputMissing(ActiveBatch batch) throws IOException {
        LOG.atError().addKeyValue("batch", batch.id()).log("the input of a batch is gone");
        BatchRecord.Builder updated =
                batch.record
                        .clone()
                        .setState(BatchState.FAILED)
                        .setEndedMs((long) loop.nowMs())
                        .addFault(
                                BatchInputValidator.fault(
                                        "input_damaged", 0, null, "the input file is gone"));
        store.updateBatch(updated.build());
        removeFinished(batch, updated);
    }

    private ResultFiles writeResultFiles(BatchRecord batchRecord) throws IOException {
        IncomingFile output = store.createIncomingFile();
        IncomingFile errors = null;
        long completedLines = 0;
        long failedLines = 0;
        try (FileChannel input = store.openInput(batchRecord);
                LineReader lines = new LineReader(input, settings.maxLineBytes, 0, 0)) {
            errors = store.createIncomingFile();
            for (LineReader.Line line = lines.next(); line != null; line = lines.next()) {
                LineAnswer lineRecord = store.answer(batchRecord.getId(), line.index());
                boolean isCompleted = lineRecord != null && lineRecord.getGood();
                byte[] recordBytes =
                        ((lineRecord == null
                                                ? unfinishedLineRecord(batchRecord, line)
                                                : lineRecord.getText())
                                        + "\n")
                                .getBytes(java.nio.charset.StandardCharsets.UTF_8);
                (isCompleted ? output : errors).write(recordBytes, 0, recordBytes.length);
                completedLines += isCompleted ? 1 : 0;
                failedLines += isCompleted ? 0 : 1;
            }
            return new ResultFiles(output.sync(), errors.sync(), completedLines, failedLines);
        } catch (IOException e) {
            output.close();
            if (errors != null) {
                errors.close();
            }
            throw e;
        }
    }

    /** An error record for a line that had no record when its batch expired or was cancelled. */
    private String unfinishedLineRecord(BatchRecord batchRecord, LineReader.Line line)
            throws IOException {
        boolean mayHaveRun = store.attempts(batchRecord.getId(), line.index()) > 0;
        boolean expired = batchRecord.getEnding() == BatchState.EXPIRED;
        String customId;
        try {
            customId = validator.parseLine(line.bytes(), batchRecord.getEndpoint()).customId();
        } catch (BatchInputValidator.InvalidLineException e) {
            customId = "";
        }
        return BatchLineCodec.errorRecord(
                lineId(batchRecord.getId(), line.index()),
                customId,
                expired ? "batch_expired" : "batch_cancelled",
                "The batch "
                        + (expired ? "expired" : "was cancelled")
                        + (mayHaveRun
                                ? " while this line was out; it may have run"
                                : " before this line was executed"));
    }

    private void removeFinished(ActiveBatch batch, BatchRecord.Builder finalRecord)
            throws IOException {
        activeBatches.remove(batch.id());
        finishedCount++;
        if (batch.inputChannel != null) {
            batch.inputChannel.close();
        }
        LOG.atInfo()
                .addKeyValue("batch", batch.id())
                .addKeyValue("state", finalRecord.getState())
                .addKeyValue("done", finalRecord.getDone())
                .addKeyValue("failed", finalRecord.getFailed())
                .log("batch ended");
    }

    // ------------------------------------------------------------------ execution of lines

    /** Starts lines for as long as the planner allows. */
    private void startLines() {
        while (!stopping && !storeFailing && pendingRecords.size() < MAX_PENDING_RECORDS) {
            double now = loop.nowMs();
            PlannedBatch planned = planner.nextBatch(now);
            if (planned == null) {
                return;
            }
            ActiveBatch batch = activeBatches.get(planned.id);
            runStoreOperation(
                    () -> {
                        LineTask task = nextLineTask(batch, now);
                        if (task == null) {
                            planner.setReady(planned, false);
                            return;
                        }
                        try {
                            submit(task);
                        } catch (IOException e) {
                            // Guards against: a line whose submission could not be recorded would
                            // never be executed.
                            task.dueMs = now;
                            batch.retryQueue.add(task);
                            throw e;
                        }
                    },
                    this::startLines);
        }
    }

    /**
     * The next line of a batch that may start now: one whose retry is due, else the next line of
     * the input that has no record; null if there is none.
     */
    private LineTask nextLineTask(ActiveBatch batch, double nowMs) throws IOException {
        if (!batch.retryQueue.isEmpty() && batch.retryQueue.peek().dueMs <= nowMs) {
            return batch.retryQueue.poll();
        }
        // Guards against: while one line is retried again and again, the positions of all later
        // lines of a large file would be kept in memory.
        while (!batch.inputExhausted && batch.trackedLines.size() < MAX_TRACKED_LINES) {
            LineReader.Line line = batch.lineReader.next();
            if (line == null) {
                batch.inputExhausted = true;
                break;
            }
            LineReader.Line position =
                    new LineReader.Line(line.index(), line.offset(), line.nextOffset(), null);
            batch.trackedLines.add(position);
            if (!batch.resumed || !store.isAnswered(batch.id(), line.index())) {
                LineTask task = new LineTask(batch, position);
                task.bytes = line.bytes();
                task.attempts = batch.resumed ? store.attempts(batch.id(), line.index()) : 0;
                task.mayHaveRun = task.attempts > 0;
                return task;
            }
            markRecorded(batch, position);
        }
        return null;
    }

    private void submit(LineTask task) throws IOException {
        ActiveBatch batch = task.batch;
        String lineId = lineId(batch.id(), task.line.index());
        String endpoint = batch.record.getEndpoint();
        BatchInputValidator.LineRequest lineRequest;
        try {
            byte[] bytes =
                    task.bytes != null
                            ? task.bytes
                            : LineReader.reread(
                                    batch.inputChannel, task.line, settings.maxLineBytes);
            task.bytes = null;
            lineRequest = validator.parseLine(bytes, endpoint);
        } catch (BatchInputValidator.InvalidLineException e) {
            addRecord(
                    task,
                    false,
                    BatchLineCodec.errorRecord(
                            lineId,
                            "",
                            "input_damaged",
                            "The line was good and is no longer: " + e.getMessage()));
            return;
        }
        GenerationRequest generationRequest;
        try {
            generationRequest = toGenerationRequest(batch, lineRequest);
        } catch (ApiException e) {
            addRecord(
                    task,
                    false,
                    BatchLineCodec.responseRecord(
                            lineId,
                            lineRequest.customId(),
                            e.status,
                            BatchLineCodec.errorBody(endpoint, e)));
            return;
        }
        Effect effect = generationRequest.offering().trafficClass.effect;
        if (task.mayHaveRun
                && retryPolicy.retryDelayMs(
                                BatchRetryPolicy.Outcome.PROCESS_ENDED, effect, task.attempts, 0, 0)
                        < 0) {
            addRecord(
                    task,
                    false,
                    BatchLineCodec.errorRecord(
                            lineId,
                            lineRequest.customId(),
                            "may_have_run",
                            "The service ended while this line was out; it may have run and is not repeated"));
            return;
        }
        task.mayHaveRun = false;
        store.recordAttempts(
                batch.id(), task.line.index(), task.attempts + 1, effect != Effect.IDEMPOTENT);
        task.attempts++;
        task.estimatedTokens =
                generationRequest.promptTokens() + generationRequest.maxTokens() / 2.0;
        batch.openLines.put(task.line.index(), task);
        planner.lineStarted(batch.planned, task.estimatedTokens);
        task.submission =
                submitter.submit(
                        generationRequest, new LineListener(task, generationRequest, lineRequest));
    }

    private GenerationRequest toGenerationRequest(
            ActiveBatch batch, BatchInputValidator.LineRequest lineRequest) throws ApiException {
        Site.Tenant tenant = site.tenantByName(batch.record.getTenant());
        if (tenant == null) {
            throw ApiException.invalid(
                    "the tenant '" + batch.record.getTenant() + "' is no longer served");
        }
        boolean isChat =
                batch.record.getEndpoint().equals(BatchLineCodec.CHAT_COMPLETIONS_ENDPOINT);
        JsonNode body =
                isChat ? BatchLineCodec.chatToMessages(lineRequest.body()) : lineRequest.body();
        // All attempts of a line have the same key: it is billed once, and engines drop repeated
        // requests of a deduplicated product.
        String idempotencyKey = Site.sha256(batch.id() + '\n' + lineRequest.customId());
        return messageBodies.toGenerationRequest(
                body,
                isChat ? 2 : 1,
                tenant,
                offering -> offering.asBatch(settings.revenueFactor, settings.attemptTimeoutMs),
                idempotencyKey);
    }

    private static String lineId(String batchId, long lineIndex) {
        return batchId.substring("batch_".length()) + "-" + (lineIndex + 1);
    }

    /** Handles the outcome of a line's generation. */
    private final class LineListener implements GenerationSubmitter.Listener {
        private final LineTask task;
        private final GenerationRequest generationRequest;
        private final BatchInputValidator.LineRequest lineRequest;
        private final String lineId;

        LineListener(
                LineTask task,
                GenerationRequest generationRequest,
                BatchInputValidator.LineRequest lineRequest) {
            this.task = task;
            this.generationRequest = generationRequest;
            this.lineRequest = lineRequest;
            lineId = lineId(task.batch.id(), task.line.index());
        }

        /** Removes the line from the open lines; returns false if it is no longer one of them. */
        private boolean removeOpenLine(boolean answered) {
            if (task.batch.openLines.get(task.line.index()) != task) {
                return false;
            }
            task.batch.openLines.remove(task.line.index());
            planner.lineEnded(task.batch.planned, task.estimatedTokens, answered, loop.nowMs());
            return true;
        }

        @Override
        public void completed(String text, int cachedTokens, AnswerSummary summary) {
            if (removeOpenLine(true)) {
                ObjectNode body =
                        BatchLineCodec.responseBody(
                                task.batch.record.getEndpoint(),
                                lineId,
                                lineRequest.body().path("model").asText(),
                                generationRequest,
                                cachedTokens,
                                text,
                                summary,
                                (long) loop.nowMs());
                addRecord(
                        task,
                        true,
                        BatchLineCodec.responseRecord(lineId, lineRequest.customId(), 200, body));
                startLines();
            }
        }

        @Override
        public void responseTooLarge() {
            if (removeOpenLine(true)) {
                addRecord(
                        task,
                        false,
                        BatchLineCodec.errorRecord(
                                lineId,
                                lineRequest.customId(),
                                "answer_too_large",
                                "The answer is over " + site.limits.maxResponseBytes + " bytes"));
                startLines();
            }
        }

        @Override
        public void throttled(double retryAfterMs) {
            planner.recordThrottled(loop.nowMs());
            rejected(BatchRetryPolicy.Outcome.THROTTLED, retryAfterMs);
        }

        @Override
        public void rejectedOverBudget(double retryAfterMs) {
            planner.pauseTenant(task.batch.planned, loop.nowMs() + retryAfterMs);
            rejected(BatchRetryPolicy.Outcome.OVER_BUDGET, retryAfterMs);
        }

        @Override
        public void notAdmitted() {
            rejected(BatchRetryPolicy.Outcome.NOT_ACCEPTED, 0);
        }

        /** The line did not run, or is harmless to run again: the attempt is not counted. */
        private void rejected(BatchRetryPolicy.Outcome outcome, double retryAfterMs) {
            if (removeOpenLine(false)) {
                task.timesRejected++;
                task.attempts--;
                runStoreOperation(
                        () ->
                                store.removeLastAttempt(
                                        task.batch.id(), task.line.index(), task.attempts),
                        () -> {});
                scheduleRetry(
                        retryPolicy.retryDelayMs(
                                outcome,
                                generationRequest.offering().trafficClass.effect,
                                task.attempts,
                                task.timesRejected,
                                retryAfterMs));
            }
        }

        @Override
        public void terminated() {
            if (!removeOpenLine(false)) {
                return;
            }
            double delayMs =
                    retryPolicy.retryDelayMs(
                            BatchRetryPolicy.Outcome.TERMINATED,
                            generationRequest.offering().trafficClass.effect,
                            task.attempts,
                            0,
                            0);
            if (delayMs >= 0) {
                scheduleRetry(delayMs);
                return;
            }
            addRecord(
                    task,
                    false,
                    generationRequest.offering().trafficClass.effect == Effect.IDEMPOTENT
                            ? BatchLineCodec.errorRecord(
                                    lineId,
                                    lineRequest.customId(),
                                    "terminated",
                                    "Failed " + task.attempts + " times")
                            : BatchLineCodec.errorRecord(
                                    lineId,
                                    lineRequest.customId(),
                                    "may_have_run",
                                    "Failed; it may have run and is not repeated"));
            startLines();
        }

        private void scheduleRetry(double delayMs) {
            ActiveBatch batch = task.batch;
            task.dueMs = loop.nowMs() + delayMs;
            batch.retryQueue.add(task);
            if (batch.record.getState() != BatchState.IN_PROGRESS || batch.finalizing) {
                finalizeIfCancelled(batch);
                return;
            }
            loop.schedule(
                    delayMs,
                    () -> {
                        if (!batch.finalizing
                                && batch.record.getState() == BatchState.IN_PROGRESS) {
                            planner.setReady(batch.planned, true);
                            startLines();
                        }
                    });
            startLines();
        }
    }

    // ------------------------------------------------------------------ records

    /** Adds the record of a line; the next flush writes it together with other pending records. */
    private void addRecord(LineTask task, boolean completed, String recordJson) {
        pendingRecords.add(
                new Store.AnsweredLine(
                        task.batch.id(),
                        task.line.index(),
                        LineAnswer.newBuilder().setGood(completed).setText(recordJson).build()));
        ActiveBatch batch = task.batch;
        batch.pendingRecordCount++;
        planner.lineRecorded(batch.planned);
        batch.record
                .setDone(batch.record.getDone() + (completed ? 1 : 0))
                .setFailed(batch.record.getFailed() + (completed ? 0 : 1));
        markRecorded(batch, task.line);
        if (!flushScheduled) {
            flushScheduled = true;
            loop.execute(this::flushAndStartLines);
        }
    }

    /** Marks a line as recorded and advances the position before which all lines have a record. */
    private void markRecorded(ActiveBatch batch, LineReader.Line line) {
        batch.recordedLines.add(line.index());
        boolean wasFull = batch.trackedLines.size() >= MAX_TRACKED_LINES;
        while (!batch.trackedLines.isEmpty()
                && batch.recordedLines.remove(batch.trackedLines.peek().index())) {
            LineReader.Line recordedLine = batch.trackedLines.poll();
            batch.record
                    .setLowLine(recordedLine.index() + 1)
                    .setLowOffset(recordedLine.nextOffset());
        }
        if (wasFull && !batch.finalizing && batch.record.getState() == BatchState.IN_PROGRESS) {
            planner.setReady(batch.planned, true);
        }
    }

    private void flushAndStartLines() {
        flushScheduled = false;
        runStoreOperation(this::flush, () -> {});
        startLines();
    }

    private void flush() throws IOException {
        if (pendingRecords.isEmpty()) {
            return;
        }
        Set<ActiveBatch> flushedBatches = new LinkedHashSet<>();
        List<BatchRecord> batchRecords = new ArrayList<>();
        for (Store.AnsweredLine lineRecord : pendingRecords) {
            ActiveBatch batch = activeBatches.get(lineRecord.batchId());
            if (flushedBatches.add(batch)) {
                batchRecords.add(batch.record.build());
            }
        }
        store.recordAnswers(pendingRecords, batchRecords);
        pendingRecords.clear();
        for (ActiveBatch batch : flushedBatches) {
            batch.pendingRecordCount = 0;
            if (!batch.finalizing && isComplete(batch)) {
                startFinalizing(
                        batch,
                        batch.record.getState() == BatchState.CANCELLING
                                ? BatchState.CANCELLED
                                : BatchState.COMPLETED);
            } else {
                finalizeIfCancelled(batch);
            }
        }
    }

    private interface StoreOperation {
        void run() throws IOException;
    }

    /**
     * Runs an operation. If it fails, no lines are started until {@code retry} is run after a
     * delay. Guards against: a full disk would lose a record or stop the event loop.
     */
    private void runStoreOperation(StoreOperation operation, Runnable retry) {
        try {
            operation.run();
            if (storeFailureLogged) {
                storeFailureLogged = false;
                LOG.info("the store works again");
            }
        } catch (IOException e) {
            storeFailing = true;
            if (!storeFailureLogged) {
                storeFailureLogged = true;
                LOG.error(
                        "a store operation failed; starting no lines until the store works again",
                        e);
            }
            loop.schedule(
                    STORE_RETRY_DELAY_MS,
                    () -> {
                        if (!stopping) {
                            storeFailing = false;
                            retry.run();
                            flushAndStartLines();
                        }
                    });
        }
    }

    // ------------------------------------------------------------------ ticks

    private void tick() {
        double now = loop.nowMs();
        if (now >= lastRiskCheckMs + RISK_CHECK_INTERVAL_MS) {
            lastRiskCheckMs = now;
            for (PlannedBatch planned : planner.updateAtRisk(now)) {
                LOG.atWarn()
                        .addKeyValue("batch", planned.id)
                        .addKeyValue("at_risk", planned.isAtRisk())
                        .log(
                                planned.isAtRisk()
                                        ? "batch will miss its window at its tenant's recent rate"
                                        : "batch can complete in its window again");
            }
        }
        startLines();
        stats =
                new Stats(
                        planner.openLines(),
                        planner.limit(now),
                        planner.limitDecreasesPerMinute(now),
                        activeBatches.size(),
                        finishedCount);
        if (!stopping) {
            loop.schedule(TICK_INTERVAL_MS, this::tick);
        }
    }
}
