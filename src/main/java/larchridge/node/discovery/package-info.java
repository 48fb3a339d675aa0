/**
 * Follows the engine list of the platform's discovery agent: reads a full list, then watches for
 * changes, and hands each complete list to its listener. The entry is {@link
 * larchridge.node.discovery.DiscoveryClient}. This package does not know clients, requests or
 * connections to engines: it must not depend on {@code node.server}, {@code node.upstream} or the
 * router beyond its {@code Scheduler}.
 */
package larchridge.node.discovery;
