package larchridge.policy;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Random;
import larchridge.state.Attempt;
import larchridge.state.AttemptOutcome;
import larchridge.state.CachedPrefix;
import larchridge.state.DeduplicationScope;
import larchridge.state.Effect;
import larchridge.state.EndpointUpdate;
import larchridge.state.Engine;
import larchridge.state.EngineRegistry;
import larchridge.state.Generation;
import larchridge.state.GiveUpReason;
import larchridge.state.LoadReport;
import larchridge.state.Role;
import larchridge.state.RoutingSettings;
import larchridge.state.SlidingWindow;
import larchridge.state.SlidingWindowMean;

/**
 * Every decision of one front: which reader reads a prompt, which writer writes its answer, and
 * what to do when either fails. Callers make one instance a front and call the public methods
 * below, one for each thing that can happen; the module acts by calling {@link PolicyActions}, the
 * only interface that it knows. What it remembers sits in the plain holders of {@code
 * larchridge.state}. {@link #advance} is the ordinary path of a generation; {@code docs/design.md}
 * tells where the rules come from. Times are in milliseconds.
 */
public final class RoutingPolicy {
    // The mechanism: thresholds of a reader's backlog, margin of the writers' mean, stand-in for
    // the answer.
    private static final double ALPHA_MS = 250;
    private static final double BETA_MS = 1750;
    private static final double Z_MARGIN = 1.05;
    private static final double EXPECTED_SHARE_OF_MAX = 0.5;
    private static final double FULL_MS = 2000;
    private static final double FULL_WITH_REPORTS_MS = 300;
    private static final double NEAR_STREAMS_FACTOR = 1.3;
    private static final double NEAR_STREAMS_MORE = 2;
    // Places of one prefix in a zone; the part of the mean streams under which an engine reads for
    // itself.
    private static final int HOMES = 2;
    private static final double SELF_READ_STREAMS = 0.6;
    // Moves of a reader's states out of its rack that begin later than this are late; what stands
    // in then.
    private static final double MOVE_LATE_MS = 400;
    private static final double NEAR_TOKS_FACTOR = 2.5;
    private static final double SELF_READ_LATE_STREAMS = 1.5;
    // Speed before any read has ended, reads that tell an engine's own speed, the least that a read
    // takes.
    private static final double UNHEARD_TOKS_PER_MS = 12;
    private static final double OWN_READS = 3;
    private static final double LEAST_READ_TOKS = 32;
    // How long an answer takes to begin before any has; how often a front with nothing out tries
    // anyway.
    private static final double BEGIN_FIRST_MS = 100;
    private static final double TRY_MS = 2000;
    // Of those that wait, so many are tried at a time, the first in order.
    private static final int MOST_TRIED = 100;
    // Asking for load: how many, how old a report must be, how long an answer is waited for.
    private static final int READERS_ASKED = 2;
    private static final int WRITERS_ASKED = 3;
    private static final double FRESH_MS = 300;
    private static final double ASK_WAIT_MS = 15;
    private static final double ASK_AGAIN_MS = 200;
    // Reports: how fast they fade, what the one before still counts, how alike fronts are,
    // half-done prompts.
    private static final double READ_REPORT_MS = 500;
    private static final double WRITE_REPORT_MS = 2000;
    private static final double REPORT_KEPT = 0.5;
    private static final double LIKE_OTHERS = 0.25;
    private static final double BEING_READ = 0.5;
    // Health.
    private static final double OVERDUE_READ_MS = 400;
    private static final double OVERDUE_WRITE_MS = 700;
    private static final double OVERDUE_FACTOR = 3;
    private static final double SUSPECT_FIRST_MS = 500;
    private static final double SUSPECT_MOST_MS = 4000;
    // What the newest answer counts in the share of an engine's errors, and the share that makes it
    // suspect.
    private static final double ERROR_WEIGHT = 0.25;
    private static final double ERRORS_MOST = 0.4;
    // Rules: the part used of a cold engine's budget, the margin of a final answer.
    private static final double COLD_PART = 0.5;
    private static final double ANSWER_EARLY_MS = 30;
    private static final double SWEEP_MS = 20;
    // The pause after an attempt that could not be sent from here; it doubles up to the most.
    private static final double NOT_SENT_MS = 20;
    private static final double NOT_SENT_MOST_MS = 320;
    private static final double FOLLOW_AGAIN_MS = 500;

    private final PolicyActions host;
    private final Random random;
    private final int fronts;
    private final String zone;
    private final int maxAttempts;
    private final boolean mayCancel;
    private final boolean maySendCopies;
    private final boolean writersRead;
    private final boolean mayProbe;
    private final double comeBackMaxMs;
    private final double coldMs;
    private final double coldShare;
    private final double bornMs;

    private final EngineRegistry fleet = new EngineRegistry();
    private final List<Engine> readers = fleet.readers;
    private final List<Engine> writers = fleet.writers;
    private final List<Generation> open = new ArrayList<>();

    /** Tokens of generations that are being read and have no writer yet. */
    private double awaitingTokens;

    private boolean wakeSet;
    private double askAtMs = Double.POSITIVE_INFINITY;
    private double beginMs = BEGIN_FIRST_MS;
    private double triedMs;

    /**
     * The best speed of late reads in tokens a millisecond, what a read had to read, what homes had
     * kept.
     */
    private final SlidingWindow speeds = new SlidingWindow(20, 1000);

    private final SlidingWindowMean unreadParts = new SlidingWindowMean(20, 1000);
    private final SlidingWindowMean unreadSizes = new SlidingWindowMean(20, 1000);
    private final SlidingWindowMean homesKept = new SlidingWindowMean(20, 1000);

    /**
     * What engines told of late beside this front's own: readers' tokens, writers' tokens and
     * streams.
     */
    private final SlidingWindowMean toldUnread = new SlidingWindowMean(5, 1000);

    private final SlidingWindowMean toldTokens = new SlidingWindowMean(5, 1000);
    private final SlidingWindowMean toldStreams = new SlidingWindowMean(5, 1000);
    private final SlidingWindowMean writesSent = new SlidingWindowMean(10, 1000);

    /** Reads and answers that warm engines took of late. */
    private final SlidingWindow warmReads = new SlidingWindow(30, 1000);

    private final SlidingWindow warmWrites = new SlidingWindow(30, 1000);

    public RoutingPolicy(RoutingSettings terms, PolicyActions host) {
        this.host = host;
        random = new Random(terms.seed);
        fronts = terms.routers;
        zone = terms.zone;
        maxAttempts = terms.maxAttempts;
        mayCancel = terms.cancellationAllowed;
        maySendCopies = terms.hedgingAllowed;
        writersRead = terms.writersCanRead;
        mayProbe = terms.reportsWithProbes && terms.probesAllowed;
        comeBackMaxMs = terms.retryAfterMaxMs;
        coldMs = terms.slowStartMs;
        coldShare = terms.slowStartShare * terms.overloadMultiple * COLD_PART;
        bornMs = host.nowMs();
        if (terms.endpointListPolled) {
            host.watchEndpoints();
        }
    }

    // ------------------------------------------------------------------ what can happen

    public void requestArrived(Generation generation) {
        open.add(generation);
        generation.randomShare = random.nextDouble();
        advance(generation);
        setWake();
    }

    public void readCompleted(Attempt attempt, int keptTokens, LoadReport report, boolean over) {
        Generation generation = attempt.generation;
        answered(attempt.engine, false);
        heard(attempt.engine, report);
        double now = host.nowMs();
        double unread = Math.max(generation.promptTokens - keptTokens, LEAST_READ_TOKS);
        double speed = unread / Math.max(1, now - attempt.sentMs);
        attempt.engine.speeds.addMax(now, speed);
        attempt.engine.reads.add(now, 1);
        speeds.addMax(now, speed);
        unreadParts.add(now, unread, generation.promptTokens);
        unreadSizes.add(now, unread, 1);
        if (homes(generation).indexOf(attempt.engine) == 0) {
            homesKept.add(now, keptTokens, generation.promptTokens);
        }
        warmReads.add(now, isCold(attempt.engine, now) ? 0 : 1);
        close(attempt);
        generation.finished |= over;
        if (generation.state == null) {
            generation.state = attempt;
        }
        if (generation.finished || generation.responseStarted) {
            // Guards against: a read that ends after its generation would leave its state pinned.
            letGo(generation);
        } else if (!generation.isAtWriter() || generation.stateReleased) {
            generation.stateReleased = false;
            cancelOthers(generation, attempt);
            advance(generation);
        }
        admitWaiting();
    }

    public void responseStarted(Attempt attempt) {
        Generation generation = attempt.generation;
        double now = host.nowMs();
        answered(attempt.engine, false);
        heard(attempt.engine, null);
        attempt.markRead();
        generation.responseStarted = true;
        if (generation.state != null && distance(generation.state.engine, attempt.engine) > 0) {
            generation.state.engine.moves.add(now, now - attempt.sentMs, 1);
        }
        // Guards against: late moves would make every generation look too late, also those that
        // need no
        // move.
        if (generation.state == null || !movesLate(generation.state.engine, now)) {
            beginMs += 0.05 * (now - attempt.sentMs - beginMs);
        }
        generation.state = null;
        generation.mayHoldState = generation.attemptsInFlight > 1;
        warmWrites.add(now, isCold(attempt.engine, now) ? 0 : 1);
        cancelOthers(generation, attempt);
    }

    public void attemptEnded(
            Attempt attempt, AttemptOutcome outcome, LoadReport report, boolean over) {
        Generation generation = attempt.generation;
        Engine engine = attempt.engine;
        attempt.outcome = outcome;
        close(attempt);
        generation.finished |= over;
        switch (outcome) {
            case STREAMED, NO_STATE -> heard(engine, report);
            case FAULT, CUT -> {
                if (!generation.finished) {
                    answered(engine, true);
                }
                if (outcome == AttemptOutcome.FAULT) {
                    heard(engine, report);
                }
                // Guards against: a kept connection that breaks says little; were each to keep work
                // away
                // from its
                // engine, most engines would be suspect while connections are reset all over.
                if (engine.errorShare >= ERRORS_MOST) {
                    blame(engine);
                }
            }
            case FULL -> {
                heard(engine, report);
                engine.fullUntilMs =
                        host.nowMs() + (engine.reports ? FULL_WITH_REPORTS_MS : FULL_MS);
            }
            case UNREACHABLE -> blame(engine);
            case NOT_SENT -> pause(generation);
            default -> {}
        }
        if (generation.finished
                || generation.responseStarted
                || outcome == AttemptOutcome.NO_STATE) {
            letGo(generation);
        }
        if (!generation.finished
                && !generation.responseStarted
                && !generation.waiting
                && generation.attemptsInFlight == 0
                && host.nowMs() >= generation.nextAttemptMs) {
            advance(generation);
        }
        admitWaiting();
    }

    /**
     * An attempt was not sent, and nothing is known against its engine. Guards against: where this
     * machine can't open a connection for a moment, a generation tried again at once would use up
     * its attempts within a millisecond and be given up.
     */
    private void pause(Generation generation) {
        double ms = NOT_SENT_MS * Math.pow(2, generation.attemptsNotSent);
        generation.attemptsNotSent++;
        generation.nextAttemptMs = host.nowMs() + Math.min(NOT_SENT_MOST_MS, ms);
    }

    /**
     * The state that an attempt is to fetch has been released, since nothing was heard of the
     * attempt in time. In its engine's queue it goes on; moved to another writer, or sent again, it
     * would find no state.
     */
    public void stateReleased(Attempt attempt) {
        Generation generation = attempt.generation;
        if (attempt.inFlight
                && !attempt.cancelled
                && !generation.finished
                && !generation.responseStarted) {
            generation.state = null;
            generation.stateReleased = true;
        }
    }

    public void clientDisconnected(Generation generation) {
        generation.finished = true;
        generation.waiting = false;
        letGo(generation);
    }

    public void loadProbed(Engine engine, boolean answered, LoadReport report) {
        if (answered) {
            heard(engine, report);
        } else {
            blame(engine);
        }
        admitWaiting();
    }

    public void endpointsChanged(List<EndpointUpdate> entries, boolean complete) {
        fleet.apply(entries, complete, host.nowMs());
        admitWaiting();
    }

    public void endpointWatchFailed() {
        askAtMs = host.nowMs() + FOLLOW_AGAIN_MS * (1 + random.nextDouble());
        setWake();
    }

    public void wakeUp() {
        wakeSet = false;
        double now = host.nowMs();
        if (now >= askAtMs) {
            askAtMs = Double.POSITIVE_INFINITY;
            host.watchEndpoints();
        }
        open.removeIf(generation -> generation.finished && generation.attemptsInFlight == 0);
        try {
            for (int i = 0; i < open.size(); i++) {
                look(open.get(i), now);
            }
            admitWaiting();
        } finally {
            // Guards against: without it a fault at one generation would end the regular look at
            // all
            // others.
            setWake();
        }
    }

    // ------------------------------------------------------------------ the ordinary path

    /**
     * Takes a generation with no attempt out one step on: to a reader, a writer, the wait or its
     * end.
     */
    private void advance(Generation generation) {
        double now = host.nowMs();
        // Guards against: a generation that waits twice is sent twice, and the second send drops
        // its state.
        generation.waiting = false;
        if (now >= generation.deadlineMs - ANSWER_EARLY_MS) {
            giveUp(generation, GiveUpReason.TIME_UP);
            return;
        }
        if (generation.state != null && generation.state.isLost()) {
            letGo(generation);
        }
        if (generation.state == null) {
            if (generation.attemptsSent() + 2 > maxAttempts) {
                giveUp(generation, GiveUpReason.ATTEMPTS_USED);
                return;
            }
            Engine reader =
                    !isAsking(generation) && roomAnywhere(generation)
                            ? pickReader(generation)
                            : null;
            if (reader == null) {
                generation.waiting = true;
                generation.leastReadTokens =
                        readers.stream()
                                .mapToDouble(e -> readTokens(generation, e))
                                .min()
                                .orElse(0);
                return;
            }
            sendRead(generation, reader);
        } else {
            Engine writer = generation.attemptsSent() < maxAttempts ? pickWriter(generation) : null;
            if (writer == null) {
                giveUp(
                        generation,
                        generation.attemptsSent() < maxAttempts
                                ? GiveUpReason.NO_WRITER
                                : GiveUpReason.ATTEMPTS_USED);
                return;
            }
            sendWrite(generation, writer);
        }
    }

    private Engine pickReader(Generation generation) {
        double now = host.nowMs();
        List<Engine> fit = fit(readers, generation);
        List<Engine> some = homes(generation);
        some.retainAll(fit);
        Engine last = generation.session == null ? null : generation.session.lastReader();
        if (last == null || !fit.contains(last)) {
            last = some.isEmpty() ? null : some.get(0);
        } else if (!some.contains(last)) {
            some.add(last);
        }
        if (last != null && backlogMs(last, now) <= ALPHA_MS && !movesLate(last, now)) {
            return last;
        }
        // Deviation from the paper: only homes read, while any is fit. Guards against: text read
        // anew elsewhere doubles
        // the work and
        // drives other texts out, until every read is long. Where no reader is short, an engine
        // that reads
        // for itself takes prompt and answer.
        some = some.isEmpty() ? fit : some;
        boolean late = some.stream().anyMatch(e -> movesLate(e, now));
        double mean = writers.stream().mapToDouble(e -> streams(e) / e.units).average().orElse(0);
        for (Engine engine : fit(writers, generation)) {
            if ((engine.role == Role.BOTH || writersRead)
                    && hasRoom(engine, generation)
                    && backlogMs(engine, now) <= ALPHA_MS
                    && streams(engine)
                            <= (late ? SELF_READ_LATE_STREAMS : SELF_READ_STREAMS)
                                    * mean
                                    * engine.units) {
                some.add(engine);
            }
        }
        // Guards against: fronts that go by one late report all stop and start at once; each
        // generation has
        // its own
        // beta. A client's retry, which comes too late for full revenue, goes to short readers
        // only.
        double beta =
                ALPHA_MS
                        + (generation.clientRetry ? 0 : generation.randomShare)
                                * (BETA_MS - ALPHA_MS);
        Engine best = null;
        double bestTokens = 0;
        int bestPlace = 0;
        for (Engine engine : some) {
            double backlog = backlogMs(engine, now);
            boolean near = engine.zone.equals(zone);
            int place =
                    engine.role != Role.READER
                            ? late ? 1 : near ? 2 : 3
                            : backlog > ALPHA_MS || movesLate(engine, now) ? 2 : near ? 0 : 1;
            double unread = readTokens(generation, engine);
            double tokens = unreadTokens(engine, now) + unread;
            double dueMs = now + backlog + unread * msPerToken(engine, now) + beginMs;
            if (backlog <= beta
                    && (generation.clientRetry || dueMs < generation.sloDeadlineMs())
                    && (best == null
                            || place < bestPlace
                            || (place == bestPlace && tokens < bestTokens))) {
                best = engine;
                bestTokens = tokens;
                bestPlace = place;
            }
        }
        // Deviation from the paper: a last reader that is not short still wins where reading all
        // anew takes more
        // tokens.
        boolean stays =
                best != null
                        && last != null
                        && backlogMs(last, now) <= beta
                        && unreadTokens(last, now) + readTokens(generation, last) < bestTokens;
        return stays ? last : best;
    }

    private Engine pickWriter(Generation generation) {
        List<Engine> fit = fit(writers, generation);
        // Equals are told apart by chance. Without reports most writers look alike to a front that
        // sees little, and
        // all fronts together would take the first of the list.
        Collections.shuffle(fit, random);
        List<Engine> roomy = new ArrayList<>(fit);
        roomy.removeIf(e -> !hasRoom(e, generation));
        if (roomy.isEmpty()) {
            return fewestTokens(fit);
        }
        double room = roomy.stream().mapToDouble(this::roomTokens).sum();
        double tokens = roomy.stream().mapToDouble(this::heldTokens).sum();
        double units = roomy.stream().mapToDouble(e -> e.units).sum();
        double awaiting = awaitingTokens + genTokens(generation);
        double z = Z_MARGIN * ((room < awaiting ? room : awaiting) + tokens) / units;
        // Deviation from the paper: where moves out of the reader's rack are late, its own rack
        // goes beyond Z for
        // a while.
        if (movesLate(generation.state.engine, host.nowMs())) {
            List<Engine> near = new ArrayList<>(roomy);
            near.removeIf(
                    e ->
                            distance(generation.state.engine, e) > 0
                                    || heldTokens(e) / e.units > NEAR_TOKS_FACTOR * z);
            if (!near.isEmpty()) {
                return Collections.min(near, Comparator.comparingDouble(e -> streams(e) / e.units));
            }
        }
        List<Engine> norm = new ArrayList<>(roomy);
        norm.removeIf(e -> heldTokens(e) / e.units > z);
        if (norm.isEmpty()) {
            return fewestTokens(roomy);
        }
        // Deviation from the paper: among those at or under Z with about the fewest streams, the
        // nearest to the
        // state.
        double fewest = norm.stream().mapToDouble(e -> streams(e) / e.units).min().getAsDouble();
        norm.removeIf(e -> streams(e) / e.units > fewest * NEAR_STREAMS_FACTOR + NEAR_STREAMS_MORE);
        return Collections.min(
                norm,
                Comparator.comparingInt((Engine e) -> distance(generation.state.engine, e))
                        .thenComparingDouble(e -> streams(e) / e.units));
    }

    /**
     * Guards against: all states of a rack's readers share its one link; once that is slow or full,
     * each answer waits for seconds while writers in the rack, and engines that can read for
     * themselves, have room.
     */
    private static boolean movesLate(Engine reader, double now) {
        return reader.moves.at(now) > MOVE_LATE_MS;
    }

    private Engine fewestTokens(List<Engine> pool) {
        return pool.stream()
                .min(Comparator.comparingDouble(e -> heldTokens(e) / e.units))
                .orElse(null);
    }

    /**
     * What a move of the read state costs: 0 within the rack, 1 within the zone, 2 across zones.
     */
    private static int distance(Engine reader, Engine writer) {
        return !reader.zone.equals(writer.zone) ? 2 : reader.rack != writer.rack ? 1 : 0;
    }

    // ------------------------------------------------------------------ waiting and giving up

    /**
     * Guards against: first come, first served under shortage serves everyone just too late. The
     * most revenue for its work goes first, the newest first among equals, and what can no longer
     * make its SLO time is given up.
     */
    private void admitWaiting() {
        List<Generation> order = new ArrayList<>(open);
        order.removeIf(g -> !g.waiting);
        order.sort(
                Comparator.comparingDouble(
                                (Generation g) ->
                                        g.trafficClass.revenue
                                                * (g.clientRetry ? g.trafficClass.lateRevenue : 1))
                        .thenComparingDouble(g -> g.arrivedMs)
                        .reversed());
        double now = host.nowMs();
        double perToken = msPerToken(null, now);
        int tried = 0;
        for (Generation generation : order) {
            boolean late =
                    now + generation.leastReadTokens * perToken + beginMs
                            > generation.sloDeadlineMs();
            if (late
                    && now > triedMs + TRY_MS
                    && open.stream().allMatch(g -> g.attemptsInFlight == 0)) {
                // Guards against: once all was slow, all is given up, and nothing is sent that
                // could show
                // that it no
                // longer is: everyone would be turned away. With nothing out, what is known is
                // void.
                triedMs = now;
                beginMs = Math.min(beginMs, BEGIN_FIRST_MS);
                speeds.clear();
                perToken = msPerToken(null, now);
                late = false;
            }
            if (late) {
                giveUp(generation, GiveUpReason.TOO_LATE);
            } else if (tried++ < MOST_TRIED) {
                // Guards against: thousands that wait, all tried whenever an attempt ends, keep the
                // loop
                // busy.
                advance(generation);
            }
        }
    }

    private void giveUp(Generation generation, GiveUpReason reason) {
        generation.giveUpReason = reason;
        cancelOthers(generation, null);
        clientDisconnected(generation);
        // Rule 2: throttled says that trying again is harmless.
        if (generation.trafficClass.effect == Effect.IDEMPOTENT
                || (generation.trafficClass.effect == Effect.DEDUPLICATED
                        && generation.trafficClass.deduplicationScope == DeduplicationScope.ALL)
                || generation.attempts.stream().noneMatch(Attempt::mayHaveRun)) {
            host.reject(
                    generation,
                    comeBackMaxMs <= 0 ? 0 : comeBackMaxMs * (0.3 + 0.7 * random.nextDouble()));
        } else {
            host.fail(generation);
        }
    }

    /**
     * Guards against: a release frees nothing that an attempt still out may take; it is said again
     * after that.
     */
    private void letGo(Generation generation) {
        if (generation.mayHoldState) {
            generation.mayHoldState = generation.attemptsInFlight > 0;
            host.releaseState(generation);
        }
        generation.state = null;
    }

    // ------------------------------------------------------------------ attempts

    private void sendRead(Generation generation, Engine reader) {
        double now = host.nowMs();
        double unread = readTokens(generation, reader);
        boolean alone = reader.role != Role.READER;
        Attempt attempt =
                new Attempt(
                        generation,
                        reader,
                        !alone,
                        now,
                        alone ? genTokens(generation) : unread,
                        unread);
        double dueMs = (unreadTokens(reader, now) + unread) * msPerToken(reader, now);
        attempt.silenceTimeoutMs =
                (alone ? OVERDUE_WRITE_MS : OVERDUE_READ_MS) + OVERDUE_FACTOR * dueMs;
        // Guards against: a read whose answer is lost leaves a state that no outcome tells of.
        generation.mayHoldState = true;
        awaitingTokens += alone ? 0 : genTokens(generation);
        if (generation.session != null) {
            generation.session.recordSent(reader, generation.promptTokens, now);
        }
        if (generation.prefix != null) {
            generation.prefix.recordSent(reader, generation.sharedTokens, now);
        }
        send(attempt);
        for (int i = 0; i < WRITERS_ASKED && !alone && !writers.isEmpty(); i++) {
            ask(writers.get(random.nextInt(writers.size())));
        }
    }

    /**
     * Whether the readers that would come first for a generation are still to answer for their
     * load.
     */
    private boolean isAsking(Generation generation) {
        double now = host.nowMs();
        if (now - generation.readersProbedMs > ASK_AGAIN_MS) {
            generation.readersProbedMs = now;
            generation.probedReaders.clear();
            generation.probedReaders.addAll(
                    homes(generation)
                            .subList(0, Math.min(READERS_ASKED, homes(generation).size())));
            generation.probedReaders.forEach(this::ask);
        }
        return mayProbe
                && now < generation.readersProbedMs + ASK_WAIT_MS
                && generation.probedReaders.stream().anyMatch(e -> e.reportMs < e.probedMs);
    }

    /**
     * Guards against: fronts that ask on a clock ask as often as there are fronts; asks that follow
     * generations stay the same few for each, and chance keeps fronts from one common pick.
     */
    private void ask(Engine engine) {
        if (mayProbe && host.nowMs() - Math.max(engine.probedMs, engine.reportMs) > FRESH_MS) {
            engine.probedMs = host.nowMs();
            host.probeLoad(engine);
        }
    }

    private void sendWrite(Generation generation, Engine writer) {
        Attempt attempt =
                new Attempt(generation, writer, false, host.nowMs(), genTokens(generation), 0);
        attempt.silenceTimeoutMs = OVERDUE_WRITE_MS + OVERDUE_FACTOR * beginMs;
        generation.stateReleased = false;
        send(attempt);
    }

    private void send(Attempt attempt) {
        Engine engine = attempt.engine;
        double now = host.nowMs();
        if (!attempt.read) {
            engine.freshTokens.add(now, attempt.countedTokens);
            engine.freshStreams.add(now, 1);
            writesSent.add(now, attempt.countedTokens, 1);
        }
        attempt.open();
        host.send(attempt);
    }

    private void close(Attempt attempt) {
        double tokens = attempt.close() && attempt.read ? genTokens(attempt.generation) : 0;
        awaitingTokens = Math.max(0, awaitingTokens - tokens);
    }

    private void cancelOthers(Generation generation, Attempt kept) {
        for (Attempt attempt : generation.attempts) {
            if (attempt != kept && attempt.inFlight && !attempt.cancelled && mayCancel) {
                attempt.cancelled = true;
                host.cancel(attempt);
            }
        }
    }

    /**
     * The regular look at a generation: its limit, its steps left undone, and the silence of its
     * engine.
     */
    private void look(Generation generation, double now) {
        if (generation.finished || generation.responseStarted) {
            return;
        }
        Attempt newest =
                generation.attempts.isEmpty()
                        ? null
                        : generation.attempts.get(generation.attempts.size() - 1);
        if (generation.state != null
                && newest.inFlight
                && !newest.countedAsLateMove
                && now - newest.sentMs > MOVE_LATE_MS
                && distance(generation.state.engine, newest.engine) > 0) {
            // One that has not begun yet tells sooner than those that have; once, since one may be
            // lost.
            newest.countedAsLateMove = true;
            generation.state.engine.moves.add(now, 2 * MOVE_LATE_MS, 1);
        }
        if (now >= generation.deadlineMs - ANSWER_EARLY_MS) {
            giveUp(generation, GiveUpReason.TIME_UP);
        } else if (generation.attemptsInFlight == 0
                && !generation.waiting
                && now >= generation.nextAttemptMs) {
            advance(generation);
        } else if (generation.attemptsInFlight > 0
                && generation.trafficClass.effect == Effect.IDEMPOTENT
                && mayCancel
                && maySendCopies
                && generation.attemptsSent() + (generation.state == null ? 2 : 1) <= maxAttempts) {
            Attempt attempt = generation.attempts.get(generation.attempts.size() - 1);
            double silentMs = now - Math.max(attempt.engine.heardMs, attempt.sentMs);
            if (attempt.inFlight && !attempt.cancelled && silentMs > attempt.silenceTimeoutMs) {
                overdue(generation, attempt);
            }
        }
    }

    /**
     * Guards against: an engine that takes work and falls silent would keep it until the client
     * leaves. A read gets a second one beside it, since calling off one that only takes long would
     * waste it; an answer that waits for its writer moves only where there is room, or it would
     * queue anew.
     */
    private void overdue(Generation generation, Attempt attempt) {
        blame(attempt.engine);
        Engine other =
                generation.state != null
                        ? pickWriter(generation)
                        : roomAnywhere(generation) ? pickReader(generation) : null;
        if (other != null && other != attempt.engine && generation.state == null) {
            sendRead(generation, other);
        } else if (other != null && other != attempt.engine && hasRoom(other, generation)) {
            cancelOthers(generation, null);
            sendWrite(generation, other);
        }
    }

    // ------------------------------------------------------------------ rules

    private boolean isCold(Engine engine, double now) {
        return engine.startMs > 0 && now < engine.startMs + coldMs;
    }

    /**
     * Rule 4: a chance draw whose mean over all fronts is the part of the budget that a cold engine
     * may get, by what warm peers take. Guards against: one attempt a front is too much where there
     * are many fronts, and an idle new engine looks best to all of them at once; no draw is worth
     * more than the time since the last.
     */
    private boolean coldDraw(Engine engine, double now) {
        boolean reads = engine.role == Role.READER;
        double units =
                (reads ? readers : writers)
                        .stream().filter(e -> !isCold(e, now)).mapToDouble(e -> e.units).sum();
        SlidingWindow taken = reads ? warmReads : warmWrites;
        double spanMs = Math.min(taken.spanMs(), now - bornMs + 1);
        double perMs = taken.sum(now) / spanMs / Math.max(units, engine.units);
        double sinceMs = now - Math.max(engine.drawnMs, engine.startMs);
        engine.drawnMs = now;
        return random.nextDouble() < coldShare * perMs * engine.units * sinceMs;
    }

    // ------------------------------------------------------------------ what is known of engines

    private List<Engine> fit(List<Engine> pool, Generation generation) {
        double now = host.nowMs();
        List<Engine> fit = new ArrayList<>(pool.size());
        boolean anySound = pool.stream().anyMatch(e -> isSound(e, now));
        for (Engine engine : pool) {
            // All suspect = none suspect: doubt must never empty a pool.
            if ((isSound(engine, now) || !anySound)
                    && IdempotencyRule.mayAttempt(generation, engine, now, maySendCopies)
                    && (!isCold(engine, now) || coldDraw(engine, now))) {
                fit.add(engine);
            }
        }
        return fit;
    }

    private boolean isSound(Engine engine, double now) {
        // Guards against: a home that has just turned a read away would be asked again until no
        // attempt is
        // left.
        return now >= engine.suspectUntilMs
                && (!engine.onTrial || engine.attempts.isEmpty())
                && (engine.role != Role.READER || now >= engine.fullUntilMs);
    }

    /**
     * Guards against: an engine that errs at once is always idle and would draw one attempt after
     * another, until its generations have used up their attempts; that it still answers, probes
     * too, must not clear it.
     */
    private static void answered(Engine engine, boolean erred) {
        engine.errorShare += ERROR_WEIGHT * ((erred ? 1 : 0) - engine.errorShare);
    }

    private void heard(Engine engine, LoadReport report) {
        double now = host.nowMs();
        engine.heardMs = now;
        if (engine.errorShare < ERRORS_MOST) {
            engine.suspectUntilMs = 0;
            engine.suspectForMs = 0;
            engine.onTrial = false;
        }
        if (report == null) {
            return;
        }
        double kept = REPORT_KEPT * Math.exp((engine.reportMs - now) / WRITE_REPORT_MS);
        engine.reports = true;
        engine.reportMs = now;
        if (engine.role == Role.READER) {
            // Reports count whole prompts, also what is kept of them, but not what is left while
            // being read.
            double halfRead = orZero(report.inflight() - orZero(report.queue())) * BEING_READ;
            double unread =
                    orZero(report.pendingTokens()) * unreadParts.at(now)
                            + halfRead * unreadSizes.at(now);
            engine.othersUnreadTokens = Math.max(0, unread - engine.unreadTokens);
            toldUnread.add(now, engine.othersUnreadTokens, 1);
            return;
        }
        engine.othersUnreadTokens =
                Math.max(0, orZero(report.pendingTokens()) - engine.unreadTokens);
        engine.toldStreams = Math.max(0, engine.streams - engine.freshStreams.sum(now));
        double own = Math.max(0, engine.writeTokens - engine.freshTokens.sum(now));
        // Guards against: a full writer's memory share says nothing of the states that queue for
        // it.
        double tokens =
                orZero(
                        report.memoryShare() * engine.memoryTokens
                                + orZero(report.pendingTokens())
                                - own);
        double streams = orZero(report.inflight() - engine.toldStreams);
        engine.othersTokens += (1 - kept) * (Math.max(0, tokens) - engine.othersTokens);
        engine.othersStreams += (1 - kept) * (Math.max(0, streams) - engine.othersStreams);
        toldTokens.add(now, engine.othersTokens, engine.units);
        toldStreams.add(now, engine.othersStreams, engine.units);
    }

    private void blame(Engine engine) {
        double now = host.nowMs();
        if (now >= engine.suspectUntilMs) {
            double forMs = Math.max(SUSPECT_FIRST_MS, 2 * engine.suspectForMs);
            engine.suspectForMs = Math.min(SUSPECT_MOST_MS, forMs);
            engine.suspectUntilMs = now + engine.suspectForMs * (0.75 + 0.5 * random.nextDouble());
            engine.onTrial = true;
            host.log(
                    "engine "
                            + engine.label
                            + " suspect for "
                            + Math.round(engine.suspectForMs)
                            + " ms");
        }
    }

    /** Own unread tokens in time; never less than how long the engine has been silent over them. */
    private double backlogMs(Engine engine, double now) {
        double since = engine.unreadSinceMs();
        double silent = Double.isNaN(since) ? 0 : now - Math.max(engine.heardMs, since);
        return Math.max(unreadTokens(engine, now) * msPerToken(engine, now), silent);
    }

    /**
     * Own unread tokens there and, by a fresh report, the others'; a front's own sends are but a
     * sliver.
     */
    private double unreadTokens(Engine engine, double now) {
        double weight = Math.exp((engine.reportMs - now) / READ_REPORT_MS);
        return engine.unreadTokens
                + weight * engine.othersUnreadTokens
                + (engine.role == Role.READER ? (1 - weight) * toldUnread.at(now) : 0);
    }

    /** By the best of late, which no queue has slowed: a mean would count others' prompts twice. */
    private double msPerToken(Engine engine, double now) {
        double speed =
                engine != null && engine.reads.sum(now) >= OWN_READS
                        ? engine.speeds.max(now)
                        : speeds.max(now);
        return 1 / (speed > 0 ? speed : UNHEARD_TOKS_PER_MS);
    }

    private double readTokens(Generation generation, Engine reader) {
        int kept =
                Math.max(
                        generation.prefix == null
                                ? 0
                                : Math.min(
                                        generation.prefix.tokensAt(reader),
                                        generation.sharedTokens),
                        generation.session == null
                                ? 0
                                : Math.min(
                                        generation.session.tokensAt(reader),
                                        generation.promptTokens));
        List<Engine> homes = homes(generation);
        if (homes.contains(reader)) {
            kept =
                    Math.max(
                            kept,
                            reader == homes.get(0)
                                    ? (int) (homesKept.at(host.nowMs()) * generation.promptTokens)
                                    : generation.sharedTokens);
        }
        return Math.max(generation.promptTokens - kept, LEAST_READ_TOKS);
    }

    /**
     * The readers that the hashes of prefix and session name, alike at all fronts, so that others
     * will have sent the texts there: a prefix has a few homes in each zone, a session prefers one
     * of them.
     */
    private List<Engine> homes(Generation generation) {
        CachedPrefix first = generation.prefix != null ? generation.prefix : generation.session;
        if (generation.affinityRevision != fleet.revision && first != null) {
            generation.affinityRevision = fleet.revision;
            generation.affinityReaders.clear();
            List<Engine> order = new ArrayList<>(readers);
            order.sort(Comparator.comparingLong(first::affinity).reversed());
            for (Engine reader : order) {
                if (generation.affinityReaders.stream()
                                .filter(e -> e.zone.equals(reader.zone))
                                .count()
                        < HOMES) {
                    generation.affinityReaders.add(reader);
                }
            }
            CachedPrefix text = generation.session != null ? generation.session : first;
            generation.affinityReaders.sort(
                    Comparator.comparing((Engine e) -> !e.zone.equals(zone))
                            .thenComparing(Comparator.comparingLong(text::affinity).reversed()));
        }
        return new ArrayList<>(generation.affinityReaders);
    }

    /** Tokens held there as far as is known. */
    private double heldTokens(Engine engine) {
        double now = host.nowMs();
        return present(
                engine, engine.writeTokens, engine.othersTokens, toldTokens, writesSent.at(now));
    }

    private double streams(Engine engine) {
        return present(engine, engine.streams, engine.othersStreams, toldStreams, 1);
    }

    /**
     * A load as it may be now: the own part, the others' by a report that fades into what writers
     * usually tell, and the others' sends since. Guards against: each own send counted as one of
     * every front makes one send outweigh all reports; the more fronts there are, the less a
     * front's own few sends tell of the others.
     */
    private double present(
            Engine engine, double own, double others, SlidingWindowMean told, double each) {
        double now = host.nowMs();
        double weight = Math.exp((engine.reportMs - now) / WRITE_REPORT_MS);
        double usual = told.at(now) * engine.units;
        double sinceMs = Math.min(now - engine.reportMs, WRITE_REPORT_MS);
        double share = writesSent.weight(now) / writesSent.spanMs() * sinceMs / writers.size();
        double since = Math.max(0, engine.streams - engine.toldStreams);
        double more = (fronts - 1) * share * (since - share) / (LIKE_OTHERS + share);
        return own + Math.max(0, weight * others + (1 - weight) * usual + more * each);
    }

    /** Room for this one beside all that this front has being read. */
    private boolean roomAnywhere(Generation generation) {
        double room =
                writers.stream()
                        .filter(e -> hasRoom(e, generation))
                        .mapToDouble(this::roomTokens)
                        .sum();
        return writers.isEmpty() || !(room < awaitingTokens + genTokens(generation));
    }

    private boolean hasRoom(Engine engine, Generation generation) {
        return host.nowMs() >= engine.fullUntilMs && !(roomTokens(engine) < genTokens(generation));
    }

    /** NaN where the memory is not known. */
    private double roomTokens(Engine engine) {
        return engine.memoryTokens - heldTokens(engine);
    }

    private static double genTokens(Generation generation) {
        double out =
                Double.isNaN(generation.hintTokens)
                        ? EXPECTED_SHARE_OF_MAX * generation.maxTokens
                        : generation.hintTokens;
        return generation.promptTokens + out;
    }

    private static double orZero(double value) {
        return Double.isNaN(value) ? 0 : value;
    }

    private void setWake() {
        if (!wakeSet && (!open.isEmpty() || askAtMs < Double.POSITIVE_INFINITY)) {
            wakeSet = true;
            host.wakeAt(host.nowMs() + SWEEP_MS);
        }
    }
}
