/**
 * What all outgoing connections of a node share: reporting the completion of a connection attempt
 * ({@link larchridge.node.transport.ConnectFutures}, the entry class) and telling failures of the
 * peer from shortages of this machine ({@link larchridge.node.transport.ConnectFailure}). Must not
 * know what a connection is used for: neither upstream engines nor discovery.
 */
package larchridge.node.transport;
