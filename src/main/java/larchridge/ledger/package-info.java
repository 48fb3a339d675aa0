/**
 * Usage records on disk and the bills made of them.
 *
 * <p>{@link larchridge.ledger.Ledger} is the entry: records are taken without waiting and written
 * by one thread. Stored forms are in {@code ledger.proto} and stay readable; it knows nothing of
 * routing.
 */
package larchridge.ledger;
