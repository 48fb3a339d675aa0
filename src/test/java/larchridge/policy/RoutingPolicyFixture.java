package larchridge.policy;

import java.util.ArrayList;
import java.util.List;
import larchridge.state.Attempt;
import larchridge.state.CachedPrefix;
import larchridge.state.DeduplicationScope;
import larchridge.state.Effect;
import larchridge.state.EndpointState;
import larchridge.state.EndpointUpdate;
import larchridge.state.Engine;
import larchridge.state.Generation;
import larchridge.state.Role;
import larchridge.state.RoutingSettings;
import larchridge.state.TrafficClass;

/** A host that writes down what it is asked for, and short ways to build state. */
final class RoutingPolicyFixture implements PolicyActions {
    /** Times that the module has asked to be woken. */
    int wakes;

    final List<String> said = new ArrayList<>();
    final List<Attempt> sent = new ArrayList<>();
    final RoutingSettings.Builder settings = RoutingSettings.builder();
    double now = 100_000;
    RoutingPolicy choice;

    RoutingPolicyFixture() {
        settings.routers(2);
        settings.zone("z");
        settings.maxAttempts(5);
        settings.cancellationAllowed(true);
        settings.probesAllowed(true);
        settings.hedgingAllowed(true);
        settings.reportsWithAnswers(true);
        settings.slowStartShare(0.3);
        settings.slowStartMs(10_000);
        settings.overloadMultiple(2.5);
        settings.overloadMs(1000);
    }

    RoutingPolicy start() {
        choice = new RoutingPolicy(settings.build(), this);
        return choice;
    }

    EndpointUpdate listing(Engine engine, Role role, EndpointState mode, double startMs) {
        return new EndpointUpdate(engine, mode, startMs, 1, "z", 0, role, 200_000);
    }

    Engine[] fleet(int readers, int writers) {
        Engine[] fleet = new Engine[readers + writers];
        List<EndpointUpdate> list = new ArrayList<>();
        for (int i = 0; i < fleet.length; i++) {
            fleet[i] = new Engine(i + 1);
            list.add(
                    listing(
                            fleet[i],
                            i < readers ? Role.READER : Role.WRITER,
                            EndpointState.READY,
                            0));
        }
        choice.endpointsChanged(list, true);
        return fleet;
    }

    static TrafficClass product(Effect effect, DeduplicationScope span) {
        return new TrafficClass("p", effect, span, 5000, 1, 0.1, 1000, 0.04, 60);
    }

    Generation gen(String label) {
        return gen(label, product(Effect.IDEMPOTENT, DeduplicationScope.ALL), null, 1000);
    }

    Generation gen(String label, TrafficClass product, CachedPrefix session, int promptTokens) {
        return new Generation(
                label,
                product,
                null,
                session,
                null,
                promptTokens,
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
    public double nowMs() {
        return now;
    }

    @Override
    public void send(Attempt attempt) {
        sent.add(attempt);
        said.add("send " + attempt.generation.id + " " + attempt.engine.label);
    }

    @Override
    public void cancel(Attempt attempt) {
        said.add("cancel " + attempt.generation.id + " " + attempt.number);
    }

    @Override
    public void releaseState(Generation generation) {
        said.add("release " + generation.id);
    }

    @Override
    public void reject(Generation generation, double comeBackMs) {
        said.add("throttle " + generation.id);
    }

    @Override
    public void fail(Generation generation) {
        said.add("terminate " + generation.id);
    }

    @Override
    public void probeLoad(Engine engine) {
        said.add("probe " + engine.label);
    }

    @Override
    public void wakeAt(double atMs) {
        wakes++;
    }

    @Override
    public void watchEndpoints() {
        said.add("follow");
    }

    @Override
    public void log(String line) {}
}
