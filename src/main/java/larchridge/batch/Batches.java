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
import larchridge.store.form.AnswerForm;
import larchridge.store.form.BatchForm;
import larchridge.store.form.FaultForm;
import larchridge.store.form.StateForm;
import larchridge.upstream.Completion;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * All batches of one store, from their making to their end, on one loop. Each line of an input has
 * exactly one record, in the output or in the error file, over any crash: its record is written
 * once, under batch and line, before anything counts on it, and the files are made of the records
 * when none is missing. Toward engines a line may go more than once where its product allows that;
 * it is noted before it goes, so that the next owner of the store knows which may have run.
 */
final class Batches {
    private static final Logger LOG = LoggerFactory.getLogger(Batches.class);
    private static final double LOOK_MS = 100;
    private static final double JUDGE_MS = 1000;
    private static final double DISK_AGAIN_MS = 500;

    /** Records that are gathered for one write at most, and lines that may wait for theirs. */
    private static final int MOST_GATHERED = 512;

    private static final int MOST_READ_AHEAD = 10_000;

    private final Store store;
    private final BatchSettings terms;
    private final Site site;
    private final GenerationSubmitter desk;
    private final EventLoop loop;
    private final BatchPlanner planner;
    private final BatchRetryPolicy attempts;
    private final MessagesCodec bodies;
    private final BatchInputValidator check;
    private final Map<String, Job> jobs = new LinkedHashMap<>();
    private final List<Store.Answer> gathered = new ArrayList<>();
    private boolean flushing;
    private boolean diskFails;
    private boolean diskTold;
    private boolean stopping;
    private double judgedMs;
    private long finished;
    private volatile Figures figures = new Figures(0, 0, 0, 0, 0);

    Batches(
            Store store,
            Site site,
            GenerationSubmitter desk,
            EventLoop loop,
            BatchPlanner planner,
            BatchRetryPolicy attempts,
            MessagesCodec bodies) {
        this.store = store;
        this.site = site;
        terms = site.batchSettings;
        this.desk = desk;
        this.loop = loop;
        this.planner = planner;
        this.attempts = attempts;
        this.bodies = bodies;
        check = new BatchInputValidator(store, terms, site.limits.maxNesting);
    }

    /** One batch that is not over. */
    private static final class Job {
        BatchForm.Builder form;
        PlannedBatch work;
        FileChannel input;
        LineReader lines;
        boolean atEnd;

        /** Whether lines may have been answered or out before this owner came. */
        boolean resumed;

        boolean ending;
        final Map<Long, Trip> out = new LinkedHashMap<>();
        final PriorityQueue<Trip> again =
                new PriorityQueue<>(
                        Comparator.comparingDouble((Trip t) -> t.dueMs)
                                .thenComparingLong(t -> t.line.number()));

        /**
         * Lines that were read, from the first that has no record, and those among them that have
         * one.
         */
        final ArrayDeque<LineReader.Line> read = new ArrayDeque<>();

        final Set<Long> recorded = new HashSet<>();
        int unwritten;

        Job(BatchForm form) {
            this.form = form.toBuilder();
        }

        String id() {
            return form.getId();
        }
    }

    /** One line on its way. */
    private static final class Trip {
        final Job job;
        final LineReader.Line line;

        /**
         * What it says, until it goes out for the first time; one that goes again is read again.
         */
        byte[] bytes;

        int attempts;
        int refusals;

        /** Whether it was out when the owner before ended. */
        boolean unsure;

        double dueMs;
        double tokens;
        GenerationSubmitter.Out out;

        Trip(Job job, LineReader.Line line) {
            this.job = job;
            this.line = line;
        }
    }

    // ------------------------------------------------------------------ what can happen

    /** Takes up what the owner before left; from now on it looks at itself now and then. */
    void start() throws IOException {
        for (BatchForm form : store.active()) {
            Job job = new Job(form);
            job.resumed = true;
            jobs.put(job.id(), job);
            switch (form.getState()) {
                case VALIDATING, CANCELLING -> {
                    if (form.getTotal() == 0) {
                        validate(job);
                    } else {
                        end(job, StateForm.CANCELLED);
                    }
                }
                case IN_PROGRESS -> plan(job);
                default -> finish(job);
            }
        }
        look();
    }

    /** What a front's other work lived through. */
    void felt(LatencySample feeling) {
        planner.addLatencySample(feeling, loop.nowMs());
    }

    /** Nothing new goes out; lines that are out may still come back. */
    void stop() {
        stopping = true;
    }

    BatchForm make(BatchForm.Builder about) throws IOException {
        BatchForm form = store.begin(about);
        Job job = new Job(form);
        jobs.put(job.id(), job);
        validate(job);
        return form;
    }

    /** Cancels a batch; what it is then, or null if it can't be cancelled any more. */
    BatchForm cancel(String id) throws IOException {
        Job job = jobs.get(id);
        if (job == null || job.ending) {
            return null;
        }
        if (job.form.getState() != StateForm.CANCELLING) {
            BatchForm.Builder next =
                    job.form
                            .clone()
                            .setState(StateForm.CANCELLING)
                            .setCancellingMs((long) loop.nowMs());
            store.update(next.build());
            job.form = next;
            if (job.work != null) {
                planner.removeBatch(job.work);
                perhapsCancelled(job);
            }
        }
        return job.form.build();
    }

    /** A batch as it is now, with what the planner foretells; null if there is none. */
    BatchForm batch(String id) throws IOException {
        Job job = jobs.get(id);
        return job == null ? store.batch(id) : job.form.build();
    }

    boolean isAtRisk(String id) {
        Job job = jobs.get(id);
        return job != null && job.work != null && job.work.isAtRisk();
    }

    Store store() {
        return store;
    }

    /** What operators see of it. */
    record Figures(double linesOut, double limit, double fallsAMinute, int active, long finished) {}

    /** As of the last look; for readers on other threads. */
    Figures figures() {
        return figures;
    }

    // ------------------------------------------------------------------ a batch's way

    private void validate(Job job) {
        BatchForm form = job.form.build();
        loop.aside(
                () -> check.check(form),
                (result, failed) ->
                        onDisk(() -> validated(job, result, failed), () -> validate(job)));
    }

    private void validated(Job job, BatchInputValidator.Result result, Exception failed)
            throws IOException {
        if (failed instanceof IOException disk) {
            throw disk;
        }
        List<FaultForm> faults =
                failed == null
                        ? result.faults()
                        : List.of(
                                BatchInputValidator.fault(
                                        "internal_error",
                                        0,
                                        null,
                                        "the input could not be checked"));
        if (failed != null) {
            LOG.error("an input could not be checked", failed);
        }
        BatchForm.Builder next = job.form.clone();
        if (!faults.isEmpty()) {
            next.setState(StateForm.FAILED).setEndedMs((long) loop.nowMs()).addAllFault(faults);
            store.update(next.build());
            over(job, next);
            return;
        }
        next.setTotal(result.lines());
        if (next.getState() == StateForm.CANCELLING) {
            store.update(next.build());
            job.form = next;
            end(job, StateForm.CANCELLED);
            return;
        }
        next.setState(StateForm.IN_PROGRESS).setInProgressMs((long) loop.nowMs());
        store.update(next.build());
        job.form = next;
        plan(job);
    }

    /**
     * Opens the input where the lines begin that are not all answered, and lets the planner choose
     * among them.
     */
    private void plan(Job job) throws IOException {
        Site.Tenant tenant = site.tenantByName(job.form.getTenant());
        job.input = store.content(store.file(job.form.getInput()));
        job.lines =
                new LineReader(
                        job.input, terms.maxLineBytes, job.form.getLowLine(), job.form.getLowOffset());
        job.work =
                planner.addBatch(
                        job.id(),
                        job.form.getTenant(),
                        tenant == null ? 1 : tenant.batchShare(),
                        (double) job.form.getExpiresMs(),
                        job.form.getNumber(),
                        (double) (job.form.getTotal() - job.form.getDone() - job.form.getFailed()));
        loop.in(Math.max(0, job.form.getExpiresMs() - loop.nowMs()), () -> expire(job));
        if (isComplete(job)) {
            end(job, StateForm.COMPLETED);
        } else {
            pump();
        }
    }

    private void expire(Job job) {
        if (!jobs.containsValue(job)
                || job.ending
                || job.form.getState() != StateForm.IN_PROGRESS) {
            return;
        }
        for (Trip trip : List.copyOf(job.out.values())) {
            trip.out.callOff();
            planner.lineEnded(job.work, trip.tokens, false, loop.nowMs());
        }
        job.out.clear();
        end(job, StateForm.EXPIRED);
    }

    private boolean isComplete(Job job) {
        return job.form.getDone() + job.form.getFailed() == job.form.getTotal();
    }

    private void perhapsCancelled(Job job) {
        if (job.form.getState() == StateForm.CANCELLING
                && job.out.isEmpty()
                && job.unwritten == 0
                && !job.ending) {
            end(job, StateForm.CANCELLED);
        }
    }

    /** Nothing more of it goes out; its files are made. Records that wait are written first. */
    private void end(Job job, StateForm how) {
        job.ending = true;
        if (job.work != null) {
            planner.removeBatch(job.work);
        }
        onDisk(
                () -> {
                    flush();
                    BatchForm.Builder next =
                            job.form.clone().setEnding(how).setFinalizingMs((long) loop.nowMs());
                    if (how != StateForm.CANCELLED) {
                        next.setState(StateForm.FINALIZING);
                    }
                    store.update(next.build());
                    job.form = next;
                    finish(job);
                },
                () -> end(job, how));
    }

    /** Both files of a batch, with a record for each line, and how many. */
    private record Made(IncomingFile output, IncomingFile errors, long good, long bad) {}

    private void finish(Job job) {
        job.ending = true;
        BatchForm form = job.form.build();
        loop.aside(
                () -> files(form),
                (made, failed) ->
                        onDisk(
                                () -> {
                                    if (failed != null) {
                                        throw failed instanceof IOException disk
                                                ? disk
                                                : new IOException("files were not made", failed);
                                    }
                                    try (IncomingFile output = made.output;
                                            IncomingFile errors = made.errors) {
                                        BatchForm.Builder next =
                                                job.form
                                                        .clone()
                                                        .setState(form.getEnding())
                                                        .setEndedMs((long) loop.nowMs())
                                                        .setDone(made.good)
                                                        .setFailed(made.bad);
                                        BatchForm done =
                                                store.finish(
                                                        next,
                                                        made.good > 0 ? output : null,
                                                        made.bad > 0 ? errors : null,
                                                        (long) loop.nowMs());
                                        over(job, done.toBuilder());
                                    }
                                },
                                () -> finish(job)));
    }

    private Made files(BatchForm form) throws IOException {
        IncomingFile output = store.receive();
        IncomingFile errors = null;
        long good = 0;
        long bad = 0;
        try (FileChannel input = store.content(store.file(form.getInput()));
                LineReader lines = new LineReader(input, terms.maxLineBytes, 0, 0)) {
            errors = store.receive();
            for (LineReader.Line line = lines.next(); line != null; line = lines.next()) {
                AnswerForm answer = store.answer(form.getId(), line.number());
                boolean isGood = answer != null && answer.getGood();
                byte[] text =
                        ((answer == null ? unanswered(form, line) : answer.getText()) + "\n")
                                .getBytes(java.nio.charset.StandardCharsets.UTF_8);
                (isGood ? output : errors).write(text, 0, text.length);
                good += isGood ? 1 : 0;
                bad += isGood ? 0 : 1;
            }
            return new Made(output.synced(), errors.synced(), good, bad);
        } catch (IOException e) {
            output.close();
            if (errors != null) {
                errors.close();
            }
            throw e;
        }
    }

    /** The record of a line that its batch's end has left without an answer. */
    private String unanswered(BatchForm form, LineReader.Line line) throws IOException {
        boolean wasOut = store.attempts(form.getId(), line.number()) > 0;
        boolean expired = form.getEnding() == StateForm.EXPIRED;
        String customId;
        try {
            customId = check.read(line.bytes(), form.getEndpoint()).customId();
        } catch (BatchInputValidator.BadLine e) {
            customId = "";
        }
        return BatchLineCodec.error(
                lineId(form.getId(), line.number()),
                customId,
                expired ? "batch_expired" : "batch_cancelled",
                "The batch "
                        + (expired ? "expired" : "was cancelled")
                        + (wasOut
                                ? " while this line was out; it may have run"
                                : " before this line was executed"));
    }

    private void over(Job job, BatchForm.Builder last) throws IOException {
        jobs.remove(job.id());
        finished++;
        if (job.input != null) {
            job.input.close();
        }
        LOG.atInfo()
                .addKeyValue("batch", job.id())
                .addKeyValue("state", last.getState())
                .addKeyValue("done", last.getDone())
                .addKeyValue("failed", last.getFailed())
                .log("batch over");
    }

    // ------------------------------------------------------------------ lines out

    /** Hands out lines for as long as the planner says so. */
    private void pump() {
        while (!stopping && !diskFails && gathered.size() < MOST_GATHERED) {
            double now = loop.nowMs();
            PlannedBatch work = planner.nextBatch(now);
            if (work == null) {
                return;
            }
            Job job = jobs.get(work.id);
            onDisk(
                    () -> {
                        Trip trip = nextTrip(job, now);
                        if (trip == null) {
                            planner.setReady(work, false);
                            return;
                        }
                        try {
                            send(trip);
                        } catch (IOException e) {
                            // Guards against: a line that could not be noted would be left out.
                            trip.dueMs = now;
                            job.again.add(trip);
                            throw e;
                        }
                    },
                    this::pump);
        }
    }

    /**
     * The next line of a batch that may go now: one that goes again, else the next that is not
     * answered.
     */
    private Trip nextTrip(Job job, double nowMs) throws IOException {
        if (!job.again.isEmpty() && job.again.peek().dueMs <= nowMs) {
            return job.again.poll();
        }
        // Guards against: one line that goes again and again would let all others of a large file
        // be read
        // ahead of it into memory.
        while (!job.atEnd && job.read.size() < MOST_READ_AHEAD) {
            LineReader.Line line = job.lines.next();
            if (line == null) {
                job.atEnd = true;
                break;
            }
            LineReader.Line place =
                    new LineReader.Line(line.number(), line.offset(), line.next(), null);
            job.read.add(place);
            if (!job.resumed || !store.isAnswered(job.id(), line.number())) {
                Trip trip = new Trip(job, place);
                trip.bytes = line.bytes();
                trip.attempts = job.resumed ? store.attempts(job.id(), line.number()) : 0;
                trip.unsure = trip.attempts > 0;
                return trip;
            }
            answered(job, place);
        }
        return null;
    }

    private void send(Trip trip) throws IOException {
        Job job = trip.job;
        String lineId = lineId(job.id(), trip.line.number());
        String endpoint = job.form.getEndpoint();
        BatchInputValidator.Call call;
        try {
            byte[] bytes =
                    trip.bytes != null
                            ? trip.bytes
                            : LineReader.again(job.input, trip.line, terms.maxLineBytes);
            trip.bytes = null;
            call = check.read(bytes, endpoint);
        } catch (BatchInputValidator.BadLine e) {
            record(
                    trip,
                    false,
                    BatchLineCodec.error(
                            lineId,
                            "",
                            "input_damaged",
                            "The line was good and is no longer: " + e.getMessage()));
            return;
        }
        GenerationRequest ask;
        try {
            ask = ask(job, call);
        } catch (ApiException e) {
            record(
                    trip,
                    false,
                    BatchLineCodec.response(
                            lineId, call.customId(), e.status, BatchLineCodec.fault(endpoint, e)));
            return;
        }
        Effect effect = ask.offering().product.effect;
        if (trip.unsure
                && attempts.retryDelayMs(
                                BatchRetryPolicy.Outcome.PROCESS_ENDED, effect, trip.attempts, 0, 0)
                        < 0) {
            record(
                    trip,
                    false,
                    BatchLineCodec.error(
                            lineId,
                            call.customId(),
                            "may_have_run",
                            "The service ended while this line was out; it may have run and is not repeated"));
            return;
        }
        trip.unsure = false;
        store.flight(job.id(), trip.line.number(), trip.attempts + 1, effect != Effect.IDEMPOTENT);
        trip.attempts++;
        trip.tokens = ask.promptTokens() + ask.maxTokens() / 2.0;
        job.out.put(trip.line.number(), trip);
        planner.lineStarted(job.work, trip.tokens);
        trip.out = desk.take(ask, new Ears(trip, ask, call));
    }

    private GenerationRequest ask(Job job, BatchInputValidator.Call call) throws ApiException {
        Site.Tenant tenant = site.tenantByName(job.form.getTenant());
        if (tenant == null) {
            throw ApiException.invalid(
                    "the tenant '" + job.form.getTenant() + "' is no longer served");
        }
        boolean chat = job.form.getEndpoint().equals(BatchLineCodec.CHAT);
        JsonNode body = chat ? BatchLineCodec.messages(call.body()) : call.body();
        // One key for all tries of a line: one bill, and engines drop the repeats of a deduplicated
        // one.
        String key = Site.sha256(job.id() + '\n' + call.customId());
        return bodies.toGenerationRequest(
                body,
                chat ? 2 : 1,
                tenant,
                offer -> offer.asBatch(terms.revenueFactor, terms.lineTimeoutMs),
                key);
    }

    private static String lineId(String batch, long line) {
        return batch.substring("batch_".length()) + "-" + (line + 1);
    }

    /** Hears how a line's generation ended. */
    private final class Ears implements GenerationSubmitter.Told {
        private final Trip trip;
        private final GenerationRequest ask;
        private final BatchInputValidator.Call call;
        private final String lineId;

        Ears(Trip trip, GenerationRequest ask, BatchInputValidator.Call call) {
            this.trip = trip;
            this.ask = ask;
            this.call = call;
            lineId = lineId(trip.job.id(), trip.line.number());
        }

        /** Whether anybody still waits for it; if so it is no longer out. */
        private boolean isBack(boolean answered) {
            if (trip.job.out.get(trip.line.number()) != trip) {
                return false;
            }
            trip.job.out.remove(trip.line.number());
            planner.lineEnded(trip.job.work, trip.tokens, answered, loop.nowMs());
            return true;
        }

        @Override
        public void streamed(String text, int keptTokens, Completion ending) {
            if (isBack(true)) {
                ObjectNode body =
                        BatchLineCodec.answer(
                                trip.job.form.getEndpoint(),
                                lineId,
                                call.body().path("model").asText(),
                                ask,
                                keptTokens,
                                text,
                                ending,
                                (long) loop.nowMs());
                record(trip, true, BatchLineCodec.response(lineId, call.customId(), 200, body));
                pump();
            }
        }

        @Override
        public void tooLarge() {
            if (isBack(true)) {
                record(
                        trip,
                        false,
                        BatchLineCodec.error(
                                lineId,
                                call.customId(),
                                "answer_too_large",
                                "The answer is over " + site.limits.maxResponseBytes + " bytes"));
                pump();
            }
        }

        @Override
        public void throttled(double comeBackMs) {
            planner.recordThrottled(loop.nowMs());
            notRun(BatchRetryPolicy.Outcome.THROTTLED, comeBackMs);
        }

        @Override
        public void overBudget(double comeBackMs) {
            planner.pauseTenant(trip.job.work, loop.nowMs() + comeBackMs);
            notRun(BatchRetryPolicy.Outcome.OVER_BUDGET, comeBackMs);
        }

        @Override
        public void turnedAway() {
            notRun(BatchRetryPolicy.Outcome.NOT_ACCEPTED, 0);
        }

        /** It surely did not run, or running again is harmless: this time is not counted. */
        private void notRun(BatchRetryPolicy.Outcome end, double comeBackMs) {
            if (isBack(false)) {
                trip.refusals++;
                trip.attempts--;
                onDisk(
                        () -> store.landed(trip.job.id(), trip.line.number(), trip.attempts),
                        () -> {});
                goesAgain(
                        attempts.retryDelayMs(
                                end,
                                ask.offering().product.effect,
                                trip.attempts,
                                trip.refusals,
                                comeBackMs));
            }
        }

        @Override
        public void terminated() {
            if (!isBack(false)) {
                return;
            }
            double afterMs =
                    attempts.retryDelayMs(
                            BatchRetryPolicy.Outcome.TERMINATED,
                            ask.offering().product.effect,
                            trip.attempts,
                            0,
                            0);
            if (afterMs >= 0) {
                goesAgain(afterMs);
                return;
            }
            record(
                    trip,
                    false,
                    ask.offering().product.effect == Effect.IDEMPOTENT
                            ? BatchLineCodec.error(
                                    lineId,
                                    call.customId(),
                                    "terminated",
                                    "Failed " + trip.attempts + " times")
                            : BatchLineCodec.error(
                                    lineId,
                                    call.customId(),
                                    "may_have_run",
                                    "Failed; it may have run and is not repeated"));
            pump();
        }

        private void goesAgain(double afterMs) {
            Job job = trip.job;
            trip.dueMs = loop.nowMs() + afterMs;
            job.again.add(trip);
            if (job.form.getState() != StateForm.IN_PROGRESS || job.ending) {
                perhapsCancelled(job);
                return;
            }
            loop.in(
                    afterMs,
                    () -> {
                        if (!job.ending && job.form.getState() == StateForm.IN_PROGRESS) {
                            planner.setReady(job.work, true);
                            pump();
                        }
                    });
            pump();
        }
    }

    // ------------------------------------------------------------------ records

    /** A line has its record; it is written with others that come in the same moment. */
    private void record(Trip trip, boolean good, String text) {
        gathered.add(
                new Store.Answer(
                        trip.job.id(),
                        trip.line.number(),
                        AnswerForm.newBuilder().setGood(good).setText(text).build()));
        Job job = trip.job;
        job.unwritten++;
        planner.lineRecorded(job.work);
        job.form
                .setDone(job.form.getDone() + (good ? 1 : 0))
                .setFailed(job.form.getFailed() + (good ? 0 : 1));
        answered(job, trip.line);
        if (!flushing) {
            flushing = true;
            loop.execute(this::flushed);
        }
    }

    /** Moves on the place before which all lines are answered. */
    private void answered(Job job, LineReader.Line line) {
        job.recorded.add(line.number());
        boolean wasFull = job.read.size() >= MOST_READ_AHEAD;
        while (!job.read.isEmpty() && job.recorded.remove(job.read.peek().number())) {
            LineReader.Line low = job.read.poll();
            job.form.setLowLine(low.number() + 1).setLowOffset(low.next());
        }
        if (wasFull && !job.ending && job.form.getState() == StateForm.IN_PROGRESS) {
            planner.setReady(job.work, true);
        }
    }

    private void flushed() {
        flushing = false;
        onDisk(this::flush, () -> {});
        pump();
    }

    private void flush() throws IOException {
        if (gathered.isEmpty()) {
            return;
        }
        Set<Job> touched = new LinkedHashSet<>();
        List<BatchForm> forms = new ArrayList<>();
        for (Store.Answer answer : gathered) {
            Job job = jobs.get(answer.batch());
            if (touched.add(job)) {
                forms.add(job.form.build());
            }
        }
        store.answered(gathered, forms);
        gathered.clear();
        for (Job job : touched) {
            job.unwritten = 0;
            if (!job.ending && isComplete(job)) {
                end(
                        job,
                        job.form.getState() == StateForm.CANCELLING
                                ? StateForm.CANCELLED
                                : StateForm.COMPLETED);
            } else {
                perhapsCancelled(job);
            }
        }
    }

    private interface OnDisk {
        void run() throws IOException;
    }

    /**
     * Guards against: a full disk must neither lose a record nor stop the loop; nothing new goes
     * out until it can be written.
     */
    private void onDisk(OnDisk step, Runnable again) {
        try {
            step.run();
            if (diskTold) {
                diskTold = false;
                LOG.info("the store can be written again");
            }
        } catch (IOException e) {
            diskFails = true;
            if (!diskTold) {
                diskTold = true;
                LOG.error("the store fails; nothing new goes out until it works again", e);
            }
            loop.in(
                    DISK_AGAIN_MS,
                    () -> {
                        if (!stopping) {
                            diskFails = false;
                            again.run();
                            flushed();
                        }
                    });
        }
    }

    // ------------------------------------------------------------------ now and then

    private void look() {
        double now = loop.nowMs();
        if (now >= judgedMs + JUDGE_MS) {
            judgedMs = now;
            for (PlannedBatch work : planner.updateAtRisk(now)) {
                LOG.atWarn()
                        .addKeyValue("batch", work.id)
                        .addKeyValue("at_risk", work.isAtRisk())
                        .log(
                                work.isAtRisk()
                                        ? "will not be done in its window at the rate of late"
                                        : "can be done in its window again");
            }
        }
        pump();
        figures =
                new Figures(
                        planner.openLines(),
                        planner.limit(now),
                        planner.limitDecreasesPerMinute(now),
                        jobs.size(),
                        finished);
        if (!stopping) {
            loop.in(LOOK_MS, this::look);
        }
    }
}
