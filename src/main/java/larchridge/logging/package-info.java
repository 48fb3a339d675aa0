/**
 * The format and levels of the log.
 *
 * <p>Entry point: {@link larchridge.logging.JsonLogConfigurator}, which the logging library finds
 * as a service. Nothing else refers to this package.
 */
package larchridge.logging;
