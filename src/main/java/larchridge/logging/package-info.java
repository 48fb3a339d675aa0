/**
 * The format and levels of the log.
 *
 * <p>Entry point: {@link larchridge.logging.JsonLogConfigurator}, which Logback loads as a service
 * provider. Nothing else refers to this package.
 */
package larchridge.logging;
