/**
 * Files and batches on disk, safe over crashes.
 *
 * <p>{@link larchridge.store.Store} is the entry. Stored forms are in {@code store.proto} and stay
 * readable; it knows nothing of what batches do.
 */
package larchridge.store;
