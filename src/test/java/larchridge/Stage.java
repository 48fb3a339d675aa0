package larchridge;

import java.util.ArrayList;
import java.util.List;
import larchridge.state.Attempt;
import larchridge.state.Effect;
import larchridge.state.Engine;
import larchridge.state.Gen;
import larchridge.state.Listing;
import larchridge.state.Mode;
import larchridge.state.Product;
import larchridge.state.Role;
import larchridge.state.Span;
import larchridge.state.Terms;
import larchridge.state.Text;

/** A host that writes down what it is asked for, and short ways to build state. */
final class Stage implements Host {
    /** Times that the module has asked to be woken. */
    int wakes;

    final List<String> said = new ArrayList<>();
    final List<Attempt> sent = new ArrayList<>();
    final Terms terms = new Terms();
    double now = 100_000;
    Choice choice;

    Stage() {
        terms.fronts = 2;
        terms.zone = "z";
        terms.maxAttempts = 5;
        terms.mayCancel = true;
        terms.mayProbe = true;
        terms.maySendCopies = true;
        terms.reportsWithAnswers = true;
        terms.coldShare = 0.3;
        terms.coldMs = 10_000;
        terms.tipMultiple = 2.5;
        terms.tipMs = 1000;
    }

    Choice start() {
        choice = new Choice(terms, this);
        return choice;
    }

    Listing listing(Engine engine, Role role, Mode mode, double startMs) {
        return new Listing(engine, mode, startMs, 1, "z", 0, role, 200_000);
    }

    Engine[] fleet(int readers, int writers) {
        Engine[] fleet = new Engine[readers + writers];
        List<Listing> list = new ArrayList<>();
        for (int i = 0; i < fleet.length; i++) {
            fleet[i] = new Engine(i + 1);
            list.add(listing(fleet[i], i < readers ? Role.READER : Role.WRITER, Mode.READY, 0));
        }
        choice.listed(list, true);
        return fleet;
    }

    static Product product(Effect effect, Span span) {
        return new Product("p", effect, span, 5000, 1, 0.1, 1000, 0.04, 60);
    }

    Gen gen(String label) {
        return gen(label, product(Effect.IDEMPOTENT, Span.ALL), null, 1000);
    }

    Gen gen(String label, Product product, Text session, int promptToks) {
        return new Gen(
                label,
                product,
                null,
                session,
                null,
                promptToks,
                0,
                200,
                Double.NaN,
                false,
                now,
                now + 5000);
    }

    Attempt last() {
        return sent.get(sent.size() - 1);
    }

    boolean heardOf(String word) {
        return said.stream().anyMatch(line -> line.startsWith(word));
    }

    @Override
    public double now() {
        return now;
    }

    @Override
    public void send(Attempt attempt) {
        sent.add(attempt);
        said.add("send " + attempt.gen.label + " " + attempt.engine.label);
    }

    @Override
    public void cancel(Attempt attempt) {
        said.add("cancel " + attempt.gen.label + " " + attempt.number);
    }

    @Override
    public void release(Gen gen) {
        said.add("release " + gen.label);
    }

    @Override
    public void throttle(Gen gen, double comeBackMs) {
        said.add("throttle " + gen.label);
    }

    @Override
    public void terminate(Gen gen) {
        said.add("terminate " + gen.label);
    }

    @Override
    public void probe(Engine engine) {
        said.add("probe " + engine.label);
    }

    @Override
    public void wake(double atMs) {
        wakes++;
    }

    @Override
    public void followList() {
        said.add("follow");
    }

    @Override
    public void log(String line) {}
}
