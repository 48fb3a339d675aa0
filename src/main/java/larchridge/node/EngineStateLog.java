package larchridge.node;

import larchridge.node.upstream.ForwardingUpstreamClient;
import larchridge.router.Router;
import larchridge.router.Scheduler;
import larchridge.state.Engine;
import larchridge.upstream.Endpoint;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Logs, for debugging, each engine's state, attempts and tokens as the policy sees them, next to
 * the attempts and connections of the upstream client.
 */
final class EngineStateLog {
    private static final Logger LOG = LoggerFactory.getLogger(EngineStateLog.class);
    private static final int LINE_CAPACITY = 200;

    /** The top 16 bits of an engine's id are enough to tell engines apart. */
    private static final int LABEL_SHIFT = 48;

    private final NodeComponents components;
    private final Scheduler scheduler;

    EngineStateLog(NodeComponents components, Scheduler scheduler) {
        this.components = components;
        this.scheduler = scheduler;
    }

    /** Logs one line with all engines. */
    void write() {
        LOG.debug("{}", describe());
    }

    private String describe() {
        Router router = components.router();
        ForwardingUpstreamClient upstream = components.upstream();
        StringBuilder line = new StringBuilder(LINE_CAPACITY);
        line.append("generations ")
                .append(router.generationsInFlight())
                .append(" client connections ")
                .append(components.server().connectionCount())
                .append(" upstream requests ")
                .append(upstream.trackedRequestCount());
        double nowMs = scheduler.nowMs();
        router.forEachEngine((endpoint, engine) -> describe(endpoint, engine, nowMs, line));
        return line.toString();
    }

    private void describe(Endpoint endpoint, Engine engine, double nowMs, StringBuilder line) {
        ForwardingUpstreamClient upstream = components.upstream();
        line.append("; ")
                .append(Long.toHexString(engine.id >>> LABEL_SHIFT))
                .append(' ')
                .append(engine.role())
                .append(' ')
                .append(engine.state())
                .append(engine.isEjected(nowMs) ? " ejected" : "")
                .append(" policy attempts ")
                .append(engine.attempts().size())
                .append(" unread tokens ")
                .append(Math.round(engine.unreadTokens()))
                .append(" answer tokens held ")
                .append(Math.round(engine.ownHeldTokens()))
                .append(" upstream attempts ")
                .append(upstream.inFlightAttempts(endpoint))
                .append(" engine connections ")
                .append(upstream.connectionCount(endpoint));
    }
}
