/**
 * Keeps the endpoint list of the platform's discovery agent: polls for the full list, then watches
 * for changes, and passes each complete list to a listener. The entry class is {@link
 * larchridge.node.discovery.DiscoveryClient}. This package does not handle clients, requests or
 * connections to engines: it must not depend on {@code node.server}, {@code node.upstream} or the
 * router beyond its {@code Scheduler}.
 */
package larchridge.node.discovery;
