/**
 * The messages API over HTTP: reads requests, streams or returns answers, reports errors.
 *
 * <p>{@link larchridge.messages.MessagesEndpoint} is the entry. It submits to {@code
 * larchridge.router} and knows nothing of engines.
 */
package larchridge.messages;
