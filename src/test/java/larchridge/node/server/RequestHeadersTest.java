package larchridge.node.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.LastHttpContent;
import java.nio.charset.StandardCharsets;
import larchridge.node.transport.MemoryBudget;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** The memory of requests' heads, as a decoder reserves it. */
class RequestHeadersTest {
    private static final int MAX_BYTES = 100_000;

    /** The least that a header occupies: an entry and two strings. */
    private static final int MIN_HEADER_BYTES = 120;

    private final MemoryBudget memory = new MemoryBudget(MAX_BYTES);
    private final StrictRequestDecoder decoder = new StrictRequestDecoder(memory, () -> {});
    private final EmbeddedChannel channel = new EmbeddedChannel(decoder);

    @AfterEach
    void close() {
        channel.finishAndReleaseAll();
    }

    private void receive(String text) {
        channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1));
    }

    @Test
    void headOfShortLinesIsReservedAsObjectsBeforeItIsComplete() {
        receive("POST / HTTP/1.1\r\n" + "a:\r\n".repeat(100));
        assertNull(channel.readInbound());
        assertTrue(memory.reservedBytes() >= 99 * MIN_HEADER_BYTES, "" + memory.reservedBytes());
    }

    @Test
    void completeHeadCanBeReadAndKeepsItsMemoryUntilItIsDiscarded() {
        receive("POST /p HTTP/1.1\r\nName: value\r\nContent-Length: 2\r\n\r\n{}");
        HttpRequest request = channel.readInbound();
        assertEquals("value", request.headers().get("name"));
        assertTrue(memory.reservedBytes() > 2 * MIN_HEADER_BYTES);
        RequestHeaders.of(request).discard();
        assertEquals(0, memory.reservedBytes());
    }

    @Test
    void reservationCanBePassedOn() {
        receive("POST / HTTP/1.1\r\nName: value\r\n\r\n");
        HttpRequest request = channel.readInbound();
        long reserved = memory.reservedBytes();
        assertEquals(reserved, RequestHeaders.of(request).takeReservation());
        RequestHeaders.of(request).discard();
        assertEquals(reserved, memory.reservedBytes());
    }

    @Test
    void headWithoutMemoryFailsToDecodeAndReleasesWhatItHad() {
        assertTrue(memory.tryReserve(MAX_BYTES - 1000));
        receive("POST / HTTP/1.1\r\n" + "a:\r\n".repeat(100));
        HttpRequest request = channel.readInbound();
        assertInstanceOf(RequestMemoryException.class, request.decoderResult().cause());
        assertEquals(MAX_BYTES - 1000, memory.reservedBytes());
    }

    @Test
    void trailersOccupyNoMemory() {
        receive("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n");
        HttpRequest request = channel.readInbound();
        RequestHeaders.of(request).discard();
        receive("a:\r\n".repeat(100) + "\r\n");
        assertEquals(0, memory.reservedBytes());
        HttpContent content = channel.readInbound();
        assertEquals("{}", content.content().toString(StandardCharsets.ISO_8859_1));
        content.release();
        LastHttpContent end = channel.readInbound();
        assertFalse(end.decoderResult().isFailure());
        assertTrue(end.trailingHeaders().isEmpty());
    }

    @Test
    void nothingIsReservedOnceHeadsAreDiscarded() {
        receive("POST / HTTP/1.1\r\nName: value\r\n");
        assertTrue(memory.reservedBytes() > 0);
        decoder.discardHeads();
        assertEquals(0, memory.reservedBytes());
        receive("Other: value\r\n\r\nPOST / HTTP/1.1\r\nName: value\r\n");
        assertEquals(0, memory.reservedBytes());
    }
}
