/**
 * Durable, crash-safe storage of files and batches.
 *
 * <p>The entry point is {@link larchridge.store.Store}. The stored messages are defined in {@code
 * store.proto}; changes to them must keep existing data readable. The package does not depend on
 * how batches are run.
 */
package larchridge.store;
