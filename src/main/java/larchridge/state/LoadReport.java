package larchridge.state;

/**
 * What an engine reports of its load; a figure that it does not report is NaN.
 *
 * @param inflight requests that it has, queued ones included
 * @param queue requests that wait there
 * @param memoryShare the part of its memory that is held
 * @param pendingTokens at a reader, prompt tokens to be read; at a writer, tokens of states to be
 *     fetched
 */
public record LoadReport(double inflight, double queue, double memoryShare, double pendingTokens) {}
