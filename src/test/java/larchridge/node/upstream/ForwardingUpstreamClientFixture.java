package larchridge.node.upstream;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import java.nio.charset.StandardCharsets;
import java.util.List;
import larchridge.router.VirtualTimeScheduler;

/** A client over embedded channels, in virtual time; tests provide the connections. */
final class ForwardingUpstreamClientFixture {
    static final double KEEP_ALIVE_MS = 15_000;

    private static final UpstreamSettings SETTINGS =
            new UpstreamSettings(250, KEEP_ALIVE_MS, 1000, 100, 50, 1 << 20, List.of());

    final VirtualTimeScheduler time = new VirtualTimeScheduler();
    final ForwardingUpstreamClient client;

    ForwardingUpstreamClientFixture(ConnectionOpener opener) {
        client = new ForwardingUpstreamClient(time.routerScheduler(0, 1), SETTINGS, opener);
    }

    /** Advances virtual time. */
    void advance(double ms) {
        time.run(time.elapsedMs() + ms);
    }

    /** Delivers bytes from an engine to the client. */
    static void respond(EmbeddedChannel engine, String response) {
        engine.writeInbound(Unpooled.copiedBuffer(response, StandardCharsets.ISO_8859_1));
    }

    /** Returns everything that was written to an engine since the last call. */
    static String written(EmbeddedChannel engine) {
        StringBuilder all = new StringBuilder();
        for (ByteBuf part = engine.readOutbound(); part != null; part = engine.readOutbound()) {
            all.append(part.toString(StandardCharsets.ISO_8859_1));
            part.release();
        }
        return all.toString();
    }
}
