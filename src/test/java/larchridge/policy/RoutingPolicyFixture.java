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

/**
 * A fake router that records the actions of its policy, with helpers to create engines and
 * generations.
 */
final class RoutingPolicyFixture implements PolicyActions {
    /** Number of wake-ups the policy has scheduled. */
    int scheduledWakeUps;

    final List<String> actions = new ArrayList<>();
    final List<Attempt> sent = new ArrayList<>();
    final RoutingSettings.Builder settings = RoutingSettings.builder();
    double nowMs = 100_000;
    RoutingPolicy policy;

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
        policy = new RoutingPolicy(settings.build(), this);
        return policy;
    }

    EndpointUpdate update(Engine engine, Role role, EndpointState state, double startMs) {
        return new EndpointUpdate(engine, state, startMs, 1, "z", 0, role, 200_000);
    }

    Engine[] engines(int readers, int writers) {
        Engine[] engines = new Engine[readers + writers];
        List<EndpointUpdate> updates = new ArrayList<>();
        for (int i = 0; i < engines.length; i++) {
            engines[i] = new Engine(i + 1);
            updates.add(
                    update(
                            engines[i],
                            i < readers ? Role.READER : Role.WRITER,
                            EndpointState.READY,
                            0));
        }
        policy.endpointsChanged(updates, true);
        return engines;
    }

    static TrafficClass trafficClass(Effect effect, DeduplicationScope scope) {
        return new TrafficClass("p", effect, scope, 5000, 1, 0.1, 1000, 0.04, 60);
    }

    Generation generation(String id) {
        return generation(id, trafficClass(Effect.IDEMPOTENT, DeduplicationScope.ALL), null, 1000);
    }

    Generation generation(
            String id, TrafficClass trafficClass, CachedPrefix sessionPrefix, int promptTokens) {
        return new Generation(
                id,
                trafficClass,
                null,
                sessionPrefix,
                null,
                promptTokens,
                0,
                200,
                Double.NaN,
                false,
                nowMs,
                nowMs + 5000);
    }

    Attempt last() {
        return sent.get(sent.size() - 1);
    }

    boolean hasAction(String kind) {
        return actions.stream().anyMatch(action -> action.startsWith(kind));
    }

    @Override
    public double nowMs() {
        return nowMs;
    }

    @Override
    public void send(Attempt attempt) {
        sent.add(attempt);
        actions.add("send " + attempt.generation.id + " " + attempt.engine.id);
    }

    @Override
    public void cancel(Attempt attempt) {
        actions.add("cancel " + attempt.generation.id + " " + attempt.number);
    }

    @Override
    public void releaseState(Generation generation) {
        actions.add("release " + generation.id);
    }

    @Override
    public void reject(Generation generation, double retryAfterMs) {
        actions.add("throttle " + generation.id);
    }

    @Override
    public void fail(Generation generation) {
        actions.add("terminate " + generation.id);
    }

    @Override
    public void probeLoad(Engine engine) {
        actions.add("probe " + engine.id);
    }

    @Override
    public void wakeAt(double atMs) {
        scheduledWakeUps++;
    }

    @Override
    public void watchEndpoints() {
        actions.add("follow");
    }

    @Override
    public void log(String line) {}
}
