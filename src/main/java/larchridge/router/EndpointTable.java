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

/** The engines of the endpoint list, with the addresses at which they listen. */
final class EndpointTable {
    private final Map<Long, Engine> enginesById = new HashMap<>();
    private final Map<Engine, EngineEntry> entries = new HashMap<>();

    /**
     * Takes a new complete list and returns it as updates for the policy. An id at another address
     * is another engine; the old one counts as removed.
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
        // Guards against: what is known of an address, and the attempts in flight there, are not
        // those of the new one.
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

    /** Where an engine of the list listens. */
    Endpoint endpointOf(Engine engine) {
        EngineEntry entry = entries.get(engine);
        return new Endpoint(entry.host(), entry.port());
    }

    /** Visits all engines with where they listen. */
    void forEach(BiConsumer<Endpoint, Engine> visitor) {
        entries.forEach(
                (engine, entry) ->
                        visitor.accept(new Endpoint(entry.host(), entry.port()), engine));
    }
}
