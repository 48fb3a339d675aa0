/**
 * The protocol of a bench that simulates engines and clients: messages arrive in batches on a
 * stream, and the decisions of all simulated routers are written back as one reply for each batch.
 *
 * <p>Entry point: {@link larchridge.benchlink.BenchProtocol}. The names of the protocol appear only
 * here, where messages are read and written; the routing policy must not know them, and this
 * package must not make routing decisions.
 */
package larchridge.benchlink;
