package larchridge.systemtest;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;
import larchridge.simulatedengine.EngineProfile;
import larchridge.simulatedengine.SimulatedEngine;
import larchridge.simulatedengine.TrafficRecorder;

/**
 * Simulated engines in this process, each on its own event loop context, and the engine list that
 * describes them.
 */
public final class SimulatedFleet implements AutoCloseable {
    private final Vertx vertx;
    private final Map<Long, EngineSlot> slots = new TreeMap<>();

    private record EngineSlot(SimulatedEngine engine, io.vertx.core.Context loop) {}

    /** The state of an engine in the engine list, beside its profile. */
    public record ListEntry(String mode, boolean listed, double startMs) {}

    private final Map<Long, ListEntry> listEntries = new LinkedHashMap<>();

    private SimulatedFleet(Vertx vertx) {
        this.vertx = vertx;
    }

    public static SimulatedFleet start(
            List<EngineProfile> profiles, TrafficRecorder recorder, long seed)
            throws InterruptedException {
        SimulatedFleet fleet =
                new SimulatedFleet(
                        Vertx.vertx(
                                new VertxOptions()
                                        .setEventLoopPoolSize(Math.min(4, profiles.size()))
                                        .setPreferNativeTransport(true)));
        List<Future<Integer>> starts = new ArrayList<>();
        for (EngineProfile profile : profiles) {
            Promise<Integer> started = Promise.promise();
            // Each engine gets its own context; otherwise all would run on one event loop.
            io.vertx.core.internal.ContextInternal context =
                    ((io.vertx.core.internal.VertxInternal) fleet.vertx).createEventLoopContext();
            context.runOnContext(
                    v -> {
                        SimulatedEngine engine =
                                new SimulatedEngine(
                                        fleet.vertx, profile, recorder, seed * 1000 + profile.id());
                        synchronized (fleet) {
                            fleet.slots.put(profile.id(), new EngineSlot(engine, context));
                            fleet.listEntries.put(profile.id(), new ListEntry("ready", true, 0));
                        }
                        engine.start(0, false).onComplete(started);
                    });
            starts.add(started.future());
        }
        try {
            Future.all(starts).toCompletionStage().toCompletableFuture().get(20, TimeUnit.SECONDS);
        } catch (ExecutionException | TimeoutException e) {
            fleet.close();
            throw new IllegalStateException("the simulated engines did not start", e);
        }
        return fleet;
    }

    /** Runs an action on an engine, on its event loop. */
    public void runOn(long id, Consumer<SimulatedEngine> action) {
        EngineSlot slot = slots.get(id);
        slot.loop.runOnContext(v -> action.accept(slot.engine));
    }

    /** Runs an action on an engine, on its event loop, and waits for its result. */
    public <T> T callOn(long id, java.util.function.Function<SimulatedEngine, Future<T>> action)
            throws InterruptedException {
        EngineSlot slot = slots.get(id);
        Promise<T> answer = Promise.promise();
        slot.loop.runOnContext(v -> action.apply(slot.engine).onComplete(answer));
        try {
            return answer.future()
                    .toCompletionStage()
                    .toCompletableFuture()
                    .get(20, TimeUnit.SECONDS);
        } catch (ExecutionException | TimeoutException e) {
            throw new IllegalStateException("engine " + id + " did not answer", e);
        }
    }

    /** Sets the state of an engine in the next engine list. */
    public synchronized void setListEntry(long id, String mode, boolean listed, double startMs) {
        listEntries.put(id, new ListEntry(mode, listed, startMs));
    }

    public synchronized ListEntry listEntry(long id) {
        return listEntries.get(id);
    }

    /** Writes the engine list atomically by a rename, as configuration tools do. */
    public synchronized void writeEngineList(Path file) throws IOException {
        StringBuilder text = new StringBuilder("engines:\n");
        for (Map.Entry<Long, EngineSlot> entry : slots.entrySet()) {
            ListEntry listEntry = listEntries.get(entry.getKey());
            if (!listEntry.listed) {
                continue;
            }
            EngineProfile profile = entry.getValue().engine.profile;
            text.append(
                    String.format(
                            Locale.ROOT,
                            "  - id: %d%n    host: 127.0.0.1%n    port: %d%n    role: %s%n",
                            profile.id(),
                            entry.getValue().engine.port(),
                            profile.role().name().toLowerCase(Locale.ROOT)));
            if (!profile.zone().isEmpty()) {
                text.append("    zone: ").append(profile.zone()).append('\n');
            }
            text.append(
                    String.format(
                            Locale.ROOT,
                            "    rack: %d%n    memory_tokens: %d%n    start: %.0f%n    mode: %s%n",
                            profile.rack(),
                            (long) profile.memoryTokens(),
                            listEntry.startMs,
                            listEntry.mode));
        }
        Path temporaryFile = file.resolveSibling(file.getFileName() + ".part");
        Files.writeString(temporaryFile, text);
        Files.move(
                temporaryFile,
                file,
                StandardCopyOption.REPLACE_EXISTING,
                StandardCopyOption.ATOMIC_MOVE);
    }

    @Override
    public void close() {
        try {
            vertx.close().toCompletionStage().toCompletableFuture().get(20, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (ExecutionException | TimeoutException e) {
            throw new IllegalStateException("the simulated engines did not stop", e);
        }
    }
}
