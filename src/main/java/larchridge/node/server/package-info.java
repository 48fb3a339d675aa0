/**
 * The HTTP server of a node for its clients: accepts HTTP/1.1 connections, reads requests, passes
 * generations to the {@link larchridge.router.Router} and writes its responses. The entry class is
 * {@link larchridge.node.server.HttpServer}; one {@link larchridge.node.server.ClientConnection}
 * serves each connection, in the stages {@link larchridge.node.server.StrictRequestDecoder}
 * (decode), {@link larchridge.node.server.RequestBodyBuffer} (aggregate), {@link
 * larchridge.node.server.PipelineQueue} (queue pipelined requests), {@link
 * larchridge.node.server.RequestDispatcher} (validate and admit), {@link
 * larchridge.node.server.ClientExchange} (respond) and {@link
 * larchridge.node.server.ConnectionCloser} (close). What a request occupies on the heap, from the
 * first line of its head to its final response, counts against {@link
 * larchridge.node.transport.MemoryBudget}.
 *
 * <p>Must not depend on how engines are reached or discovered ({@code node.upstream}, {@code
 * node.discovery}), nor decide which engine serves a request. All of it runs on one event loop.
 */
package larchridge.node.server;
