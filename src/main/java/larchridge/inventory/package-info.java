/**
 * The engine list in a file: its entries, the reader that validates them and the watcher that polls
 * the file for changes.
 *
 * <p>Entry point: {@link larchridge.inventory.EngineListWatcher}. This package must not depend on
 * routing. An invalid list changes nothing.
 */
package larchridge.inventory;
