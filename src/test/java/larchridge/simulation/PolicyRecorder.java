package larchridge.simulation;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import larchridge.policy.PolicyActions;
import larchridge.policy.PolicyEvents;
import larchridge.policy.RoutingPolicy;
import larchridge.state.Attempt;
import larchridge.state.AttemptOutcome;
import larchridge.state.EndpointState;
import larchridge.state.EndpointUpdate;
import larchridge.state.Engine;
import larchridge.state.Generation;
import larchridge.state.GiveUpReason;
import larchridge.state.LoadReport;
import larchridge.state.Role;
import larchridge.state.RoutingSettings;

/**
 * Wraps the routing policy of every router of one simulated run and writes down, in order, each
 * event that goes into it and each action that comes out, one a line. Times and amounts are written
 * to the last bit of the double. The words of the lines are this class's own, so that renaming a
 * type or a constant changes no line.
 */
final class PolicyRecorder implements PolicyEvents.Factory {
    /**
     * How long an attempt at a writer has been out before its state counts as released, where that
     * is injected.
     */
    private static final double STATE_RELEASED_AFTER_MS = 40;

    /** How often the endpoint list fails, where that is injected. */
    private static final int LIST_FAILURES = 3;

    /** Settings and events that the scripts of the simulator can't bring about. */
    enum Variant {
        AS_SCRIPTED,
        /** Engines report no load. */
        NO_REPORTS,
        /** No cancelling, so neither hedged requests nor moves. */
        NO_CANCELLING,
        /** No two attempts of a generation side by side. */
        NO_HEDGING,
        /** Writers that read prompts themselves, and clients that honour no Retry-After. */
        WRITERS_READ,
        /**
         * The endpoint list is requested and fails at first; held states are released while a
         * writer queues; attempts at engines that can't be reached count as never sent.
         */
        INJECTED_EVENTS
    }

    private final Variant variant;
    private final MessageDigest digest;
    private final Map<String, Integer> counts = new TreeMap<>();

    /** Null where only the digest is wanted. */
    private final StringBuilder text;

    private long lines;
    private int routers;

    PolicyRecorder(Variant variant, boolean keepText) {
        this.variant = variant;
        text = keepText ? new StringBuilder() : null;
        try {
            digest = MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java has SHA-256", e);
        }
    }

    @Override
    public PolicyEvents make(RoutingSettings terms, PolicyActions host) {
        RoutingSettings own = terms.copy();
        switch (variant) {
            case NO_CANCELLING -> own.mayCancel = false;
            case NO_HEDGING -> own.maySendCopies = false;
            case WRITERS_READ -> {
                own.writersRead = true;
                own.comeBackMaxMs = 0;
            }
            case INJECTED_EVENTS -> own.listIsAsked = true;
            default -> {}
        }
        return new Recorded(routers++, own, host);
    }

    long lines() {
        return lines;
    }

    /** How many lines of each kind there were. */
    Map<String, Integer> counts() {
        return counts;
    }

    String text() {
        return text.toString();
    }

    /** To be called once, at the end. */
    String sha256() {
        return HexFormat.of().formatHex(digest.digest());
    }

    private void line(int router, double nowMs, String kind, Object... values) {
        StringBuilder line =
                new StringBuilder()
                        .append(router)
                        .append(' ')
                        .append(nowMs)
                        .append(' ')
                        .append(kind);
        for (Object value : values) {
            line.append(' ').append(value);
        }
        line.append('\n');
        digest.update(line.toString().getBytes(StandardCharsets.UTF_8));
        if (text != null) {
            text.append(line);
        }
        lines++;
        counts.merge(kind, 1, Integer::sum);
    }

    private static String figures(LoadReport report) {
        return report == null
                ? "none"
                : report.inflight()
                        + "/"
                        + report.queue()
                        + "/"
                        + report.heldShare()
                        + "/"
                        + report.toRead();
    }

    private static String named(AttemptOutcome outcome) {
        return switch (outcome) {
            case STREAMED -> "streamed";
            case FAULT -> "fault";
            case FULL -> "full";
            case NO_STATE -> "no-state";
            case TIMED_OUT -> "timed-out";
            case UNREACHABLE -> "unreachable";
            case CUT -> "cut";
            case CANCELLED -> "cancelled";
            case NOT_SENT -> "not-sent";
        };
    }

    private static String named(GiveUpReason reason) {
        return reason == null
                ? "none"
                : switch (reason) {
                    case TIME_UP -> "time-up";
                    case TOO_LATE -> "too-late";
                    case ATTEMPTS_USED -> "attempts-used";
                    case NO_WRITER -> "no-writer";
                };
    }

    private static String named(Role role) {
        return switch (role) {
            case READER -> "reader";
            case WRITER -> "writer";
            case BOTH -> "both";
        };
    }

    private static String named(EndpointState mode) {
        return switch (mode) {
            case READY -> "ready";
            case DRAINING -> "draining";
            case GONE -> "removed";
        };
    }

    private static String kind(Attempt attempt) {
        return attempt.read ? "read" : attempt.engine.role == Role.BOTH ? "write-both" : "write";
    }

    /** The policy of one router, with its events and actions written down. */
    private final class Recorded implements PolicyEvents, PolicyActions {
        private final int router;
        private final PolicyActions host;
        private final RoutingPolicy policy;
        private final List<Attempt> writes = new ArrayList<>();
        private boolean listRequested;
        private int listFailures;

        Recorded(int router, RoutingSettings terms, PolicyActions host) {
            this.router = router;
            this.host = host;
            policy = new RoutingPolicy(terms, this);
        }

        private void record(String kind, Object... values) {
            line(router, host.now(), kind, values);
        }

        private LoadReport seen(LoadReport report) {
            return variant == Variant.NO_REPORTS ? null : report;
        }

        // ------------------------------------------------------------------ events

        @Override
        public void arrived(Generation gen) {
            record(
                    "in:arrived",
                    gen.label,
                    gen.promptToks,
                    gen.sharedToks,
                    gen.maxToks,
                    gen.resent,
                    gen.arrivedMs,
                    gen.limitMs);
            policy.arrived(gen);
        }

        @Override
        public void readDone(Attempt attempt, int keptToks, LoadReport report, boolean over) {
            record(
                    "in:read-done",
                    attempt.gen.label,
                    attempt.number,
                    keptToks,
                    figures(seen(report)),
                    over);
            policy.readDone(attempt, keptToks, seen(report), over);
        }

        @Override
        public void begun(Attempt attempt) {
            record("in:begun", attempt.gen.label, attempt.number);
            policy.begun(attempt);
        }

        @Override
        public void ended(
                Attempt attempt, AttemptOutcome reported, LoadReport report, boolean over) {
            boolean injected =
                    variant == Variant.INJECTED_EVENTS && reported == AttemptOutcome.UNREACHABLE;
            AttemptOutcome outcome = injected ? AttemptOutcome.NOT_SENT : reported;
            record(
                    "in:ended",
                    attempt.gen.label,
                    attempt.number,
                    named(outcome),
                    figures(seen(report)),
                    over);
            policy.ended(attempt, outcome, seen(report), over);
        }

        @Override
        public void stateReleased(Attempt attempt) {
            record("in:state-released", attempt.gen.label, attempt.number);
            policy.stateReleased(attempt);
        }

        @Override
        public void departed(Generation gen) {
            record("in:departed", gen.label);
            policy.departed(gen);
        }

        @Override
        public void probed(Engine engine, boolean answered, LoadReport report) {
            record("in:probed", engine.label, answered, figures(seen(report)));
            policy.probed(engine, answered, seen(report));
        }

        @Override
        public void listed(List<EndpointUpdate> entries, boolean complete) {
            record("in:listed", complete, entries.size());
            for (EndpointUpdate entry : entries) {
                record(
                        "in:entry",
                        entry.engine().label,
                        named(entry.role()),
                        named(entry.mode()),
                        entry.startMs(),
                        entry.units(),
                        entry.zone(),
                        entry.rack(),
                        entry.memoryToks());
            }
            policy.listed(entries, complete);
        }

        @Override
        public void woken() {
            if (listRequested && listFailures < LIST_FAILURES) {
                listRequested = false;
                listFailures++;
                record("in:list-failed");
                policy.listFailed();
            }
            if (variant == Variant.INJECTED_EVENTS) {
                releaseStates();
            }
            record("in:woken");
            policy.woken();
        }

        private void releaseStates() {
            writes.removeIf(attempt -> !attempt.out || attempt.gen.begun);
            for (Attempt attempt : List.copyOf(writes)) {
                if (host.now() - attempt.sentMs > STATE_RELEASED_AFTER_MS) {
                    writes.remove(attempt);
                    stateReleased(attempt);
                }
            }
        }

        // ------------------------------------------------------------------ actions

        @Override
        public double now() {
            return host.now();
        }

        @Override
        public void send(Attempt attempt) {
            record(
                    "out:send",
                    attempt.gen.label,
                    attempt.number,
                    kind(attempt),
                    attempt.engine.label,
                    attempt.sentMs,
                    attempt.toks,
                    attempt.unreadToks,
                    attempt.patienceMs);
            if (!attempt.read) {
                writes.add(attempt);
            }
            if (attempt.engine.startMs > host.now() - 2500) {
                record("out:sent-to-cold", attempt.engine.label);
            }
            host.send(attempt);
        }

        @Override
        public void cancel(Attempt attempt) {
            record("out:cancel", attempt.gen.label, attempt.number);
            host.cancel(attempt);
        }

        @Override
        public void release(Generation gen) {
            record("out:release", gen.label);
            host.release(gen);
        }

        @Override
        public void throttle(Generation gen, double comeBackMs) {
            record("out:throttle", gen.label, comeBackMs, named(gen.givenUp));
            host.throttle(gen, comeBackMs);
        }

        @Override
        public void terminate(Generation gen) {
            record("out:terminate", gen.label, named(gen.givenUp));
            host.terminate(gen);
        }

        @Override
        public void probe(Engine engine) {
            record("out:probe", engine.label);
            host.probe(engine);
        }

        @Override
        public void wake(double atMs) {
            record("out:wake", atMs);
            host.wake(atMs);
        }

        @Override
        public void followList() {
            record("out:follow-list");
            listRequested = true;
            host.followList();
        }

        @Override
        public void log(String line) {
            // The figures of the line count; its wording may change.
            record("out:log", line.replaceAll("[^0-9]+", " ").trim());
            host.log(line);
        }
    }
}
