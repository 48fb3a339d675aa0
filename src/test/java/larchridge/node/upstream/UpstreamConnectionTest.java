package larchridge.node.upstream;

import static larchridge.node.upstream.ForwardingUpstreamClientFixture.KEEP_ALIVE_MS;
import static larchridge.node.upstream.ForwardingUpstreamClientFixture.respond;
import static larchridge.node.upstream.ForwardingUpstreamClientFixture.written;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.ChannelPromise;
import io.netty.channel.embedded.EmbeddedChannel;
import java.util.ArrayList;
import java.util.List;
import larchridge.state.AttemptOutcome;
import larchridge.state.LoadReport;
import larchridge.upstream.AnswerSummary;
import larchridge.upstream.AttemptListener;
import larchridge.upstream.AttemptRequest;
import larchridge.upstream.Endpoint;
import larchridge.upstream.ForwardedRequest;
import larchridge.upstream.SendCheck;
import larchridge.upstream.SendRejection;
import larchridge.upstream.StateHandle;
import larchridge.upstream.UpstreamClient;
import org.junit.jupiter.api.Test;

/**
 * Tests connections to engines across attempts, in virtual time: idle times, and attempts that end
 * before or while a connection is in use.
 */
class UpstreamConnectionTest {
    /**
     * Latest time at which an idle connection is closed: the idle limit, 0.8 of the engines'
     * keep-alive time, plus one check interval.
     */
    private static final double IDLE_CLOSE_MS = 0.8 * KEEP_ALIVE_MS + KEEP_ALIVE_MS / 20;

    private static final Endpoint ENDPOINT = new Endpoint("10.0.0.1", 8443);
    private static final SendCheck MAY_BE_SENT = () -> null;
    private static final SendCheck MUST_NOT_BE_SENT = () -> SendRejection.ENDPOINT_UNAVAILABLE;
    private static final String READ_RESPONSE =
            "HTTP/1.1 202 Accepted\r\nContent-Length: 19\r\n\r\n{\"cached_tokens\":7}";

    private final List<EmbeddedChannel> opened = new ArrayList<>();
    private final List<ChannelPromise> connecting = new ArrayList<>();
    private boolean connects = true;
    private final ForwardingUpstreamClientFixture fixture =
            new ForwardingUpstreamClientFixture(
                    (endpoint, handlers) -> {
                        EmbeddedChannel engine = new EmbeddedChannel(handlers);
                        opened.add(engine);
                        ChannelPromise promise = engine.newPromise();
                        connecting.add(promise);
                        return connects ? promise.setSuccess() : promise;
                    });

    /** Records how one attempt ends. */
    private static final class RecordingListener implements AttemptListener {
        private final List<AttemptOutcome> outcomes = new ArrayList<>();
        private int reads;

        @Override
        public void readCompleted(
                StateHandle state, int cachedTokens, int promptTokens, LoadReport report) {
            reads++;
        }

        @Override
        public void responseStarted() {
            throw new AssertionError("a read attempt must not start an answer");
        }

        @Override
        public void textReceived(String text) {
            throw new AssertionError("a read attempt must not deliver text");
        }

        @Override
        public void socketReadCompleted() {}

        @Override
        public void attemptEnded(
                AttemptOutcome outcome, LoadReport report, AnswerSummary answerSummary) {
            outcomes.add(outcome);
        }
    }

    private UpstreamClient.AttemptHandle read(
            String id, SendCheck sendCheck, RecordingListener listener) {
        ForwardedRequest forwardedRequest =
                new ForwardedRequest(
                        "POST",
                        "/v1/chat/completions",
                        id,
                        List.of(),
                        new byte[] {'{', '}'},
                        fixture.time.nowMs() + 60_000);
        return fixture.client.read(
                new AttemptRequest(
                        id + ".0",
                        ENDPOINT,
                        "",
                        "",
                        10,
                        List.of(),
                        null,
                        null,
                        null,
                        forwardedRequest,
                        sendCheck),
                listener);
    }

    @Test
    void unusedConnectionIsIdleSinceItsLastResponse() {
        read("9b1f03aa5c7e2d41", MAY_BE_SENT, new RecordingListener());
        respond(opened.get(0), READ_RESPONSE);
        fixture.advance(KEEP_ALIVE_MS / 2);
        RecordingListener second = new RecordingListener();
        read("9b1f03aa5c7e2d42", MUST_NOT_BE_SENT, second);
        fixture.advance(IDLE_CLOSE_MS - KEEP_ALIVE_MS / 2);
        assertEquals(List.of(AttemptOutcome.NOT_SENT), second.outcomes);
        assertEquals(1, opened.size());
        // Guards against: if the unused attempt restarted the idle time, a request could be written
        // after the engine's keep-alive timeout, and whether it ran would be unknown.
        assertFalse(opened.get(0).isOpen());
    }

    /**
     * Guards against: the last bytes of a response fill the client's write buffer, the pause that
     * follows stops the reads of the idle connection for good, and the next request on it goes
     * without an answer.
     */
    @Test
    void pauseAfterTheEndOfAnAttemptDoesNotStopReadsOfItsConnection() {
        RecordingListener first = new RecordingListener();
        UpstreamClient.AttemptHandle attempt = read("9b1f03aa5c7e2d41", MAY_BE_SENT, first);
        respond(opened.get(0), READ_RESPONSE);
        assertEquals(1, first.reads);
        attempt.pause();
        fixture.advance(10);
        read("9b1f03aa5c7e2d42", MAY_BE_SENT, new RecordingListener());
        assertEquals(1, opened.size());
        assertTrue(opened.get(0).config().isAutoRead());
    }

    @Test
    void connectionThatOpensForACancelledAttemptIsNotWrittenTo() {
        connects = false;
        RecordingListener listener = new RecordingListener();
        UpstreamClient.AttemptHandle attempt = read("9b1f03aa5c7e2d41", MAY_BE_SENT, listener);
        attempt.cancel();
        connecting.get(0).trySuccess();
        fixture.advance(10);
        assertEquals("", written(opened.get(0)));
        assertEquals(List.of(AttemptOutcome.NOT_SENT), listener.outcomes);
    }

    @Test
    void lateResponseOfACancelledAttemptEndsNoOther() {
        RecordingListener first = new RecordingListener();
        UpstreamClient.AttemptHandle attempt = read("9b1f03aa5c7e2d41", MAY_BE_SENT, first);
        assertTrue(written(opened.get(0)).startsWith("POST "));
        attempt.cancel();
        RecordingListener second = new RecordingListener();
        read("9b1f03aa5c7e2d42", MAY_BE_SENT, second);
        // The connection is closed, so nothing that the engine still sends is delivered.
        assertFalse(opened.get(0).isOpen());
        fixture.advance(10);
        assertEquals(2, opened.size());
        assertEquals(0, first.reads + second.reads);
        assertEquals(List.of(AttemptOutcome.CANCELLED), first.outcomes);
        assertTrue(second.outcomes.isEmpty());
        respond(opened.get(1), READ_RESPONSE);
        fixture.advance(10);
        assertEquals(1, second.reads);
    }

    /**
     * Guards against: an attempt whose last byte was written may have run, so a disconnect after
     * that must not be reported as proof that it did not.
     */
    @Test
    void disconnectProvesThatAnAttemptNeverRanOnlyBeforeItsLastByteWasWritten() {
        connects = false;
        RecordingListener before = new RecordingListener();
        read("9b1f03aa5c7e2d41", MAY_BE_SENT, before);
        opened.get(0).close();
        connecting.get(0).tryFailure(new java.net.ConnectException("refused"));
        fixture.advance(10);
        assertEquals(List.of(AttemptOutcome.UNREACHABLE), before.outcomes);
        connects = true;
        RecordingListener after = new RecordingListener();
        read("9b1f03aa5c7e2d42", MAY_BE_SENT, after);
        assertTrue(written(opened.get(1)).startsWith("POST "));
        opened.get(1).close();
        fixture.advance(10);
        assertEquals(List.of(AttemptOutcome.CUT), after.outcomes);
        assertNull(opened.get(1).readOutbound());
    }
}
