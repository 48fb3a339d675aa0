package larchridge.state;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * The engines that the endpoint list has named, by what they can do now. An engine that the list
 * removes is kept until its last attempt has ended, so that it is known again if it comes back.
 */
public final class EngineRegistry {
    private final List<Engine> engines = new ArrayList<>();
    private final List<Engine> readers = new ArrayList<>();
    private final List<Engine> writers = new ArrayList<>();
    private int revision;

    /** The engines that read and may get attempts, by id; not to be changed. */
    public List<Engine> readers() {
        return readers;
    }

    /** The engines that write and may get attempts, by id; not to be changed. */
    public List<Engine> writers() {
        return writers;
    }

    /** How many lists or changes were applied. */
    public int revision() {
        return revision;
    }

    /** Applies entries of the list; a complete list removes every engine that it lacks. */
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
        // Guards against: a new process under an old id keeps nothing of what the old one was known
        // for.
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
