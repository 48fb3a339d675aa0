/**
 * One process that serves a site: its routers, listeners, engine list watcher and admin port.
 *
 * <p>{@link larchridge.serve.Service} is the entry.
 */
package larchridge.serve;
