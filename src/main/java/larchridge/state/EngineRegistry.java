package larchridge.state;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** The engines that this front's list has named, by what they can do now. */
public final class EngineRegistry {
    public final List<Engine> readers = new ArrayList<>();
    public final List<Engine> writers = new ArrayList<>();

    /** How many lists or changes were taken. */
    public int lists;

    private final List<Engine> engines = new ArrayList<>();

    /** A complete list counts as news of the end of every engine that it lacks. */
    public void take(List<EndpointUpdate> entries, boolean complete, double nowMs) {
        if (complete) {
            engines.forEach(engine -> engine.mode = EndpointState.GONE);
        }
        for (EndpointUpdate entry : entries) {
            Engine engine = entry.engine();
            if (!engines.contains(engine)) {
                engines.add(engine);
            }
            if (entry.mode() == EndpointState.GONE) {
                engine.mode = EndpointState.GONE;
                continue;
            }
            // Danger: a new process under an old id keeps nothing of what the old one was known
            // for.
            if (engine.startMs != entry.startMs()) {
                engine.forgetProcess(nowMs);
            }
            engine.take(entry);
        }
        engines.removeIf(engine -> engine.mode == EndpointState.GONE && engine.attempts.isEmpty());
        engines.sort(Comparator.comparingLong(engine -> engine.label));
        lists++;
        readers.clear();
        writers.clear();
        for (Engine engine : engines) {
            if (engine.mode == EndpointState.READY) {
                (engine.role == Role.READER ? readers : writers).add(engine);
            }
        }
    }
}
