/**
 * A front node of a platform as a process: configuration, signals, start, shutdown, run-time checks
 * and the wiring of the other packages on one event loop. The entry is {@link
 * larchridge.node.NodeMain}; {@link larchridge.node.NodeAssembler} shows what the parts are. This
 * package takes no routing decision and reads or writes no request; {@code node.server}, {@code
 * node.upstream} and {@code node.discovery} must not know it, nor each other.
 */
package larchridge.node;
