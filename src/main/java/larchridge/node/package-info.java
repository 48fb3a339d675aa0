/**
 * The process of a router node: configuration, signals, start, shutdown, runtime checks and the
 * wiring of the other packages on one event loop. A node runs on a platform, which configures,
 * starts and stops it and provides the discovery agent. The platform holds a node to each change of
 * the endpoint list from the moment at which the agent has it.
 *
 * <p>The entry class is {@link larchridge.node.NodeMain}; {@link larchridge.node.NodeAssembler}
 * creates and connects the components. This package makes no routing decisions and neither reads
 * requests nor writes responses; {@code node.server}, {@code node.upstream} and {@code
 * node.discovery} must not depend on it, nor on each other.
 */
package larchridge.node;
