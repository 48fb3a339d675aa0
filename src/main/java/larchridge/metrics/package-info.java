/**
 * The metrics that operators see. Its one class is {@link larchridge.metrics.RouterMetrics}, which
 * turns a router's events into meters of a registry; it knows the metrics' names and tags, and
 * nothing of routers, policies or engines.
 */
package larchridge.metrics;
