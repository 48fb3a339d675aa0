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
 * Stand-in engines in this process, each on a loop of its own, and the engine list that tells of
 * them.
 */
public final class SimulatedFleet implements AutoCloseable {
    private final Vertx vertx;
    private final Map<Long, Seat> seats = new TreeMap<>();

    private record Seat(SimulatedEngine engine, io.vertx.core.Context loop) {}

    /** What the list says of an engine beyond its make. */
    public record Said(String mode, boolean listed, double startMs) {}

    private final Map<Long, Said> said = new LinkedHashMap<>();

    private SimulatedFleet(Vertx vertx) {
        this.vertx = vertx;
    }

    public static SimulatedFleet start(
            List<EngineProfile> makes, TrafficRecorder witness, long seed)
            throws InterruptedException {
        SimulatedFleet fleet =
                new SimulatedFleet(
                        Vertx.vertx(
                                new VertxOptions()
                                        .setEventLoopPoolSize(Math.min(4, makes.size()))
                                        .setPreferNativeTransport(true)));
        List<Future<Integer>> starts = new ArrayList<>();
        for (EngineProfile make : makes) {
            Promise<Integer> started = Promise.promise();
            // A context of its own for each, or all would run on one loop.
            io.vertx.core.internal.ContextInternal own =
                    ((io.vertx.core.internal.VertxInternal) fleet.vertx).createEventLoopContext();
            own.runOnContext(
                    v -> {
                        SimulatedEngine engine =
                                new SimulatedEngine(
                                        fleet.vertx, make, witness, seed * 1000 + make.id());
                        synchronized (fleet) {
                            fleet.seats.put(make.id(), new Seat(engine, own));
                            fleet.said.put(make.id(), new Said("ready", true, 0));
                        }
                        engine.start(0, false).onComplete(started);
                    });
            starts.add(started.future());
        }
        try {
            Future.all(starts).toCompletionStage().toCompletableFuture().get(20, TimeUnit.SECONDS);
        } catch (ExecutionException | TimeoutException e) {
            fleet.close();
            throw new IllegalStateException("stand-ins not started", e);
        }
        return fleet;
    }

    /** Does something to an engine, on its loop. */
    public void on(long id, Consumer<SimulatedEngine> act) {
        Seat seat = seats.get(id);
        seat.loop.runOnContext(v -> act.accept(seat.engine));
    }

    /** Does something to an engine and waits for what it gives. */
    public <T> T ask(long id, java.util.function.Function<SimulatedEngine, Future<T>> act)
            throws InterruptedException {
        Seat seat = seats.get(id);
        Promise<T> answer = Promise.promise();
        seat.loop.runOnContext(v -> act.apply(seat.engine).onComplete(answer));
        try {
            return answer.future()
                    .toCompletionStage()
                    .toCompletableFuture()
                    .get(20, TimeUnit.SECONDS);
        } catch (ExecutionException | TimeoutException e) {
            throw new IllegalStateException("engine " + id + " did not answer", e);
        }
    }

    /** Sets what the next list says of an engine. */
    public synchronized void say(long id, String mode, boolean listed, double startMs) {
        said.put(id, new Said(mode, listed, startMs));
    }

    public synchronized Said said(long id) {
        return said.get(id);
    }

    /** Writes the list as it is to be said, by rename, as configuration tools do. */
    public synchronized void writeList(Path file) throws IOException {
        StringBuilder text = new StringBuilder("engines:\n");
        for (Map.Entry<Long, Seat> entry : seats.entrySet()) {
            Said about = said.get(entry.getKey());
            if (!about.listed) {
                continue;
            }
            EngineProfile make = entry.getValue().engine.profile;
            text.append(
                    String.format(
                            Locale.ROOT,
                            "  - id: %d%n    host: 127.0.0.1%n    port: %d%n    role: %s%n",
                            make.id(),
                            entry.getValue().engine.port(),
                            make.role().name().toLowerCase(Locale.ROOT)));
            if (!make.zone().isEmpty()) {
                text.append("    zone: ").append(make.zone()).append('\n');
            }
            text.append(
                    String.format(
                            Locale.ROOT,
                            "    rack: %d%n    memory_tokens: %d%n    start: %.0f%n    mode: %s%n",
                            make.rack(),
                            (long) make.memoryTokens(),
                            about.startMs,
                            about.mode));
        }
        Path part = file.resolveSibling(file.getFileName() + ".part");
        Files.writeString(part, text);
        Files.move(part, file, StandardCopyOption.REPLACE_EXISTING, StandardCopyOption.ATOMIC_MOVE);
    }

    @Override
    public void close() {
        try {
            vertx.close().toCompletionStage().toCompletableFuture().get(20, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (ExecutionException | TimeoutException e) {
            throw new IllegalStateException("stand-ins did not stop", e);
        }
    }
}
