package larchridge.simulation;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Set;
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
 * Wraps the routing policy of every router of one simulated run and records, in order, each event
 * that it receives and each action that it takes, one per line. Times and amounts are written with
 * the full precision of a double. The lines use names of their own, so that renaming a type or a
 * constant changes no line.
 */
final class PolicyRecorder implements PolicyEvents.Factory {
    /**
     * How long an attempt at a writer has been in flight before the release of its state is
     * injected.
     */
    private static final double STATE_RELEASED_AFTER_MS = 40;

    /** How many failures of the endpoint list are injected for each router. */
    private static final int LIST_FAILURES = 3;

    /** Settings and events that scripts of the simulator cannot produce. */
    enum Variant {
        AS_SCRIPTED,
        /** Engines report no load. */
        NO_REPORTS,
        /** Attempts are not cancelled, so requests are neither hedged nor moved. */
        NO_CANCELLING,
        /** A generation has one attempt at a time. */
        NO_HEDGING,
        /** Writers can read prompts, and the maximum Retry-After is 0: clients do not honour it. */
        WRITERS_READ,
        /**
         * The policy subscribes to the endpoint list, which fails at first; held states are
         * released while an attempt is queued at a writer; attempts at unreachable engines are
         * reported as not sent.
         */
        INJECTED_EVENTS
    }

    private final Variant variant;
    private final MessageDigest digest;
    private final Map<String, Integer> counts = new TreeMap<>();

    /** The recorded lines; null if only the digest is needed. */
    private final StringBuilder text;

    private long lines;
    private int routers;

    PolicyRecorder(Variant variant, boolean keepText) {
        this.variant = variant;
        text = keepText ? new StringBuilder() : null;
        try {
            digest = MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform supports SHA-256", e);
        }
    }

    @Override
    public PolicyEvents create(RoutingSettings settings, PolicyActions host) {
        RoutingSettings.Builder builder = settings.toBuilder();
        switch (variant) {
            case NO_CANCELLING -> builder.cancellationAllowed(false);
            case NO_HEDGING -> builder.hedgingAllowed(false);
            case WRITERS_READ -> {
                builder.writersCanRead(true);
                builder.retryAfterMaxMs(0);
            }
            case INJECTED_EVENTS -> builder.endpointSubscriptionRequired(true);
            default -> {}
        }
        return new Recorded(routers++, builder.build(), host);
    }

    long lines() {
        return lines;
    }

    /** Number of lines of each kind. */
    Map<String, Integer> counts() {
        return counts;
    }

    String text() {
        return text.toString();
    }

    /** Returns the digest of all lines; may be called only once, at the end. */
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

    private static String format(LoadReport report) {
        return report == null
                ? "none"
                : report.inflight()
                        + "/"
                        + report.queue()
                        + "/"
                        + report.memoryShare()
                        + "/"
                        + report.pendingTokens();
    }

    private static String label(AttemptOutcome outcome) {
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

    private static String label(GiveUpReason reason) {
        return reason == null
                ? "none"
                : switch (reason) {
                    case TIME_UP -> "time-up";
                    case TOO_LATE -> "too-late";
                    case ATTEMPTS_USED -> "attempts-used";
                    case NO_WRITER -> "no-writer";
                };
    }

    private static String label(Role role) {
        return switch (role) {
            case READER -> "reader";
            case WRITER -> "writer";
            case BOTH -> "both";
        };
    }

    private static String label(EndpointState state) {
        return switch (state) {
            case READY -> "ready";
            case DRAINING -> "draining";
            case REMOVED -> "removed";
        };
    }

    private static String attemptKind(Attempt attempt) {
        return attempt.readsOnly
                ? "read"
                : attempt.engine.role() == Role.BOTH ? "write-both" : "write";
    }

    /** Records the events and actions of one router's policy. */
    private final class Recorded implements PolicyEvents, PolicyActions {
        private final int router;
        private final PolicyActions host;
        private final RoutingPolicy policy;
        private final List<Attempt> writes = new ArrayList<>();
        private final Set<Generation> started = new HashSet<>();
        private boolean listRequested;
        private int listFailures;

        Recorded(int router, RoutingSettings settings, PolicyActions host) {
            this.router = router;
            this.host = host;
            policy = new RoutingPolicy(settings, this);
        }

        private void record(String kind, Object... values) {
            line(router, host.nowMs(), kind, values);
        }

        private LoadReport visibleReport(LoadReport report) {
            return variant == Variant.NO_REPORTS ? null : report;
        }

        // ------------------------------------------------------------------ events

        @Override
        public void requestArrived(Generation generation) {
            record(
                    "in:arrived",
                    generation.id,
                    generation.promptTokens,
                    generation.sharedTokens,
                    generation.maxTokens,
                    generation.clientRetry,
                    generation.arrivedMs,
                    generation.deadlineMs);
            policy.requestArrived(generation);
        }

        @Override
        public void readCompleted(
                Attempt attempt, int cachedTokens, LoadReport report, boolean finished) {
            record(
                    "in:read-done",
                    attempt.generation.id,
                    attempt.number,
                    cachedTokens,
                    format(visibleReport(report)),
                    finished);
            policy.readCompleted(attempt, cachedTokens, visibleReport(report), finished);
        }

        @Override
        public void responseStarted(Attempt attempt) {
            record("in:begun", attempt.generation.id, attempt.number);
            started.add(attempt.generation);
            policy.responseStarted(attempt);
        }

        @Override
        public void attemptEnded(
                Attempt attempt, AttemptOutcome reported, LoadReport report, boolean finished) {
            boolean injected =
                    variant == Variant.INJECTED_EVENTS && reported == AttemptOutcome.UNREACHABLE;
            AttemptOutcome outcome = injected ? AttemptOutcome.NOT_SENT : reported;
            record(
                    "in:ended",
                    attempt.generation.id,
                    attempt.number,
                    label(outcome),
                    format(visibleReport(report)),
                    finished);
            policy.attemptEnded(attempt, outcome, visibleReport(report), finished);
        }

        @Override
        public void stateReleased(Attempt attempt) {
            record("in:state-released", attempt.generation.id, attempt.number);
            policy.stateReleased(attempt);
        }

        @Override
        public void generationAbandoned(Generation generation) {
            record("in:departed", generation.id);
            policy.generationAbandoned(generation);
        }

        @Override
        public void loadProbed(Engine engine, boolean answered, LoadReport report) {
            record("in:probed", engine.id, answered, format(visibleReport(report)));
            policy.loadProbed(engine, answered, visibleReport(report));
        }

        @Override
        public void endpointsChanged(List<EndpointUpdate> entries, boolean complete) {
            record("in:listed", complete, entries.size());
            for (EndpointUpdate entry : entries) {
                record(
                        "in:entry",
                        entry.engine().id,
                        label(entry.role()),
                        label(entry.state()),
                        entry.startMs(),
                        entry.capacityWeight(),
                        entry.zone(),
                        entry.rack(),
                        entry.memoryTokens());
            }
            policy.endpointsChanged(entries, complete);
        }

        @Override
        public void wakeUp() {
            if (listRequested && listFailures < LIST_FAILURES) {
                listRequested = false;
                listFailures++;
                record("in:list-failed");
                policy.endpointWatchFailed();
            }
            if (variant == Variant.INJECTED_EVENTS) {
                releaseStates();
            }
            record("in:woken");
            policy.wakeUp();
        }

        private void releaseStates() {
            writes.removeIf(
                    attempt -> !attempt.isInFlight() || started.contains(attempt.generation));
            for (Attempt attempt : List.copyOf(writes)) {
                if (host.nowMs() - attempt.sentMs > STATE_RELEASED_AFTER_MS) {
                    writes.remove(attempt);
                    stateReleased(attempt);
                }
            }
        }

        // ------------------------------------------------------------------ actions

        @Override
        public double nowMs() {
            return host.nowMs();
        }

        @Override
        public void send(Attempt attempt) {
            record(
                    "out:send",
                    attempt.generation.id,
                    attempt.number,
                    attemptKind(attempt),
                    attempt.engine.id,
                    attempt.sentMs,
                    attempt.heldTokens,
                    attempt.unreadTokens(),
                    attempt.silenceTimeoutMs());
            if (!attempt.readsOnly) {
                writes.add(attempt);
            }
            if (attempt.engine.startMs() > host.nowMs() - 2500) {
                record("out:sent-to-cold", attempt.engine.id);
            }
            host.send(attempt);
        }

        @Override
        public void cancel(Attempt attempt) {
            record("out:cancel", attempt.generation.id, attempt.number);
            host.cancel(attempt);
        }

        @Override
        public void releaseState(Generation generation) {
            record("out:release", generation.id);
            host.releaseState(generation);
        }

        @Override
        public void reject(Generation generation, double retryAfterMs) {
            record("out:throttle", generation.id, retryAfterMs, label(generation.giveUpReason()));
            host.reject(generation, retryAfterMs);
        }

        @Override
        public void fail(Generation generation) {
            record("out:terminate", generation.id, label(generation.giveUpReason()));
            host.fail(generation);
        }

        @Override
        public void probeLoad(Engine engine) {
            record("out:probe", engine.id);
            host.probeLoad(engine);
        }

        @Override
        public void wakeAt(double atMs) {
            record("out:wake", atMs);
            host.wakeAt(atMs);
        }

        @Override
        public void watchEndpoints() {
            record("out:follow-list");
            listRequested = true;
            host.watchEndpoints();
        }

        @Override
        public void log(String line) {
            // Only the numbers are recorded, so that the wording of the line may change.
            record("out:log", line.replaceAll("[^0-9]+", " ").trim());
            host.log(line);
        }
    }
}
