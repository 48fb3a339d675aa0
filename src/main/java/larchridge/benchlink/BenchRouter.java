package larchridge.benchlink;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import larchridge.policy.PolicyActions;
import larchridge.policy.RoutingPolicy;
import larchridge.settings.InvalidSettingsException;
import larchridge.settings.RoutingSettingsReader;
import larchridge.state.Attempt;
import larchridge.state.AttemptOutcome;
import larchridge.state.CachedPrefix;
import larchridge.state.EndpointState;
import larchridge.state.EndpointUpdate;
import larchridge.state.Engine;
import larchridge.state.Generation;
import larchridge.state.LoadReport;
import larchridge.state.PrefixRegistry;
import larchridge.state.Role;
import larchridge.state.TenantQuota;
import larchridge.state.TrafficClass;

/** One front: its ids, its decision module, and the lines between the two. */
final class BenchRouter implements PolicyActions {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final long who;
    private final BenchProtocol.Reply reply;

    private double nowMs;
    private RoutingSettingsReader env;
    private RoutingPolicy choice;
    private final Map<String, Generation> gens = new HashMap<>();
    private final Map<Long, Engine> engines = new HashMap<>();
    private final Map<String, CachedPrefix> sessions = new PrefixRegistry();
    private final Map<String, CachedPrefix> prefixes = new PrefixRegistry();

    BenchRouter(long who, BenchProtocol.Reply reply) {
        this.who = who;
        this.reply = reply;
    }

    void take(MessageReader line, double now) throws InvalidMessageException {
        nowMs = now;
        if (line.is("ENLIST")) {
            tearDown();
            env = settings(line);
            guarded(() -> choice = new RoutingPolicy(env.terms, this));
            return;
        }
        if (line.is("TEARDOWN")) {
            tearDown();
            return;
        }
        if (choice == null) {
            throw line.bad("instance " + who + " is not started; expected ENLIST first");
        }
        switch (line.name()) {
            case "CALL" -> call(line);
            case "REPLY" -> ended(line);
            case "BEGUN" -> begun(line);
            case "ELAPSED" -> guarded(choice::wakeUp);
            case "TIMED_OUT_CLIENT" -> departed(line);
            case "BACKENDS_CHANGED" -> list(line);
            case "PROBED" -> probed(line);
            default -> {}
        }
    }

    private static RoutingSettingsReader settings(MessageReader line)
            throws InvalidMessageException {
        try {
            return RoutingSettingsReader.read(
                    MAPPER.readTree(line.rest("env")), line.whole("seed"));
        } catch (JsonProcessingException e) {
            throw line.bad(
                    "member env is broken JSON; expected an object ("
                            + e.getOriginalMessage()
                            + ")");
        } catch (InvalidSettingsException e) {
            throw line.bad("member env: " + e.getMessage());
        }
    }

    private void tearDown() {
        choice = null;
        gens.clear();
        engines.clear();
        sessions.clear();
        prefixes.clear();
    }

    /** A failure of the module ends the day with its cause instead of a silent exit. */
    private void guarded(Runnable call) {
        try {
            call.run();
        } catch (RuntimeException e) {
            StackTraceElement[] trace = e.getStackTrace();
            String where = trace.length > 0 ? " at " + trace[0] : "";
            line("BROKEN").text(" message=").text(oneLine(e + where)).end();
        }
    }

    private void call(MessageReader line) throws InvalidMessageException {
        String id = line.text("job");
        TrafficClass product = env.products.get(line.text("service"));
        if (product == null) {
            throw line.bad(
                    "member service is '"
                            + line.text("service")
                            + "'; expected a name in request_classes");
        }
        TenantQuota account = env.accounts.get(line.textOr("tenant", ""));
        CachedPrefix session = text(sessions, line.textOr("talk", null));
        CachedPrefix prefix = text(prefixes, line.textOr("prefix", null));
        double hint = line.decimalOr("expected_s", Double.NaN) * 1000 / product.tokenMs;
        Generation generation =
                new Generation(
                        id,
                        product,
                        account,
                        session,
                        prefix,
                        (int) line.wholeOr("n_prompt", 0),
                        (int) line.wholeOr("shared_len", 0),
                        (int) line.wholeOr("n_max", 0),
                        hint,
                        line.flag("resent"),
                        nowMs,
                        line.decimal("not_after_s") * 1000);
        gens.put(id, generation);
        guarded(() -> choice.requestArrived(generation));
        letGo(id, generation);
    }

    private static CachedPrefix text(Map<String, CachedPrefix> texts, String id) {
        return id == null || id.equals("0") ? null : texts.computeIfAbsent(id, CachedPrefix::new);
    }

    private void ended(MessageReader line) throws InvalidMessageException {
        String id = line.text("job");
        Generation generation = gens.get(id);
        int number = (int) line.whole("round_no");
        if (generation == null || number < 0 || number >= generation.attempts().size()) {
            return;
        }
        Attempt attempt = generation.attempts().get(number);
        boolean over = line.flag("no_more");
        LoadReport report = report(line);
        String word = line.text("disposition");
        int note = (int) line.decimalOr("note", 0);
        if (word.equals("half_done")) {
            guarded(() -> choice.readCompleted(attempt, note, report, over));
        } else {
            AttemptOutcome outcome =
                    switch (word) {
                        case "pass" -> AttemptOutcome.STREAMED;
                        case "fault" -> AttemptOutcome.FAULT;
                        case "no_room" -> note == 1 ? AttemptOutcome.NO_STATE : AttemptOutcome.FULL;
                        case "too_slow" -> AttemptOutcome.TIMED_OUT;
                        case "no_route" -> AttemptOutcome.UNREACHABLE;
                        case "cut" -> AttemptOutcome.CUT;
                        case "undone" -> AttemptOutcome.CANCELLED;
                        case "stale_send" -> AttemptOutcome.NOT_SENT;
                        default ->
                                throw line.bad(
                                        "member disposition is '"
                                                + word
                                                + "'; expected a known outcome");
                    };
            guarded(() -> choice.attemptEnded(attempt, outcome, report, over));
        }
        letGo(id, generation);
    }

    private void begun(MessageReader line) throws InvalidMessageException {
        Generation generation = gens.get(line.text("job"));
        int number = (int) line.whole("round_no");
        if (generation != null && number >= 0 && number < generation.attempts().size()) {
            guarded(() -> choice.responseStarted(generation.attempts().get(number)));
        }
    }

    private void departed(MessageReader line) throws InvalidMessageException {
        String id = line.text("job");
        Generation generation = gens.get(id);
        if (generation != null) {
            guarded(() -> choice.clientDisconnected(generation));
            letGo(id, generation);
        }
    }

    private void probed(MessageReader line) throws InvalidMessageException {
        Engine engine = engines.get(line.whole("engine"));
        if (engine != null) {
            boolean answered = line.valueIs("disposition", "pass");
            LoadReport report = report(line);
            guarded(() -> choice.loadProbed(engine, answered, report));
        }
    }

    private void list(MessageReader line) throws InvalidMessageException {
        String kind = line.text("kind");
        long count = line.wholeOr("entries", 0);
        List<EndpointUpdate> entries = new ArrayList<>();
        for (long i = 0; i < count; i++) {
            if (!next(line) || !line.is("ENTRY")) {
                throw line.bad(
                        "expected " + count + " ENTRY lines after BACKENDS_CHANGED, found " + i);
            }
            entries.add(entry(line));
        }
        switch (kind) {
            case "INCREMENTAL" -> guarded(() -> choice.endpointsChanged(entries, false));
            case "FULL", "SAVED" -> guarded(() -> choice.endpointsChanged(entries, true));
            case "FAILED" -> guarded(choice::endpointWatchFailed);
            default ->
                    throw line.bad(
                            "member kind is '"
                                    + kind
                                    + "'; expected INCREMENTAL, FULL, SAVED or FAILED");
        }
        engines.values()
                .removeIf(
                        engine ->
                                engine.state() == EndpointState.REMOVED
                                        && engine.attempts().isEmpty());
    }

    private static boolean next(MessageReader line) throws InvalidMessageException {
        try {
            return line.advance();
        } catch (java.io.IOException e) {
            throw line.bad("the wire broke: " + e.getMessage());
        }
    }

    private EndpointUpdate entry(MessageReader line) throws InvalidMessageException {
        long id = line.whole("engine");
        String kind = line.textOr("class_of_host", "");
        EndpointState mode =
                switch (line.text("mode")) {
                    case "healthy" -> EndpointState.READY;
                    case "cordoned" -> EndpointState.DRAINING;
                    case "deregistered" -> EndpointState.REMOVED;
                    default ->
                            throw line.bad(
                                    "member mode is '"
                                            + line.text("mode")
                                            + "'; expected healthy, cordoned or deregistered");
                };
        Engine engine = engines.get(id);
        if (engine == null) {
            engine = new Engine(id);
            engines.put(id, engine);
        }
        return new EndpointUpdate(
                engine,
                mode,
                line.decimalOr("start_time_s", 0) * 1000,
                line.decimalOr("units", 1),
                line.textOr("zone", ""),
                line.wholeOr("group", 0),
                env.roles.getOrDefault(kind, Role.BOTH),
                env.memory.getOrDefault(kind, Double.NaN));
    }

    private static LoadReport report(MessageReader line) throws InvalidMessageException {
        if (!line.has("pressure")) {
            return null;
        }
        return RoutingSettingsReader.report(name -> line.pair("pressure", name));
    }

    /** A generation is kept for as long as the wire may still name it. */
    private void letGo(String id, Generation generation) {
        if (generation.isFinished() && generation.attemptsInFlight() == 0) {
            gens.remove(id);
        }
    }

    private BenchProtocol.Reply line(String name) {
        return reply.line(who, name);
    }

    private static String oneLine(String text) {
        return text.replace('\n', ' ').replace('\r', ' ');
    }

    @Override
    public double nowMs() {
        return nowMs;
    }

    @Override
    public void send(Attempt attempt) {
        line("HAND_OFF")
                .text(" job=")
                .text(attempt.generation.id)
                .text(" engine=")
                .whole(attempt.engine.label)
                .end();
    }

    @Override
    public void cancel(Attempt attempt) {
        line("CANCEL")
                .text(" job=")
                .text(attempt.generation.id)
                .text(" round_no=")
                .whole(attempt.number)
                .end();
    }

    @Override
    public void releaseState(Generation generation) {
        line("UNPIN").text(" job=").text(generation.id).end();
    }

    @Override
    public void reject(Generation generation, double comeBackMs) {
        BenchProtocol.Reply to = line("DECLINE").text(" job=").text(generation.id);
        if (comeBackMs > 0) {
            to.text(" hold_off_s=").seconds(comeBackMs);
        }
        to.end();
    }

    @Override
    public void fail(Generation generation) {
        line("REPORT_FAILURE").text(" job=").text(generation.id).end();
    }

    @Override
    public void probeLoad(Engine engine) {
        line("INSPECT").text(" engine=").whole(engine.label).end();
    }

    @Override
    public void wakeAt(double atMs) {
        line("WAKE_ME").text(" alarm_time_s=").seconds(atMs).text(" label=w").end();
    }

    @Override
    public void watchEndpoints() {
        line("TAIL").text(" on=1").end();
    }

    @Override
    public void log(String text) {
        line("EMIT").text(" message=").text(oneLine(text)).end();
    }
}
