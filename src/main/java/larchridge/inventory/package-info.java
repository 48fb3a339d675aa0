/**
 * The list of engines in a file: its entries, the reader that validates them and the watcher that
 * follows changes.
 *
 * <p>Entry point: {@link larchridge.inventory.EngineListWatcher}. This package must not know what
 * engines are used for; a list that can't be trusted changes nothing.
 */
package larchridge.inventory;
