/**
 * The Files and Batches API, and the lifecycle of a batch.
 *
 * <p>Entry point: {@link larchridge.batch.BatchService}. One thread owns the store and all batches.
 * Lines are submitted as generations to {@code larchridge.router}; nothing here depends on engines.
 */
package larchridge.batch;
