package larchridge.node.upstream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

/** Guards against: engines' heads of short lines that exhaust the heap. */
class ResponseHeadersTest {
    private final ResponseHeaders headers = new ResponseHeaders();

    @Test
    void onlyHeadersThatAreEvaluatedAreKept() {
        headers.add("a", "");
        headers.add("Content-Type", "text/event-stream");
        headers.add("content-LENGTH", "2");
        headers.add("Transfer-Encoding", "chunked");
        headers.add("Connection", "close");
        headers.add("srv-load", "inflight=1");
        headers.add("Srv-Declined", "1");
        assertEquals(5, headers.size());
        assertEquals("inflight=1", headers.get("Srv-Load"));
        assertEquals("1", headers.get("Srv-Declined"));
        assertFalse(headers.contains("a"));
    }

    @Test
    void responseThatRepeatsKeptHeadersIsMalformed() {
        EmbeddedChannel channel =
                new EmbeddedChannel(
                        new HttpResponseDecoder(
                                new HttpDecoderConfig()
                                        .setHeadersFactory(new ResponseHeaders.Factory())));
        channel.writeInbound(
                Unpooled.copiedBuffer(
                        "HTTP/1.1 200 OK\r\n" + "Connection:\r\n".repeat(600),
                        StandardCharsets.ISO_8859_1));
        HttpResponse response = channel.readInbound();
        assertTrue(response.decoderResult().isFailure());
        channel.finishAndReleaseAll();
    }
}
