/**
 * The Files and Batches API, and the life of a batch from its creation to its end.
 *
 * <p>{@link larchridge.batch.BatchService} is the entry; one thread owns the store and all batches.
 * It submits generations through {@code larchridge.router} and knows nothing of engines.
 */
package larchridge.batch;
