package larchridge.node.upstream;

import static larchridge.node.upstream.ForwardingUpstreamClientFixture.respond;
import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.buffer.ByteBuf;
import io.netty.channel.embedded.EmbeddedChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import larchridge.upstream.Endpoint;
import org.junit.jupiter.api.Test;

/** Tests the choice of the engines to which releases are sent, in virtual time. */
class PooledReleaseTransportTest {
    private final Map<Endpoint, EmbeddedChannel> reachable = new HashMap<>();
    private final List<Endpoint> tried = new ArrayList<>();
    private final ForwardingUpstreamClientFixture fixture =
            new ForwardingUpstreamClientFixture(
                    (endpoint, handlers) -> {
                        tried.add(endpoint);
                        EmbeddedChannel engine = new EmbeddedChannel(handlers);
                        if (!reachable.containsKey(endpoint)) {
                            // The connection is never established.
                            return engine.newPromise();
                        }
                        reachable.put(endpoint, engine);
                        return engine.newSucceededFuture();
                    });

    private static Endpoint endpoint(int number) {
        return new Endpoint("10.0.0." + number, 8443);
    }

    /** Connects to an engine with a probe, which leaves the connection idle. */
    private EmbeddedChannel connectAndProbe(Endpoint endpoint) {
        reachable.put(endpoint, null);
        fixture.client.probe(endpoint, (succeeded, report) -> {});
        EmbeddedChannel engine = reachable.get(endpoint);
        respond(engine, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        engine.releaseOutbound();
        fixture.advance(10);
        return engine;
    }

    @Test
    void releasePrefersAnIdleConnectionIfTheHolderAndTheLastRespondersAreUnreachable() {
        List<Endpoint> endpoints = new ArrayList<>();
        for (int i = 0; i < 12; i++) {
            endpoints.add(endpoint(i));
        }
        fixture.client.updateEndpoints(endpoints);
        EmbeddedChannel idle = connectAndProbe(endpoint(7));
        for (int i = 8; i < 12; i++) {
            // These engines respond later and then disconnect.
            connectAndProbe(endpoint(i)).close();
            reachable.remove(endpoint(i));
        }
        tried.clear();
        fixture.client.release(endpoint(0), "9b1f03aa5c7e2d41.0");
        fixture.advance(250);
        assertEquals(
                List.of(endpoint(0)),
                tried,
                "after the holder, no engine that needs a new connection is tried");
        ByteBuf sent = idle.readOutbound();
        assertEquals(
                "DELETE /v1/holds/9b1f03aa5c7e2d41 HTTP/1.1",
                sent.toString(StandardCharsets.ISO_8859_1).lines().findFirst().get());
        sent.release();
    }

    @Test
    void releaseIsTriedAtEachEngineOnceUntilItsTriesAreUsedUp() {
        fixture.client.updateEndpoints(List.of(endpoint(0), endpoint(1), endpoint(2)));
        fixture.client.release(endpoint(1), "9b1f03aa5c7e2d41.0");
        fixture.advance(2000);
        assertEquals(List.of(endpoint(1), endpoint(0), endpoint(2)), tried);
        assertEquals(0, fixture.client.trackedRequestCount());
    }
}
