/**
 * The metrics exposed to operators. Its only class, {@link larchridge.metrics.RouterMetrics}, turns
 * a router's events into meters of a registry. It knows the names and tags of the metrics, but not
 * routers, policies or engines.
 */
package larchridge.metrics;
