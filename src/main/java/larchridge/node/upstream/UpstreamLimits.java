package larchridge.node.upstream;

import java.util.List;

/**
 * Bounds and times of the link, all derived from the configuration. Times are milliseconds.
 *
 * @param connectMs how long a connection may take to come up, a probe or a release to be answered
 * @param keepAliveMs after so long without use an engine closes a connection
 * @param releaseMs within this a held state is to be let go of
 * @param connections connections in all
 * @param anEngine connections to one engine
 * @param reportFields names of the figures of load reports
 */
public record UpstreamLimits(
        double connectMs,
        double keepAliveMs,
        double releaseMs,
        int connections,
        int anEngine,
        List<String> reportFields) {}
