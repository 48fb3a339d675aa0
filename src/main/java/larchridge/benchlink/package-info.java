/**
 * The wire of a bench that simulates engines and clients: messages arrive in batches on a stream,
 * and the decisions of each simulated router are written back as one reply for each batch.
 *
 * <p>Entry point: {@link larchridge.benchlink.BenchProtocol}. The words of the wire appear only
 * here, where messages are read and written; the routing policy must not know them, and this
 * package must not decide anything itself.
 */
package larchridge.benchlink;
