/**
 * The messages API over HTTP: parses requests, writes streaming and non-streaming responses, and
 * reports errors.
 *
 * <p>{@link larchridge.messages.MessagesEndpoint} is the entry. It submits to {@code
 * larchridge.router} and does not depend on engines.
 */
package larchridge.messages;
