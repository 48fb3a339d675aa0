package larchridge.node.upstream;

import java.util.List;

/**
 * Settings of the client for engines, derived from the configuration.
 *
 * @param connectTimeoutMs timeout for opening a connection, and for a probe as a whole
 * @param keepAliveMs idle time after which an engine closes a connection
 * @param stateHoldMs maximum time for which an engine may hold a read state before its release
 * @param maxConnections maximum number of connections to all engines
 * @param maxConnectionsPerEndpoint maximum number of connections to one engine
 * @param maxEventBytes maximum heap memory of the incomplete events of all responses
 * @param loadReportFields names of the metrics in load reports
 */
public record UpstreamSettings(
        double connectTimeoutMs,
        double keepAliveMs,
        double stateHoldMs,
        int maxConnections,
        int maxConnectionsPerEndpoint,
        long maxEventBytes,
        List<String> loadReportFields) {}
