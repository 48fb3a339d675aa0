/**
 * Shared code of a node's connections: reporting the completion of a connection attempt ({@link
 * larchridge.node.transport.ConnectFutures}, the entry class), distinguishing failures of the peer
 * from local resource shortages ({@link larchridge.node.transport.ConnectFailure}) and bounding the
 * buffers of a connection ({@link larchridge.node.transport.ConnectionBuffers}). Must not depend on
 * what a connection is used for: neither upstream engines nor discovery.
 */
package larchridge.node.transport;
