package larchridge.state;

/**
 * Load reported by an engine. Values that are not reported are NaN.
 *
 * @param inflight requests at the engine, including queued ones
 * @param queue queued requests
 * @param memoryShare fraction of memory in use
 * @param pendingTokens on a reader, prompt tokens to be read; on a writer, tokens of states to be
 *     fetched
 */
public record LoadReport(double inflight, double queue, double memoryShare, double pendingTokens) {}
