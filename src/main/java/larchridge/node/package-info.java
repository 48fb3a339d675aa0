/**
 * A router node of a platform as a process: configuration, signals, start, shutdown, runtime checks
 * and the wiring of the other packages on one event loop. The entry class is {@link
 * larchridge.node.NodeMain}; {@link larchridge.node.NodeAssembler} shows the components. This
 * package makes no routing decisions and neither reads requests nor writes responses; {@code
 * node.server}, {@code node.upstream} and {@code node.discovery} must not depend on it, nor on each
 * other.
 */
package larchridge.node;
