package larchridge.simulation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import larchridge.emulator.EngineHardware;
import larchridge.emulator.EngineModel;
import larchridge.emulator.Job;
import larchridge.emulator.Prompt;
import larchridge.emulator.SharedLinks;
import larchridge.inventory.EngineEntry;
import larchridge.router.VirtualTimeScheduler;
import larchridge.simulatedengine.EngineProfile;
import larchridge.state.AttemptOutcome;
import larchridge.state.EndpointState;
import larchridge.state.LoadReport;
import larchridge.state.Role;
import larchridge.systemtest.TrafficEvent;
import larchridge.upstream.AnswerSummary;
import larchridge.upstream.AttemptListener;
import larchridge.upstream.AttemptRequest;
import larchridge.upstream.Endpoint;
import larchridge.upstream.StateHandle;
import larchridge.upstream.UpstreamClient;

/**
 * The emulated engines in virtual time, the links between them, and the way to them from fronts.
 */
final class SimulatedCluster {
    /** One way between a front and an engine, in its zone and out of it. */
    private static final double NEAR_MS = 0.3;

    private static final double FAR_MS = 1.2;

    /**
     * A rack's link to the others carries so many times what one engine sends, a zone's to another
     * so many.
     */
    private static final double RACK_LINK = 3;

    private static final double ZONE_LINK = 2;
    private static final int BLOCK_TOKS = 32;
    private static final double LAPSE_LOOK_MS = 500;

    final VirtualTimeScheduler world;
    final SimulationLog log;
    private final Random random;
    private final Map<Long, Seat> seats = new TreeMap<>();
    private final SharedLinks links = new SharedLinks();
    private long linkWake = -1;
    private double linkWakeMs;
    private final Map<String, Talk> talks = new HashMap<>();

    /** What a prompt's text stands for here. */
    record Talk(Prompt prompt, int length, String tag) {}

    /** Names a state: where it waits and under which name. */
    private record Waiting(long engine, String rid) implements StateHandle {}

    SimulatedCluster(
            VirtualTimeScheduler world, SimulationLog log, List<EngineProfile> makes, long seed) {
        this.world = world;
        this.log = log;
        random = new Random(seed ^ 0x70EFL);
        for (EngineProfile make : makes) {
            Seat seat = new Seat(make);
            seats.put(make.id(), seat);
            seat.start(false);
        }
    }

    /** An engine of a script's make: its speed and room, in the form of the emulator. */
    static EngineHardware silicon(EngineProfile make) {
        boolean reads = make.role() == Role.READER;
        int batch = (int) Math.max(256, make.readTokensPerMs() * 12);
        return new EngineHardware(
                reads ? 0.5 : 0.6 * make.tokenMs(),
                1 / make.readTokensPerMs(),
                0.4 * make.tokenMs() / make.streams(),
                0,
                0,
                BLOCK_TOKS,
                (int) (make.memoryTokens() / BLOCK_TOKS),
                batch,
                reads ? make.readsAtOnce() : make.streams(),
                make.queue() + make.readsAtOnce(),
                make.lapseMs(),
                make.coldShare(),
                make.coldMs(),
                false);
    }

    void talk(String text, Talk talk) {
        talks.put(text, talk);
    }

    void forget(String text) {
        talks.remove(text);
    }

    static int blockTokens() {
        return BLOCK_TOKS;
    }

    Seat seat(long id) {
        return seats.get(id);
    }

    /** The list as it is now. */
    List<EngineEntry> rows() {
        List<EngineEntry> rows = new ArrayList<>();
        for (Seat seat : seats.values()) {
            if (seat.listed) {
                EngineProfile make = seat.make;
                rows.add(
                        new EngineEntry(
                                make.id(),
                                "e",
                                (int) make.id(),
                                make.role(),
                                make.zone(),
                                make.rack(),
                                1,
                                make.memoryTokens(),
                                seat.listedStartMs,
                                seat.drains ? EndpointState.DRAINING : EndpointState.READY));
            }
        }
        return rows;
    }

    List<EngineModel.Sums> sums() {
        return seats.values().stream().map(seat -> seat.model.sums()).toList();
    }

    // ------------------------------------------------------------------ engines

    /** One engine over its lives. */
    final class Seat implements EngineModel.Ears {
        final EngineProfile make;
        EngineModel model;
        boolean up;
        boolean listed = true;
        boolean drains;
        double listedStartMs;
        double startedMs;
        private int life;
        private boolean stepping;
        // Ailments.
        double pausedUntilMs;
        double lostShare;
        double brokenShare;
        boolean full;
        boolean faulty;
        boolean forgetful;

        Seat(EngineProfile make) {
            this.make = make;
        }

        void start(boolean cold) {
            life++;
            up = true;
            stepping = false;
            startedMs = world.nowMs();
            model =
                    new EngineModel(
                            silicon(make), cold ? startedMs : startedMs - make.coldMs(), this);
            log.add(TrafficEvent.Kind.STARTED, make.id(), null, null, cold ? 1 : 0, null);
            int mine = life;
            world.schedule(LAPSE_LOOK_MS, () -> lapse(mine));
        }

        void crash() {
            if (!up) {
                return;
            }
            up = false;
            life++;
            List<Visit> here = new ArrayList<>(visits);
            visits.clear();
            for (Visit visit : here) {
                log.add(
                        TrafficEvent.Kind.LEG_OUT,
                        make.id(),
                        visit.order.attemptId(),
                        visit.talk.tag,
                        visit.job.made(),
                        null);
                visit.back(() -> visit.over(AttemptOutcome.CUT));
            }
            for (Job state : states.values()) {
                log.add(
                        TrafficEvent.Kind.STATE_GONE,
                        make.id(),
                        state.rid,
                        ((Visit) state.owner).talk.tag,
                        state.prompt.tokens,
                        null);
            }
            states.clear();
            log.add(TrafficEvent.Kind.STOPPED, make.id(), null, null, 0, null);
        }

        private final List<Visit> visits = new ArrayList<>();
        private final Map<String, Job> states = new TreeMap<>();

        /** Ails no more. */
        void clear() {
            pausedUntilMs = 0;
            lostShare = 0;
            brokenShare = 0;
            full = false;
            faulty = false;
            forgetful = false;
            model.ails(1, Integer.MAX_VALUE, 1);
        }

        private void lapse(int mine) {
            if (mine == life && up) {
                model.lapse(world.nowMs());
                world.schedule(LAPSE_LOOK_MS, () -> lapse(mine));
            }
        }

        void kick() {
            if (!up || stepping) {
                return;
            }
            double wait = pausedUntilMs - world.nowMs();
            if (wait > 0) {
                int mine = life;
                world.schedule(
                        wait,
                        () -> {
                            if (mine == life) {
                                kick();
                            }
                        });
                return;
            }
            double ms = model.begin(world.nowMs());
            if (!Double.isNaN(ms)) {
                stepping = true;
                int mine = life;
                world.schedule(ms, () -> step(mine));
            }
        }

        private void step(int mine) {
            if (mine != life) {
                return;
            }
            double wait = pausedUntilMs - world.nowMs();
            if (wait > 0) {
                world.schedule(wait, () -> step(mine));
                return;
            }
            stepping = false;
            model.end(world.nowMs());
            kick();
        }

        LoadReport report() {
            return new LoadReport(
                    model.inflight(),
                    model.queue(),
                    Math.min(1, model.heldShare()),
                    model.toRead());
        }

        void arrive(Visit visit) {
            if (visit.isOver) {
                return;
            }
            if (!up) {
                visit.back(() -> visit.over(AttemptOutcome.UNREACHABLE));
                return;
            }
            log.add(
                    visit.job.kind == Job.Kind.READ
                            ? TrafficEvent.Kind.READ_IN
                            : TrafficEvent.Kind.WRITE_IN,
                    make.id(),
                    visit.order.attemptId(),
                    visit.talk.tag,
                    visit.talk.prompt.tokens,
                    null);
            visits.add(visit);
            boolean wrong =
                    visit.job.kind == Job.Kind.READ
                            ? make.role() == Role.WRITER
                            : make.role() == Role.READER
                                    || (visit.job.kind == Job.Kind.BOTH
                                            && make.role() != Role.BOTH);
            if (faulty || wrong) {
                leave(visit, faulty ? AttemptOutcome.FAULT : AttemptOutcome.NO_STATE);
            } else if (full || !model.submit(visit.job)) {
                leave(visit, AttemptOutcome.FULL);
            } else {
                visit.lost = random.nextDouble() < lostShare;
                visit.breakAfter =
                        random.nextDouble() < brokenShare ? random.nextInt(12) : Integer.MAX_VALUE;
                kick();
            }
        }

        /** An attempt ends here with something else than what it came for. */
        private void leave(Visit visit, AttemptOutcome outcome) {
            if (visits.remove(visit)) {
                if (!states.containsKey(visit.job.rid)) {
                    model.drop(visit.job);
                }
                log.add(
                        TrafficEvent.Kind.LEG_OUT,
                        make.id(),
                        visit.order.attemptId(),
                        visit.talk.tag,
                        visit.job.made(),
                        null);
                if (outcome != null) {
                    LoadReport report = report();
                    visit.back(() -> visit.over(outcome, report));
                }
                kick();
            }
        }

        private void release(String rid) {
            Job state = states.remove(rid);
            if (state != null) {
                model.release(rid);
                log.add(
                        TrafficEvent.Kind.STATE_GONE,
                        make.id(),
                        rid,
                        ((Visit) state.owner).talk.tag,
                        state.prompt.tokens,
                        null);
                kick();
            }
        }

        /**
         * An attempt ends with its answer. One whose answer is lost stays open until its front
         * gives it up.
         */
        private void answered(Visit visit) {
            visits.remove(visit);
            log.add(
                    TrafficEvent.Kind.LEG_OUT,
                    make.id(),
                    visit.order.attemptId(),
                    visit.talk.tag,
                    visit.job.made(),
                    null);
        }

        @Override
        public void read(Job job) {
            Visit visit = (Visit) job.owner;
            log.add(
                    TrafficEvent.Kind.STATE_HELD,
                    make.id(),
                    job.rid,
                    visit.talk.tag,
                    job.prompt.tokens,
                    null);
            if (!visit.lost) {
                answered(visit);
            }
            states.put(job.rid, job);
            if (forgetful) {
                release(job.rid);
            }
            LoadReport report = report();
            if (!visit.lost) {
                visit.back(
                        () ->
                                visit.read(
                                        new Waiting(make.id(), job.rid),
                                        job.kept(),
                                        job.prompt.tokens,
                                        report));
            }
        }

        @Override
        public void fetch(Job job) {
            Visit visit = (Visit) job.owner;
            Seat from = seats.get(visit.from.engine);
            if (!from.up || !from.model.holds(visit.from.rid)) {
                world.schedule(2 * NEAR_MS, () -> leave(visit, AttemptOutcome.NO_STATE));
                return;
            }
            int mine = life;
            visit.move =
                    links.begin(
                            world.nowMs(),
                            job.prompt.tokens,
                            way(from.make, make),
                            () -> {
                                visit.move = null;
                                if (mine != life || !visits.contains(visit)) {
                                    return;
                                }
                                if (!from.up || !from.model.holds(visit.from.rid)) {
                                    leave(visit, AttemptOutcome.NO_STATE);
                                    return;
                                }
                                from.release(visit.from.rid);
                                log.add(
                                        TrafficEvent.Kind.RAN,
                                        make.id(),
                                        job.rid,
                                        visit.talk.tag,
                                        job.prompt.tokens,
                                        null);
                                model.fetched(job);
                                kick();
                            });
            wakeLinks();
        }

        @Override
        public void token(Job job) {
            Visit visit = (Visit) job.owner;
            if (job.made() == 1 && job.kind == Job.Kind.BOTH) {
                log.add(
                        TrafficEvent.Kind.RAN,
                        make.id(),
                        job.rid,
                        visit.talk.tag,
                        job.prompt.tokens,
                        null);
            }
            if (job.made() > visit.breakAfter) {
                visits.remove(visit);
                model.drop(job);
                log.add(
                        TrafficEvent.Kind.LEG_OUT,
                        make.id(),
                        job.rid,
                        visit.talk.tag,
                        job.made(),
                        null);
                visit.back(() -> visit.over(AttemptOutcome.CUT));
            } else if (!visit.lost) {
                int made = job.made();
                visit.back(() -> visit.piece(made));
            }
        }

        @Override
        public void done(Job job) {
            Visit visit = (Visit) job.owner;
            if (!visit.lost) {
                answered(visit);
                LoadReport report = report();
                visit.back(() -> visit.done(job, report));
            }
        }

        @Override
        public void lost(Job job) {
            if (states.remove(job.rid) != null) {
                log.add(
                        TrafficEvent.Kind.STATE_GONE,
                        make.id(),
                        job.rid,
                        ((Visit) job.owner).talk.tag,
                        job.prompt.tokens,
                        null);
            }
        }
    }

    private List<SharedLinks.Link> way(EngineProfile from, EngineProfile to) {
        List<SharedLinks.Link> way = new ArrayList<>();
        way.add(links.link("engine " + from.id(), from.moveTokensPerMs()));
        if (!from.zone().equals(to.zone())) {
            way.add(
                    links.link(
                            "zone " + from.zone() + " to " + to.zone(),
                            ZONE_LINK * from.moveTokensPerMs()));
        }
        if (from.rack() != to.rack() || !from.zone().equals(to.zone())) {
            way.add(
                    links.link(
                            "rack " + from.zone() + from.rack(),
                            RACK_LINK * from.moveTokensPerMs()));
        }
        return way;
    }

    private void wakeLinks() {
        double next = links.nextMs();
        if (linkWake >= 0 && linkWakeMs <= next) {
            return;
        }
        if (linkWake >= 0) {
            world.cancel(linkWake);
            linkWake = -1;
        }
        if (next < Double.POSITIVE_INFINITY) {
            linkWakeMs = next;
            linkWake =
                    world.schedule(
                            next - world.nowMs(),
                            () -> {
                                linkWake = -1;
                                links.advance(world.nowMs());
                                wakeLinks();
                            });
        }
    }

    // ------------------------------------------------------------------ the way to them

    /** A front's link to the engines. */
    UpstreamClient link(String zone) {
        return new UpstreamClient() {
            @Override
            public AttemptHandle read(AttemptRequest order, AttemptListener hearing) {
                return new Visit(order, hearing, zone, Job.Kind.READ);
            }

            @Override
            public AttemptHandle write(AttemptRequest order, AttemptListener hearing) {
                return new Visit(
                        order,
                        hearing,
                        zone,
                        order.state() == null ? Job.Kind.BOTH : Job.Kind.WRITE);
            }

            @Override
            public void release(Endpoint endpoint, String rid) {
                Seat seat = seats.get((long) endpoint.port());
                world.schedule(
                        wayMs(zone, seat),
                        () -> {
                            if (seat.up) {
                                seat.release(rid);
                            }
                        });
            }

            @Override
            public void probe(Endpoint endpoint, ProbeListener told) {
                Seat seat = seats.get((long) endpoint.port());
                double ms = wayMs(zone, seat);
                world.schedule(
                        ms,
                        () -> {
                            LoadReport report = seat.up ? seat.report() : null;
                            double wait = Math.max(0, seat.pausedUntilMs - world.nowMs());
                            world.schedule(
                                    wait + ms,
                                    () ->
                                            told.completed(
                                                    wait <= 500 && report != null,
                                                    wait > 500 ? null : report));
                        });
            }

            @Override
            public void close() {
                // Nothing is open.

            }
        };
    }

    private static double wayMs(String zone, Seat seat) {
        return seat.make.zone().equals(zone) ? NEAR_MS : FAR_MS;
    }

    /** An attempt on its way, at its engine, and on its way back. */
    private final class Visit implements UpstreamClient.AttemptHandle {
        final AttemptRequest order;
        final Talk talk;
        final Job job;
        final Waiting from;
        private final AttemptListener hearing;
        private final Seat seat;
        private final double ms;
        SharedLinks.Move move;
        boolean isOver;
        boolean lost;
        int breakAfter = Integer.MAX_VALUE;
        private boolean begun;

        Visit(AttemptRequest order, AttemptListener hearing, String zone, Job.Kind kind) {
            this.order = order;
            this.hearing = hearing;
            talk = talks.get(order.prompt());
            from = (Waiting) order.state();
            seat = seats.get((long) order.endpoint().port());
            ms = wayMs(zone, seat);
            job =
                    new Job(
                            order.attemptId(),
                            kind,
                            talk.prompt,
                            Math.min(order.maxTokens(), talk.length));
            job.owner = this;
            world.schedule(
                    0,
                    () -> {
                        if (!isOver && order.sendCheck().rejection() != null) {
                            over(AttemptOutcome.NOT_SENT);
                        } else {
                            world.schedule(ms, () -> seat.arrive(this));
                        }
                    });
        }

        /** Back to the front, if that still listens then. */
        void back(Runnable what) {
            world.schedule(
                    ms,
                    () -> {
                        if (!isOver) {
                            what.run();
                        }
                    });
        }

        void read(Waiting state, int kept, int tokens, LoadReport report) {
            isOver = true;
            hearing.readCompleted(state, kept, tokens, report);
        }

        void piece(int number) {
            if (!begun) {
                begun = true;
                hearing.responseStarted();
            }
            if (!isOver) {
                hearing.textReceived("w" + number + " ");
                hearing.socketReadCompleted();
            }
        }

        void done(Job job, LoadReport report) {
            isOver = true;
            hearing.attemptEnded(
                    AttemptOutcome.STREAMED,
                    report,
                    new AnswerSummary(
                            job.length < order.maxTokens()
                                    ? AnswerSummary.FinishReason.END_OF_TURN
                                    : AnswerSummary.FinishReason.MAX_TOKENS,
                            null,
                            talk.prompt.tokens,
                            job.made()));
        }

        void over(AttemptOutcome outcome) {
            over(outcome, null);
        }

        void over(AttemptOutcome outcome, LoadReport report) {
            isOver = true;
            hearing.attemptEnded(outcome, report, null);
        }

        @Override
        public void cancel() {
            callOff(AttemptOutcome.CANCELLED);
        }

        @Override
        public void expire() {
            callOff(AttemptOutcome.TIMED_OUT);
        }

        private void callOff(AttemptOutcome outcome) {
            if (isOver) {
                return;
            }
            isOver = true;
            world.schedule(0, () -> hearing.attemptEnded(outcome, null, null));
            world.schedule(
                    ms,
                    () -> {
                        if (move != null) {
                            links.stop(world.nowMs(), move);
                            move = null;
                            wakeLinks();
                        }
                        seat.leave(this, null);
                    });
        }

        @Override
        public void pause() {
            // Clients of virtual drills take what they get.

        }

        @Override
        public void resume() {}
    }
}
