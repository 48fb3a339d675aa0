package larchridge.state;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * The engines of the endpoint list, grouped by role. An engine that the list removes is kept until
 * its last attempt has ended, so that its load and health estimates are kept if the list adds it
 * again.
 */
public final class EngineRegistry {
    private final List<Engine> engines = new ArrayList<>();
    private final List<Engine> readers = new ArrayList<>();
    private final List<Engine> writers = new ArrayList<>();
    private int revision;

    /** Ready engines of role READER, ordered by id; the caller must not modify the list. */
    public List<Engine> readers() {
        return readers;
    }

    /** Ready engines that can write, ordered by id; the caller must not modify the list. */
    public List<Engine> writers() {
        return writers;
    }

    /** Number of updates applied so far. */
    public int revision() {
        return revision;
    }

    /** Applies entries of the list; a complete list removes every engine it does not contain. */
    public void apply(List<EndpointUpdate> entries, boolean complete, double nowMs) {
        if (complete) {
            engines.forEach(Engine::remove);
        }
        for (EndpointUpdate entry : entries) {
            apply(entry, nowMs);
        }
        engines.removeIf(
                engine -> engine.state() == EndpointState.REMOVED && engine.attempts().isEmpty());
        engines.sort(Comparator.comparingLong(engine -> engine.id));
        revision++;
        groupByRole();
    }

    private void apply(EndpointUpdate entry, double nowMs) {
        Engine engine = entry.engine();
        if (!engines.contains(engine)) {
            engines.add(engine);
        }
        if (entry.state() == EndpointState.REMOVED) {
            engine.remove();
            return;
        }
        // Guards against: a new process under the id of an old one inheriting its load and health.
        if (engine.startMs() != entry.startMs()) {
            engine.resetForNewProcess(nowMs);
        }
        engine.apply(entry);
    }

    private void groupByRole() {
        readers.clear();
        writers.clear();
        for (Engine engine : engines) {
            if (engine.state() == EndpointState.READY) {
                (engine.role() == Role.READER ? readers : writers).add(engine);
            }
        }
    }
}
