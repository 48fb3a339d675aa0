package larchridge.node.upstream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelPromise;
import io.netty.channel.embedded.EmbeddedChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import larchridge.router.VirtualTimeScheduler;
import larchridge.state.AttemptOutcome;
import larchridge.state.LoadReport;
import larchridge.upstream.AttemptListener;
import larchridge.upstream.AttemptRequest;
import larchridge.upstream.Completion;
import larchridge.upstream.Endpoint;
import larchridge.upstream.ForwardedRequest;
import larchridge.upstream.SendRejection;
import larchridge.upstream.StateHandle;
import larchridge.upstream.UpstreamClient;
import org.junit.jupiter.api.Test;

/**
 * Connections to engines between attempts, in virtual time: their age, and attempts that end before
 * or beside them.
 */
class ConnectionTest {
    private static final double KEEP_ALIVE_MS = 15_000;

    /**
     * A connection is closed at the next look after it has rested for its part of the time that
     * engines allow.
     */
    private static final double CLOSED_MS = 0.8 * KEEP_ALIVE_MS + KEEP_ALIVE_MS / 20;

    private static final Endpoint SPOT = new Endpoint("10.0.0.1", 8443);
    private static final String READ =
            "HTTP/1.1 202 Accepted\r\nContent-Length: 19\r\n\r\n{\"cached_tokens\":7}";

    private final VirtualTimeScheduler time = new VirtualTimeScheduler();
    private final List<EmbeddedChannel> opened = new ArrayList<>();
    private final List<ChannelPromise> connecting = new ArrayList<>();
    private boolean connects = true;
    private final ForwardingUpstreamClient link =
            new ForwardingUpstreamClient(
                    time.schedulerOf(0, 1),
                    new UpstreamLimits(250, KEEP_ALIVE_MS, 1000, 100, 50, List.of()),
                    (endpoint, handlers) -> {
                        EmbeddedChannel engine = new EmbeddedChannel(handlers);
                        opened.add(engine);
                        ChannelPromise promise = engine.newPromise();
                        connecting.add(promise);
                        return connects ? promise.setSuccess() : promise;
                    });

    /** Hears one attempt. */
    private static final class Heard implements AttemptListener {
        private final List<AttemptOutcome> outcomes = new ArrayList<>();
        private int reads;

        @Override
        public void readCompleted(
                StateHandle state, int keptTokens, int promptTokens, LoadReport report) {
            reads++;
        }

        @Override
        public void responseStarted() {
            throw new AssertionError("a read begins no answer");
        }

        @Override
        public void textReceived(String text) {
            throw new AssertionError("a read brings no piece");
        }

        @Override
        public void batchCompleted() {}

        @Override
        public void attemptEnded(AttemptOutcome outcome, LoadReport report, Completion ending) {
            outcomes.add(outcome);
        }
    }

    private UpstreamClient.AttemptHandle read(String id, boolean stillMay, Heard heard) {
        ForwardedRequest passage =
                new ForwardedRequest(
                        "POST",
                        "/v1/chat/completions",
                        id,
                        List.of(),
                        new byte[] {'{', '}'},
                        time.nowMs() + 60_000);
        return link.read(
                new AttemptRequest(
                        id + ".0",
                        SPOT,
                        "",
                        "",
                        10,
                        List.of(),
                        null,
                        null,
                        null,
                        passage,
                        () -> stillMay ? null : SendRejection.ENDPOINT_UNAVAILABLE),
                heard);
    }

    private void run(double ms) {
        time.run(time.sinceMs() + ms);
    }

    private static void answer(EmbeddedChannel engine) {
        engine.writeInbound(Unpooled.copiedBuffer(READ, StandardCharsets.ISO_8859_1));
    }

    private static String sent(EmbeddedChannel engine) {
        StringBuilder all = new StringBuilder();
        for (ByteBuf part = engine.readOutbound(); part != null; part = engine.readOutbound()) {
            all.append(part.toString(StandardCharsets.ISO_8859_1));
            part.release();
        }
        return all.toString();
    }

    @Test
    void connectionOnWhichNothingWasSentRestsSinceItsLastAnswer() {
        read("9b1f03aa5c7e2d41", true, new Heard());
        answer(opened.get(0));
        run(KEEP_ALIVE_MS / 2);
        Heard second = new Heard();
        read("9b1f03aa5c7e2d42", false, second);
        run(CLOSED_MS - KEEP_ALIVE_MS / 2);
        assertEquals(List.of(AttemptOutcome.NOT_SENT), second.outcomes);
        assertEquals(1, opened.size());
        // Its engine would close it after the whole time, and a request written then may have run
        // for all that is known.
        assertFalse(opened.get(0).isOpen());
    }

    @Test
    void connectionThatComesUpForAnAttemptThatWasCalledOffIsNotWrittenTo() {
        connects = false;
        Heard heard = new Heard();
        UpstreamClient.AttemptHandle flight = read("9b1f03aa5c7e2d41", true, heard);
        flight.cancel();
        connecting.get(0).trySuccess();
        run(10);
        assertEquals("", sent(opened.get(0)));
        assertEquals(List.of(AttemptOutcome.NOT_SENT), heard.outcomes);
    }

    @Test
    void lateAnswerOfAnAttemptThatWasCalledOffEndsNoOther() {
        Heard first = new Heard();
        UpstreamClient.AttemptHandle flight = read("9b1f03aa5c7e2d41", true, first);
        assertTrue(sent(opened.get(0)).startsWith("POST "));
        flight.cancel();
        Heard second = new Heard();
        read("9b1f03aa5c7e2d42", true, second);
        // The connection is no more: what its engine still writes reaches nobody.
        assertFalse(opened.get(0).isOpen());
        run(10);
        assertEquals(2, opened.size());
        assertEquals(0, first.reads + second.reads);
        assertEquals(List.of(AttemptOutcome.CANCELLED), first.outcomes);
        assertTrue(second.outcomes.isEmpty());
        answer(opened.get(1));
        run(10);
        assertEquals(1, second.reads);
    }

    /**
     * Whether the last byte was written decides between an attempt that never ran and one that may
     * have run.
     */
    @Test
    void connectionThatBreaksTellsThatAnAttemptNeverRanOnlyBeforeItsLastByteWasWritten() {
        connects = false;
        Heard before = new Heard();
        read("9b1f03aa5c7e2d41", true, before);
        opened.get(0).close();
        connecting.get(0).tryFailure(new java.net.ConnectException("refused"));
        run(10);
        assertEquals(List.of(AttemptOutcome.UNREACHABLE), before.outcomes);
        connects = true;
        Heard after = new Heard();
        read("9b1f03aa5c7e2d42", true, after);
        assertTrue(sent(opened.get(1)).startsWith("POST "));
        opened.get(1).close();
        run(10);
        assertEquals(List.of(AttemptOutcome.CUT), after.outcomes);
        assertNull(opened.get(1).readOutbound());
    }
}
