/**
 * One process that serves a site: its routers, listeners, followed engine list and admin port.
 *
 * <p>{@link larchridge.serve.Service} is the entry.
 */
package larchridge.serve;
