package larchridge.state;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** The engines that this front's list has named, by what they can do now. */
public final class EngineRegistry {
    public final List<Engine> readers = new ArrayList<>();
    public final List<Engine> writers = new ArrayList<>();

    /** How many lists or changes were taken. */
    public int revision;

    private final List<Engine> engines = new ArrayList<>();

    /** A complete list counts as news of the end of every engine that it lacks. */
    public void apply(List<EndpointUpdate> entries, boolean complete, double nowMs) {
        if (complete) {
            engines.forEach(engine -> engine.state = EndpointState.REMOVED);
        }
        for (EndpointUpdate entry : entries) {
            Engine engine = entry.engine();
            if (!engines.contains(engine)) {
                engines.add(engine);
            }
            if (entry.state() == EndpointState.REMOVED) {
                engine.state = EndpointState.REMOVED;
                continue;
            }
            // Guards against: a new process under an old id keeps nothing of what the old one was
            // known
            // for.
            if (engine.startMs != entry.startMs()) {
                engine.forgetProcess(nowMs);
            }
            engine.apply(entry);
        }
        engines.removeIf(
                engine -> engine.state == EndpointState.REMOVED && engine.attempts.isEmpty());
        engines.sort(Comparator.comparingLong(engine -> engine.label));
        revision++;
        readers.clear();
        writers.clear();
        for (Engine engine : engines) {
            if (engine.state == EndpointState.READY) {
                (engine.role == Role.READER ? readers : writers).add(engine);
            }
        }
    }
}
