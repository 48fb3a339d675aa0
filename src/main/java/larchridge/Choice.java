package larchridge;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Random;
import larchridge.state.Effect;
import larchridge.state.Engine;
import larchridge.state.Gen;
import larchridge.state.Leg;
import larchridge.state.Listing;
import larchridge.state.Mode;
import larchridge.state.Outcome;
import larchridge.state.Report;
import larchridge.state.Ring;
import larchridge.state.Role;
import larchridge.state.Span;
import larchridge.state.Terms;
import larchridge.state.Text;

/**
 * Every decision of one front: which reader reads a prompt, which writer writes its answer, and what to do
 * when either fails. Callers make one instance a front and call the public methods below, one for each thing
 * that can happen; the module acts by calling {@link Host}, the only interface that it knows. What it
 * remembers sits in the plain holders of {@code larchridge.state}. {@link #advance} is the ordinary path of a
 * generation; {@code docs/design.md} tells where the rules come from. Times are in milliseconds.
 */
public final class Choice {
    // The mechanism: thresholds of a reader's backlog, margin of the writers' mean, stand-in for the answer.
    private static final double ALPHA_MS = 250;
    private static final double BETA_MS = 500;
    private static final double Z_MARGIN = 1.05;
    private static final double EXPECTED_SHARE_OF_MAX = 0.5;
    private static final double SELF_READ_SHARE = 0.6;
    private static final double LEAST_READ_TOKS = 32;
    private static final double FULL_MS = 2000;
    private static final double FULL_WITH_REPORTS_MS = 300;
    private static final double USABLE_MEMORY = 1.0;
    private static final double NEAR_STREAMS_FACTOR = 1.3;
    private static final double NEAR_STREAMS_MORE = 2;
    // Speed before any engine was heard, and the least that is needed to believe one engine's own.
    private static final double UNHEARD_MS_PER_TOK = 0.08;
    private static final double BELIEVED_TOKS = 3000;
    // Health.
    private static final double OVERDUE_READ_MS = 400;
    private static final double OVERDUE_WRITE_MS = 700;
    private static final double OVERDUE_FACTOR = 3;
    private static final double SUSPECT_FIRST_MS = 500;
    private static final double SUSPECT_MOST_MS = 4000;
    // Cold engines: the part of the stated budget that is used.
    private static final double COLD_PART = 0.5;
    private static final double SWEEP_MS = 20;
    // How many writers a read asks for their load, and how old a report may be before one is asked again.
    private static final int WRITERS_ASKED = 3;
    private static final double FRESH_MS = 300;
    private static final double READ_REPORT_MS = 500;
    private static final double REPORT_WEIGHT = 0.5;
    private static final double ASK_AGAIN_MS = 500;
    private static final double ANSWER_EARLY_MS = 30;
    private static final double MEMORY_PART = 0.8;
    private static final double TEXT_KEPT_MS = 300_000;

    private final Host host;
    private final Random random;
    private final int fronts;
    private final String zone;
    private final double overShareRevenue;
    private final int maxLegs;
    private final boolean mayCancel;
    private final boolean maySendCopies;
    private final boolean writersRead;
    private final boolean mayProbe;
    private final double comeBackMaxMs;
    private final double coldMs;
    private final double coldShare;
    private final double bornMs;

    private final List<Engine> engines = new ArrayList<>();
    private final List<Engine> readers = new ArrayList<>();
    private final List<Engine> writers = new ArrayList<>();
    private final List<Gen> open = new ArrayList<>();
    private final List<Gen> waiting = new ArrayList<>();
    private final LinkedHashSet<Text> texts = new LinkedHashSet<>();
    /** Tokens of generations that are being read and have no writer yet. */
    private double awaitingToks;
    private boolean wakeSet;
    private double askAtMs = Double.POSITIVE_INFINITY;
    private double beginMs = 100;
    /** Reads and answers that warm engines took of late. */
    private final Ring warmReads = new Ring(30, 1000);
    private final Ring warmWrites = new Ring(30, 1000);

    public Choice(Terms terms, Host host) {
        this.host = host;
        random = new Random(terms.seed);
        fronts = terms.fronts;
        zone = terms.zone;
        overShareRevenue = terms.overShareRevenue;
        maxLegs = terms.maxLegs;
        mayCancel = terms.mayCancel;
        maySendCopies = terms.maySendCopies;
        writersRead = terms.writersRead;
        mayProbe = terms.reportsWithProbes && terms.mayProbe;
        comeBackMaxMs = terms.comeBackMaxMs;
        coldMs = terms.coldMs;
        coldShare = terms.coldShare * terms.tipMultiple * COLD_PART;
        bornMs = host.now();
        if (terms.listIsAsked) {
            host.followList();
        }
    }

    // ------------------------------------------------------------------ what can happen

    public void arrived(Gen gen) {
        open.add(gen);
        if (gen.account != null) {
            double share = gen.account.quotaPerSecond / fronts * gen.account.inShare.spanMs() / 1000;
            gen.overShare = gen.account.inShare.sum(host.now()) >= share;
            if (!gen.overShare) {
                gen.account.inShare.add(host.now(), 1);
            }
        }
        touch(gen.session);
        touch(gen.prefix);
        // Danger: a client's retry looks like fresh work, though its SLO time runs from the first try.
        if (gen.session != null && gen.session.askedToks == gen.promptToks) {
            gen.firstTryMs = gen.session.firstTryMs;
        } else if (gen.session != null) {
            gen.session.askedToks = gen.promptToks;
            gen.session.firstTryMs = gen.firstTryMs;
        }
        advance(gen);
        setWake();
    }

    public void readDone(Leg leg, int keptToks, Report report, boolean over) {
        Gen gen = leg.gen;
        heard(leg.engine, report);
        leg.engine.readToks.add(host.now(), Math.max(gen.promptToks - keptToks, LEAST_READ_TOKS));
        if (!isCold(leg.engine, host.now())) {
            warmReads.add(host.now(), 1);
        }
        close(leg);
        gen.over |= over;
        if (gen.state == null) {
            gen.state = leg;
        }
        if (gen.over || gen.begun || gen.isAtWriter()) {
            // Danger: a read that ends after its generation would leave its state pinned.
            letGo(gen);
        } else {
            cancelOthers(gen, leg);
            advance(gen);
        }
        admitWaiting();
    }

    public void begun(Leg leg) {
        Gen gen = leg.gen;
        heard(leg.engine, null);
        if (leg.unreadToks > 0) {
            leg.engine.readToks.add(host.now(), leg.unreadToks);
            leg.markRead(host.now());
        }
        gen.begun = true;
        gen.state = null;
        if (!isCold(leg.engine, host.now())) {
            warmWrites.add(host.now(), 1);
        }
        beginMs += 0.05 * (host.now() - leg.sentMs - beginMs);
        cancelOthers(gen, leg);
    }

    public void ended(Leg leg, Outcome outcome, Report report, boolean over) {
        Gen gen = leg.gen;
        Engine engine = leg.engine;
        leg.outcome = outcome;
        close(leg);
        gen.over |= over;
        switch (outcome) {
            case STREAMED, FAULT, NO_STATE -> heard(engine, report);
            case FULL -> {
                heard(engine, report);
                engine.fullUntilMs = host.now() + (engine.reports ? FULL_WITH_REPORTS_MS : FULL_MS);
            }
            case UNREACHABLE, CUT -> blame(engine);
            default -> { }
        }
        if (gen.over || outcome == Outcome.NO_STATE) {
            letGo(gen);
        }
        if (!gen.over && !gen.begun && !gen.waiting && gen.legsOut == 0) {
            advance(gen);
        }
        admitWaiting();
    }

    public void departed(Gen gen) {
        gen.over = true;
        leaveWait(gen);
        letGo(gen);
    }

    public void probed(Engine engine, boolean answered, Report report) {
        if (answered) {
            heard(engine, report);
        } else {
            blame(engine);
        }
    }

    /** A complete list counts as news of the end of every engine that it lacks. */
    public void listed(List<Listing> entries, boolean complete) {
        if (complete) {
            for (Engine engine : engines) {
                engine.mode = Mode.GONE;
            }
        }
        for (Listing entry : entries) {
            Engine engine = entry.engine();
            if (!engines.contains(engine)) {
                engines.add(engine);
            }
            if (entry.mode() == Mode.GONE) {
                engine.mode = Mode.GONE;
            } else {
                // Danger: a new process under an old id keeps nothing of what the old one was known for.
                if (engine.startMs != entry.startMs()) {
                    engine.forgetProcess(host.now());
                }
                engine.take(entry);
                engine.otherFronts = fronts - 1;
            }
        }
        engines.removeIf(e -> e.mode == Mode.GONE && e.legs.isEmpty());
        engines.sort(Comparator.comparingLong(e -> e.label));
        readers.clear();
        writers.clear();
        for (Engine engine : engines) {
            if (engine.mode == Mode.READY) {
                (engine.role == Role.READER ? readers : writers).add(engine);
            }
        }
        admitWaiting();
    }

    public void listFailed() {
        askAtMs = host.now() + ASK_AGAIN_MS * (1 + random.nextDouble());
        setWake();
    }

    public void woken() {
        wakeSet = false;
        double now = host.now();
        if (now >= askAtMs) {
            askAtMs = Double.POSITIVE_INFINITY;
            host.followList();
        }
        open.removeIf(gen -> gen.over && gen.legsOut == 0);
        for (int i = 0; i < open.size(); i++) {
            Gen gen = open.get(i);
            if (!gen.over && !gen.begun) {
                look(gen, now);
            }
        }
        admitWaiting();
        while (!texts.isEmpty() && texts.iterator().next().usedMs < now - TEXT_KEPT_MS) {
            Text old = texts.iterator().next();
            texts.remove(old);
            host.forget(old);
        }
        setWake();
    }

    // ------------------------------------------------------------------ the ordinary path

    /** Takes a generation with no leg out one step on: to a reader, a writer, the wait or its end. */
    private void advance(Gen gen) {
        double now = host.now();
        // Danger: a generation that waits twice is sent twice, and the second send drops its state.
        leaveWait(gen);
        if (now >= gen.limitMs - ANSWER_EARLY_MS) {
            giveUp(gen);
            return;
        }
        if (gen.state != null && (gen.state.engine.mode == Mode.GONE
                || gen.state.engine.startMs != gen.state.engineStartMs)) {
            letGo(gen);
        }
        if (gen.state == null) {
            if (gen.legs.size() + 2 > maxLegs) {
                giveUp(gen);
                return;
            }
            Engine reader = roomAnywhere(gen) ? pickReader(gen) : null;
            if (reader == null) {
                await(gen);
                return;
            }
            sendRead(gen, reader);
        } else {
            Engine writer = gen.legs.size() < maxLegs ? pickWriter(gen) : null;
            if (writer == null) {
                giveUp(gen);
                return;
            }
            sendWrite(gen, writer);
        }
    }

    private Engine pickReader(Gen gen) {
        double now = host.now();
        List<Engine> all = fit(readers, gen);
        List<Engine> fit = all;
        Engine last = gen.session == null ? null : gen.session.keeper();
        if (last != null && fit.contains(last) && backlogMs(last, now) <= ALPHA_MS) {
            return last;
        }
        // Departure: short readers of the own zone come before the others, which cost a crossing.
        List<Engine> near = new ArrayList<>(fit);
        near.removeIf(e -> !e.zone.equals(zone) || backlogMs(e, now) > ALPHA_MS);
        if (!near.isEmpty()) {
            fit = near;
        }
        if (gen.prefix != null && !fit.isEmpty()) {
            Engine hashed = Collections.max(fit, Comparator.comparingLong(gen.prefix::affinity));
            if (backlogMs(hashed, now) <= ALPHA_MS) {
                return hashed;
            }
        }
        Engine best = null;
        double bestToks = 0;
        boolean bestShort = false;
        for (Engine engine : fit) {
            double backlog = backlogMs(engine, now);
            boolean isShort = backlog <= ALPHA_MS;
            // Others' prompts count for the choice while their report is fresh.
            double others = now - engine.heardMs < READ_REPORT_MS ? engine.othersUnreadToks : 0;
            double toks = engine.unreadToks + others + readToks(gen, engine);
            if (backlog <= BETA_MS && (best == null || isShort && !bestShort
                    || isShort == bestShort && toks < bestToks)) {
                best = engine;
                bestToks = toks;
                bestShort = isShort;
            }
        }
        // Departure: a last reader that is not short still wins where reading all anew takes more tokens,
        // and is waited for while overloaded. Danger: text read anew elsewhere doubles the work under load.
        if (last != null && all.contains(last)
                && (best == null || last.unreadToks + readToks(gen, last) < bestToks)) {
            return backlogMs(last, now) <= BETA_MS ? last : null;
        }
        // Departure: every reader is overloaded or away; one that reads for itself takes prompt and answer.
        return best != null ? best : pickSelfReader(gen);
    }

    private Engine pickWriter(Gen gen) {
        List<Engine> fit = fit(writers, gen);
        List<Engine> roomy = new ArrayList<>();
        double room = 0;
        double toks = 0;
        double units = 0;
        for (Engine engine : fit) {
            if (hasRoom(engine, gen)) {
                roomy.add(engine);
                room += Math.max(0, roomToks(engine));
                toks += engine.heldToks();
                units += engine.units;
            }
        }
        if (roomy.isEmpty()) {
            return fewestToks(fit);
        }
        double z = Z_MARGIN * (Math.min(awaitingToks + genToks(gen), room) + toks) / units;
        List<Engine> norm = new ArrayList<>(roomy);
        norm.removeIf(e -> e.toksPerUnit() > z);
        if (norm.isEmpty()) {
            return fewestToks(roomy);
        }
        // Departure: among those at or under Z with about the fewest streams, the nearest to the state.
        double fewest = norm.stream().mapToDouble(Engine::streamsPerUnit).min().getAsDouble();
        norm.removeIf(e -> e.streamsPerUnit() > fewest * NEAR_STREAMS_FACTOR + NEAR_STREAMS_MORE);
        return Collections.min(norm, Comparator.comparingInt((Engine e) -> distance(gen.state.engine, e))
                .thenComparingDouble(Engine::streamsPerUnit));
    }

    private static Engine fewestToks(List<Engine> pool) {
        return pool.stream().min(Comparator.comparingDouble(Engine::toksPerUnit)).orElse(null);
    }

    /** What a move of the read state costs: 0 within the rack, 1 within the zone, 2 across zones. */
    private static int distance(Engine reader, Engine writer) {
        return !reader.zone.equals(writer.zone) ? 2 : reader.rack != writer.rack ? 1 : 0;
    }

    private Engine pickSelfReader(Gen gen) {
        List<Engine> fit = fit(writers, gen);
        fit.removeIf(e -> e.role != Role.BOTH && !writersRead || !hasRoom(e, gen) || e.unreadToks > 0
                || e.busyMs.sum(host.now()) > SELF_READ_SHARE / fronts * e.busyMs.spanMs());
        return fewestToks(fit);
    }

    // ------------------------------------------------------------------ waiting and giving up

    private void await(Gen gen) {
        gen.waiting = true;
        waiting.add(gen);
        gen.leastReadToks = gen.promptToks;
        for (Engine reader : readers) {
            gen.leastReadToks = Math.min(gen.leastReadToks, readToks(gen, reader));
        }
    }

    /**
     * Danger: first come, first served under shortage serves everyone just too late. The most revenue for its
     * work goes first, the newest first among equals, and what can no longer make its SLO time is given up.
     */
    private void admitWaiting() {
        List<Gen> order = new ArrayList<>(waiting);
        order.sort(Comparator.comparingDouble(this::rank).thenComparingDouble(g -> g.arrivedMs).reversed());
        for (Gen gen : order) {
            if (isHopeless(gen, host.now())) {
                giveUp(gen);
            } else {
                advance(gen);
            }
        }
    }

    private void leaveWait(Gen gen) {
        if (gen.waiting) {
            gen.waiting = false;
            waiting.remove(gen);
        }
    }

    private double rank(Gen gen) {
        return gen.product.revenue * (gen.overShare ? overShareRevenue : 1)
                * (gen.resent ? gen.product.lateRevenue : 1);
    }

    private boolean isHopeless(Gen gen, double now) {
        return now + gen.leastReadToks * msPerTok(null, now) + beginMs > gen.sloAtMs();
    }

    private void giveUp(Gen gen) {
        cancelOthers(gen, null);
        departed(gen);
        if (mayThrottle(gen)) {
            host.throttle(gen, comeBackMaxMs <= 0 ? 0 : comeBackMaxMs * (0.3 + 0.7 * random.nextDouble()));
        } else {
            host.terminate(gen);
        }
    }

    private void letGo(Gen gen) {
        if (gen.state != null) {
            gen.state = null;
            host.release(gen);
        }
    }

    // ------------------------------------------------------------------ legs

    private void sendRead(Gen gen, Engine reader) {
        double now = host.now();
        double unread = readToks(gen, reader);
        boolean alone = reader.role != Role.READER;
        Leg leg = new Leg(gen, reader, !alone, now, alone ? genToks(gen) : unread, unread);
        awaitingToks += alone ? 0 : genToks(gen);
        double dueMs = (reader.unreadToks + unread) * msPerTok(reader, now);
        leg.patienceMs = (alone ? OVERDUE_WRITE_MS : OVERDUE_READ_MS) + OVERDUE_FACTOR * dueMs;
        if (gen.session != null) {
            gen.session.sentTo(reader, gen.promptToks, now);
        }
        if (gen.prefix != null) {
            gen.prefix.sentTo(reader, gen.sharedToks, now);
        }
        send(leg);
        if (!alone) {
            ask(writers, WRITERS_ASKED);
        }
    }

    /**
     * Asks a few engines for their load. Danger: fronts that ask on a clock ask as often as there are fronts;
     * asks that follow generations stay the same few for each, and chance keeps fronts from one common pick.
     */
    private void ask(List<Engine> pool, int most) {
        double now = host.now();
        for (int i = 0; mayProbe && i < Math.min(most, pool.size()); i++) {
            Engine engine = pool.get(random.nextInt(pool.size()));
            if (now - Math.max(engine.probedMs, engine.reportMs) > FRESH_MS) {
                engine.probedMs = now;
                host.probe(engine);
            }
        }
    }

    private void sendWrite(Gen gen, Engine writer) {
        Leg leg = new Leg(gen, writer, false, host.now(), genToks(gen), 0);
        leg.patienceMs = OVERDUE_WRITE_MS + OVERDUE_FACTOR * beginMs;
        send(leg);
    }

    private void send(Leg leg) {
        Engine engine = leg.engine;
        double now = host.now();
        if (!leg.read) {
            engine.freshToks.add(now, leg.toks);
            engine.freshStreams.add(now, 1);
        }
        leg.open(now);
        host.send(leg);
    }

    private void close(Leg leg) {
        if (leg.close(host.now()) && leg.read) {
            awaitingToks = Math.max(0, awaitingToks - genToks(leg.gen));
        }
    }

    private void cancelOthers(Gen gen, Leg kept) {
        for (Leg leg : gen.legs) {
            if (leg != kept && leg.out && !leg.cancelled && mayCancel) {
                leg.cancelled = true;
                host.cancel(leg);
            }
        }
    }

    /** The regular look at a generation that has not begun to stream. */
    private void look(Gen gen, double now) {
        if (now >= gen.limitMs - ANSWER_EARLY_MS) {
            giveUp(gen);
        } else if (gen.waiting) {
            return;
        } else if (gen.legsOut == 0) {
            advance(gen);
        } else if (gen.product.effect == Effect.IDEMPOTENT && mayCancel && maySendCopies
                && gen.legs.size() + (gen.state == null ? 2 : 1) <= maxLegs) {
            Leg leg = gen.legs.get(gen.legs.size() - 1);
            // Danger: an engine that takes work and falls silent would keep it until the client leaves.
            double silentMs = now - Math.max(leg.engine.heardMs, leg.sentMs);
            if (leg.out && !leg.cancelled && silentMs > leg.patienceMs) {
                blame(leg.engine);
                // A second read beside the first: calling off one that only takes long would waste it. An
                // answer that waits for its writer moves only where there is room, or it would queue anew.
                Engine other = gen.state != null ? pickWriter(gen)
                        : roomAnywhere(gen) ? pickReader(gen) : null;
                if (other == null || other == leg.engine || gen.state != null && !hasRoom(other, gen)) {
                    return;
                }
                if (gen.state != null) {
                    cancelOthers(gen, null);
                    sendWrite(gen, other);
                } else {
                    sendRead(gen, other);
                }
            }
        }
    }

    // ------------------------------------------------------------------ rules

    /** Rule 2: whether one more leg to this writer could not repeat an effect. */
    private boolean mayRunAt(Gen gen, Engine engine) {
        if (gen.product.effect == Effect.IDEMPOTENT) {
            return maySendCopies || gen.legsOut == 0;
        }
        if (gen.legsOut > 0) {
            return false;
        }
        for (Leg leg : gen.legs) {
            if (leg.mayHaveRun() && (gen.product.effect == Effect.SIDE_EFFECTING
                    || host.now() > leg.sentMs + MEMORY_PART * gen.product.memoryMs
                    || gen.product.span == Span.ZONE && !leg.engine.zone.equals(engine.zone)
                    || gen.product.span == Span.RACK && leg.engine.rack != engine.rack)) {
                return false;
            }
        }
        return true;
    }

    private static boolean mayThrottle(Gen gen) {
        return gen.product.effect == Effect.IDEMPOTENT
                || gen.product.effect == Effect.DEDUPLICATED && gen.product.span == Span.ALL
                || gen.legs.stream().noneMatch(Leg::mayHaveRun);
    }

    private boolean isCold(Engine engine, double now) {
        return engine.startMs > 0 && now < engine.startMs + coldMs;
    }

    /**
     * Rule 4: a chance draw whose mean over all fronts is the part of the budget that a cold engine may get, by
     * what warm peers take. Danger: one leg a front is already too much where there are many fronts, and an
     * idle new engine looks best to all of them at once; no draw is worth more than the time since the last.
     */
    private boolean coldDraw(Engine engine, double now) {
        boolean reads = engine.role == Role.READER;
        double units = 0;
        for (Engine peer : reads ? readers : writers) {
            units += isCold(peer, now) ? 0 : peer.units;
        }
        Ring taken = reads ? warmReads : warmWrites;
        double perMs = taken.sum(now) / Math.min(taken.spanMs(), now - bornMs + 1) / Math.max(units, engine.units);
        double sinceMs = now - Math.max(engine.drawnMs, engine.startMs);
        engine.drawnMs = now;
        return random.nextDouble() < coldShare * perMs * engine.units * sinceMs;
    }

    // ------------------------------------------------------------------ what is known of engines

    private List<Engine> fit(List<Engine> pool, Gen gen) {
        double now = host.now();
        List<Engine> fit = new ArrayList<>(pool.size());
        boolean anySound = false;
        for (Engine engine : pool) {
            anySound |= isSound(engine, now);
        }
        for (Engine engine : pool) {
            // All suspect = none suspect: doubt must never empty a pool.
            if ((isSound(engine, now) || !anySound) && mayRunAt(gen, engine)
                    && (!isCold(engine, now) || coldDraw(engine, now))) {
                fit.add(engine);
            }
        }
        return fit;
    }

    private boolean isSound(Engine engine, double now) {
        return now >= engine.suspectUntilMs && (!engine.onTrial || engine.legs.isEmpty());
    }

    private void heard(Engine engine, Report report) {
        double now = host.now();
        engine.heardMs = now;
        engine.suspectUntilMs = 0;
        engine.suspectForMs = 0;
        engine.onTrial = false;
        if (report != null) {
            engine.reports = true;
            engine.reportMs = now;
            engine.othersUnreadToks = Math.max(0, orZero(report.toRead()) - engine.unreadToks);
            engine.toldToks = Math.max(0, engine.writeToks - engine.freshToks.sum(now));
            engine.toldStreams = Math.max(0, engine.streams - engine.freshStreams.sum(now));
            // Danger: a full writer's memory share says nothing of the states that queue for it.
            double toks = report.heldShare() * engine.memoryToks + orZero(report.toRead()) - engine.toldToks;
            double streams = report.inflight() - engine.toldStreams;
            engine.othersToks += REPORT_WEIGHT * (Math.max(0, orZero(toks)) - engine.othersToks);
            engine.othersStreams += REPORT_WEIGHT * (Math.max(0, orZero(streams)) - engine.othersStreams);
        }
    }

    private void blame(Engine engine) {
        double now = host.now();
        if (now < engine.suspectUntilMs) {
            return;
        }
        engine.suspectForMs = Math.min(SUSPECT_MOST_MS, Math.max(SUSPECT_FIRST_MS, 2 * engine.suspectForMs));
        engine.suspectUntilMs = now + engine.suspectForMs * (0.75 + 0.5 * random.nextDouble());
        engine.onTrial = true;
        host.log("engine " + engine.label + " suspect for " + Math.round(engine.suspectForMs) + " ms");
    }

    /** Own unread tokens in time; never less than how long the engine has been silent over them. */
    private double backlogMs(Engine engine, double now) {
        double since = engine.unreadSinceMs();
        if (Double.isNaN(since)) {
            return 0;
        }
        double silent = now - Math.max(engine.heardMs, since);
        return Math.max(engine.unreadToks * msPerTok(engine, now), silent);
    }

    private double msPerTok(Engine engine, double now) {
        double toks = engine == null ? 0 : engine.readToks.sum(now);
        if (toks >= BELIEVED_TOKS) {
            return engine.busyMs.sum(now) / toks;
        }
        double busy = 0;
        toks = 0;
        for (Engine peer : readers) {
            busy += peer.busyMs.sum(now);
            toks += peer.readToks.sum(now);
        }
        return toks >= BELIEVED_TOKS ? busy / toks : UNHEARD_MS_PER_TOK;
    }

    private double readToks(Gen gen, Engine reader) {
        int kept = Math.max(gen.prefix == null ? 0 : Math.min(gen.prefix.toksAt(reader), gen.sharedToks),
                gen.session == null ? 0 : Math.min(gen.session.toksAt(reader), gen.promptToks));
        return Math.max(gen.promptToks - kept, LEAST_READ_TOKS);
    }

    /** Room for this one beside all that this front has being read. */
    private boolean roomAnywhere(Gen gen) {
        double room = writers.isEmpty() ? Double.NaN : 0;
        for (Engine engine : writers) {
            if (hasRoom(engine, gen)) {
                room += roomToks(engine);
            }
        }
        return !(room < awaitingToks + genToks(gen));
    }

    private boolean hasRoom(Engine engine, Gen gen) {
        return host.now() >= engine.fullUntilMs && !(roomToks(engine) < genToks(gen));
    }

    /** NaN where the memory is not known. */
    private double roomToks(Engine engine) {
        return engine.memoryToks * USABLE_MEMORY - engine.heldToks();
    }

    private static double genToks(Gen gen) {
        double out = Double.isNaN(gen.hintToks) ? EXPECTED_SHARE_OF_MAX * gen.maxToks : gen.hintToks;
        return gen.promptToks + out;
    }

    private static double orZero(double value) {
        return Double.isNaN(value) ? 0 : value;
    }

    private void touch(Text text) {
        if (text != null) {
            texts.remove(text);
            text.usedMs = host.now();
            texts.add(text);
        }
    }

    private void setWake() {
        if (!wakeSet && (!open.isEmpty() || askAtMs < Double.POSITIVE_INFINITY)) {
            wakeSet = true;
            host.wake(host.now() + SWEEP_MS);
        }
    }
}
