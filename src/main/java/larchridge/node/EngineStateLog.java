package larchridge.node;

import larchridge.node.upstream.ForwardingUpstreamClient;
import larchridge.router.Router;
import larchridge.router.Scheduler;
import larchridge.state.Engine;
import larchridge.upstream.Endpoint;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Logs the policy's view of each engine (state, attempts, tokens) beside what the upstream client
 * has there (attempts, connections), for debugging.
 */
final class EngineStateLog {
    private static final Logger LOG = LoggerFactory.getLogger(EngineStateLog.class);
    private static final int LINE_CAPACITY = 200;

    /** The part of an engine's number that is enough to tell engines apart. */
    private static final int LABEL_SHIFT = 48;

    private final NodeComponents components;
    private final Scheduler scheduler;

    EngineStateLog(NodeComponents components, Scheduler scheduler) {
        this.components = components;
        this.scheduler = scheduler;
    }

    /** Writes one line with all engines. */
    void write() {
        LOG.debug("{}", describe());
    }

    private String describe() {
        Router router = components.router();
        ForwardingUpstreamClient upstream = components.upstream();
        StringBuilder line = new StringBuilder(LINE_CAPACITY);
        line.append("open ")
                .append(router.generationsInFlight())
                .append(" clients ")
                .append(components.server().connectionCount())
                .append(" known ")
                .append(upstream.openRequests());
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
                .append(" attempts ")
                .append(engine.attempts().size())
                .append(" unread ")
                .append(Math.round(engine.unreadTokens()))
                .append(" writes ")
                .append(Math.round(engine.writeTokens()))
                .append(" out ")
                .append(upstream.inFlightAttempts(endpoint))
                .append(" connections ")
                .append(upstream.connectionCount(endpoint));
    }
}
