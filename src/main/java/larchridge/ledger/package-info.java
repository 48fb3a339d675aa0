/**
 * Durable usage records, and the totals and prices from which bills are computed.
 *
 * <p>The entry point is {@link larchridge.ledger.Ledger}, which queues records without blocking and
 * writes them on one thread. The stored messages are defined in {@code ledger.proto}; changes to
 * them must keep existing data readable. The package does not depend on routing.
 */
package larchridge.ledger;
