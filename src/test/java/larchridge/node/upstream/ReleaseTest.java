package larchridge.node.upstream;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import larchridge.router.VirtualTimeScheduler;
import larchridge.upstream.Endpoint;
import org.junit.jupiter.api.Test;

/** Where releases go, in virtual time. */
class ReleaseTest {
    private final VirtualTimeScheduler time = new VirtualTimeScheduler();
    private final Map<Endpoint, EmbeddedChannel> up = new HashMap<>();
    private final List<Endpoint> tried = new ArrayList<>();
    private final ForwardingUpstreamClient link =
            new ForwardingUpstreamClient(
                    time.schedulerOf(0, 1),
                    new UpstreamLimits(250, 15_000, 1000, 100, 50, List.of()),
                    (endpoint, handlers) -> {
                        tried.add(endpoint);
                        EmbeddedChannel engine = new EmbeddedChannel(handlers);
                        if (!up.containsKey(endpoint)) {
                            // Its connection never comes up.
                            return engine.newPromise();
                        }
                        up.put(endpoint, engine);
                        return engine.newSucceededFuture();
                    });

    private static Endpoint spot(int number) {
        return new Endpoint("10.0.0." + number, 8443);
    }

    /** An engine that is asked for its load and answers. */
    private EmbeddedChannel hears(Endpoint endpoint) {
        up.put(endpoint, null);
        link.probe(endpoint, (answered, report) -> {});
        EmbeddedChannel engine = up.get(endpoint);
        engine.writeInbound(
                Unpooled.copiedBuffer(
                        "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
                        StandardCharsets.ISO_8859_1));
        engine.releaseOutbound();
        time.run(time.sinceMs() + 10);
        return engine;
    }

    @Test
    void releaseGoesOverAConnectionAtRestWhereItsHolderAndTheEnginesHeardLastAreCutOff() {
        List<Endpoint> spots = new ArrayList<>();
        for (int i = 0; i < 12; i++) {
            spots.add(spot(i));
        }
        link.updateEndpoints(spots);
        EmbeddedChannel rests = hears(spot(7));
        for (int i = 8; i < 12; i++) {
            // Heard later, and gone since.
            hears(spot(i)).close();
            up.remove(spot(i));
        }
        tried.clear();
        link.release(spot(0), "9b1f03aa5c7e2d41.0");
        time.run(time.sinceMs() + 250);
        assertEquals(
                List.of(spot(0)),
                tried,
                "the holder is asked first, and then none that has to be connected to");
        ByteBuf sent = rests.readOutbound();
        assertEquals(
                "DELETE /v1/holds/9b1f03aa5c7e2d41 HTTP/1.1",
                sent.toString(StandardCharsets.ISO_8859_1).lines().findFirst().get());
        sent.release();
    }

    @Test
    void releaseIsTriedAtEachEngineOnceUntilItsTriesAreUsedUp() {
        link.updateEndpoints(List.of(spot(0), spot(1), spot(2)));
        link.release(spot(1), "9b1f03aa5c7e2d41.0");
        time.run(time.sinceMs() + 2000);
        assertEquals(List.of(spot(1), spot(0), spot(2)), tried);
        assertEquals(0, link.openRequests());
    }
}
