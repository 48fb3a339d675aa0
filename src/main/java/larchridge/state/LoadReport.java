package larchridge.state;

/** What an engine told of its load; a figure it did not tell is NaN. */
public record LoadReport(double inflight, double queue, double memoryShare, double pendingTokens) {}
