package larchridge.router;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import larchridge.inventory.EngineEntry;
import larchridge.state.EndpointState;
import larchridge.state.EndpointUpdate;
import larchridge.state.Engine;
import larchridge.upstream.Endpoint;

/** The engines in the endpoint list, with their addresses. */
final class EndpointTable {
    private final Map<Long, Engine> enginesById = new HashMap<>();
    private final Map<Engine, EngineEntry> entries = new HashMap<>();

    /**
     * Replaces the complete list and returns it as updates for the routing policy. An id at a new
     * address is a new engine; the previous one counts as removed.
     */
    List<EndpointUpdate> replaceWith(List<EngineEntry> list) {
        List<EndpointUpdate> updates = new ArrayList<>();
        for (EngineEntry entry : list) {
            Engine engine = engineOf(entry);
            entries.put(engine, entry);
            updates.add(
                    new EndpointUpdate(
                            engine,
                            entry.state(),
                            entry.startMs(),
                            entry.capacityUnits(),
                            entry.zone(),
                            entry.rack(),
                            entry.role(),
                            entry.memoryTokens()));
        }
        return updates;
    }

    private Engine engineOf(EngineEntry entry) {
        Engine engine = enginesById.computeIfAbsent(entry.id(), Engine::new);
        EngineEntry previous = entries.get(engine);
        if (previous == null
                || (previous.port() == entry.port() && previous.host().equals(entry.host()))) {
            return engine;
        }
        // Guards against: the statistics of the previous address, and the attempts in flight there,
        // would be attributed to the new one.
        Engine replacement = new Engine(entry.id());
        enginesById.put(entry.id(), replacement);
        return replacement;
    }

    /** Drops the engines that the policy has removed and that have no attempt in flight. */
    void dropRemoved() {
        enginesById
                .values()
                .removeIf(
                        engine ->
                                engine.state() == EndpointState.REMOVED
                                        && engine.attempts().isEmpty());
        entries.keySet().removeIf(engine -> !enginesById.containsValue(engine));
    }

    /** The address of a listed engine. */
    Endpoint endpointOf(Engine engine) {
        EngineEntry entry = entries.get(engine);
        return new Endpoint(entry.host(), entry.port());
    }

    /** Visits all engines with their addresses. */
    void forEach(BiConsumer<Endpoint, Engine> visitor) {
        entries.forEach(
                (engine, entry) ->
                        visitor.accept(new Endpoint(entry.host(), entry.port()), engine));
    }
}
