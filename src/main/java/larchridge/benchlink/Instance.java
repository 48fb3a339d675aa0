package larchridge.benchlink;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import larchridge.Choice;
import larchridge.Host;
import larchridge.state.Account;
import larchridge.state.Attempt;
import larchridge.state.Engine;
import larchridge.state.Gen;
import larchridge.state.Listing;
import larchridge.state.Mode;
import larchridge.state.Outcome;
import larchridge.state.Product;
import larchridge.state.Report;
import larchridge.state.Role;
import larchridge.state.Text;
import larchridge.state.Texts;
import larchridge.terms.BadTerms;
import larchridge.terms.Given;

/** One front: its ids, its decision module, and the lines between the two. */
final class Instance implements Host {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final long who;
    private final Link.Reply reply;

    private double nowMs;
    private Given env;
    private Choice choice;
    private final Map<String, Gen> gens = new HashMap<>();
    private final Map<Long, Engine> engines = new HashMap<>();
    private final Map<String, Text> sessions = new Texts();
    private final Map<String, Text> prefixes = new Texts();

    Instance(long who, Link.Reply reply) {
        this.who = who;
        this.reply = reply;
    }

    void take(Line line, double now) throws BadLine {
        nowMs = now;
        if (line.is("ENLIST")) {
            tearDown();
            env = settings(line);
            guarded(() -> choice = new Choice(env.terms, this));
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
            case "ELAPSED" -> guarded(choice::woken);
            case "TIMED_OUT_CLIENT" -> departed(line);
            case "BACKENDS_CHANGED" -> list(line);
            case "PROBED" -> probed(line);
            default -> {}
        }
    }

    private static Given settings(Line line) throws BadLine {
        try {
            return Given.read(MAPPER.readTree(line.rest("env")), line.whole("seed"));
        } catch (JsonProcessingException e) {
            throw line.bad(
                    "member env is broken JSON; expected an object ("
                            + e.getOriginalMessage()
                            + ")");
        } catch (BadTerms e) {
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

    private void call(Line line) throws BadLine {
        String id = line.text("job");
        Product product = env.products.get(line.text("service"));
        if (product == null) {
            throw line.bad(
                    "member service is '"
                            + line.text("service")
                            + "'; expected a name in request_classes");
        }
        Account account = env.accounts.get(line.textOr("tenant", ""));
        Text session = text(sessions, line.textOr("talk", null));
        Text prefix = text(prefixes, line.textOr("prefix", null));
        double hint = line.decimalOr("expected_s", Double.NaN) * 1000 / product.tokMs;
        Gen gen =
                new Gen(
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
        gens.put(id, gen);
        guarded(() -> choice.arrived(gen));
        letGo(id, gen);
    }

    private static Text text(Map<String, Text> texts, String id) {
        return id == null || id.equals("0") ? null : texts.computeIfAbsent(id, Text::new);
    }

    private void ended(Line line) throws BadLine {
        String id = line.text("job");
        Gen gen = gens.get(id);
        int number = (int) line.whole("round_no");
        if (gen == null || number < 0 || number >= gen.attempts.size()) {
            return;
        }
        Attempt attempt = gen.attempts.get(number);
        boolean over = line.flag("no_more");
        Report report = report(line);
        String word = line.text("disposition");
        int note = (int) line.decimalOr("note", 0);
        if (word.equals("half_done")) {
            guarded(() -> choice.readDone(attempt, note, report, over));
        } else {
            Outcome outcome =
                    switch (word) {
                        case "pass" -> Outcome.STREAMED;
                        case "fault" -> Outcome.FAULT;
                        case "no_room" -> note == 1 ? Outcome.NO_STATE : Outcome.FULL;
                        case "too_slow" -> Outcome.TIMED_OUT;
                        case "no_route" -> Outcome.UNREACHABLE;
                        case "cut" -> Outcome.CUT;
                        case "undone" -> Outcome.CANCELLED;
                        case "stale_send" -> Outcome.NOT_SENT;
                        default ->
                                throw line.bad(
                                        "member disposition is '"
                                                + word
                                                + "'; expected a known outcome");
                    };
            guarded(() -> choice.ended(attempt, outcome, report, over));
        }
        letGo(id, gen);
    }

    private void begun(Line line) throws BadLine {
        Gen gen = gens.get(line.text("job"));
        int number = (int) line.whole("round_no");
        if (gen != null && number >= 0 && number < gen.attempts.size()) {
            guarded(() -> choice.begun(gen.attempts.get(number)));
        }
    }

    private void departed(Line line) throws BadLine {
        String id = line.text("job");
        Gen gen = gens.get(id);
        if (gen != null) {
            guarded(() -> choice.departed(gen));
            letGo(id, gen);
        }
    }

    private void probed(Line line) throws BadLine {
        Engine engine = engines.get(line.whole("engine"));
        if (engine != null) {
            boolean answered = line.valueIs("disposition", "pass");
            Report report = report(line);
            guarded(() -> choice.probed(engine, answered, report));
        }
    }

    private void list(Line line) throws BadLine {
        String kind = line.text("kind");
        long count = line.wholeOr("entries", 0);
        List<Listing> entries = new ArrayList<>();
        for (long i = 0; i < count; i++) {
            if (!next(line) || !line.is("ENTRY")) {
                throw line.bad(
                        "expected " + count + " ENTRY lines after BACKENDS_CHANGED, found " + i);
            }
            entries.add(entry(line));
        }
        switch (kind) {
            case "INCREMENTAL" -> guarded(() -> choice.listed(entries, false));
            case "FULL", "SAVED" -> guarded(() -> choice.listed(entries, true));
            case "FAILED" -> guarded(choice::listFailed);
            default ->
                    throw line.bad(
                            "member kind is '"
                                    + kind
                                    + "'; expected INCREMENTAL, FULL, SAVED or FAILED");
        }
        engines.values().removeIf(engine -> engine.mode == Mode.GONE && engine.attempts.isEmpty());
    }

    private static boolean next(Line line) throws BadLine {
        try {
            return line.advance();
        } catch (java.io.IOException e) {
            throw line.bad("the wire broke: " + e.getMessage());
        }
    }

    private Listing entry(Line line) throws BadLine {
        long id = line.whole("engine");
        String kind = line.textOr("class_of_host", "");
        Mode mode =
                switch (line.text("mode")) {
                    case "healthy" -> Mode.READY;
                    case "cordoned" -> Mode.DRAINING;
                    case "deregistered" -> Mode.GONE;
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
        return new Listing(
                engine,
                mode,
                line.decimalOr("start_time_s", 0) * 1000,
                line.decimalOr("units", 1),
                line.textOr("zone", ""),
                line.wholeOr("group", 0),
                env.roles.getOrDefault(kind, Role.BOTH),
                env.memory.getOrDefault(kind, Double.NaN));
    }

    private static Report report(Line line) throws BadLine {
        if (!line.has("pressure")) {
            return null;
        }
        return Given.report(name -> line.pair("pressure", name));
    }

    /** A generation is kept for as long as the wire may still name it. */
    private void letGo(String id, Gen gen) {
        if (gen.over && gen.attemptsOut == 0) {
            gens.remove(id);
        }
    }

    private Link.Reply line(String name) {
        return reply.line(who, name);
    }

    private static String oneLine(String text) {
        return text.replace('\n', ' ').replace('\r', ' ');
    }

    @Override
    public double now() {
        return nowMs;
    }

    @Override
    public void send(Attempt attempt) {
        line("HAND_OFF")
                .text(" job=")
                .text(attempt.gen.label)
                .text(" engine=")
                .whole(attempt.engine.label)
                .end();
    }

    @Override
    public void cancel(Attempt attempt) {
        line("CANCEL")
                .text(" job=")
                .text(attempt.gen.label)
                .text(" round_no=")
                .whole(attempt.number)
                .end();
    }

    @Override
    public void release(Gen gen) {
        line("UNPIN").text(" job=").text(gen.label).end();
    }

    @Override
    public void throttle(Gen gen, double comeBackMs) {
        Link.Reply to = line("DECLINE").text(" job=").text(gen.label);
        if (comeBackMs > 0) {
            to.text(" hold_off_s=").seconds(comeBackMs);
        }
        to.end();
    }

    @Override
    public void terminate(Gen gen) {
        line("REPORT_FAILURE").text(" job=").text(gen.label).end();
    }

    @Override
    public void probe(Engine engine) {
        line("INSPECT").text(" engine=").whole(engine.label).end();
    }

    @Override
    public void wake(double atMs) {
        line("WAKE_ME").text(" alarm_time_s=").seconds(atMs).text(" label=w").end();
    }

    @Override
    public void followList() {
        line("TAIL").text(" on=1").end();
    }

    @Override
    public void log(String text) {
        line("EMIT").text(" message=").text(oneLine(text)).end();
    }
}
