package larchridge.node.upstream;

import java.util.List;

/**
 * Limits and times of the connections to engines, all derived from the configuration. Times are
 * milliseconds.
 *
 * @param connectTimeoutMs how long a connection may take to come up, or a probe to be answered
 * @param keepAliveMs an engine closes a connection that was not used for this long
 * @param stateHoldMs how long an engine may hold a read state; it is to be released within this
 * @param maxConnections connections in all
 * @param maxConnectionsPerEndpoint connections to one engine
 * @param loadReportFields names of the figures in load reports
 */
public record UpstreamLimits(
        double connectTimeoutMs,
        double keepAliveMs,
        double stateHoldMs,
        int maxConnections,
        int maxConnectionsPerEndpoint,
        List<String> loadReportFields) {}
