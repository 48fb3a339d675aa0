/**
 * Sends attempts, releases and probes over HTTP, with Netty, to engines that speak the same
 * protocol as the router's clients. Entry point: {@link
 * larchridge.node.upstream.ForwardingUpstreamClient}. The classes of this package by task:
 *
 * <ul>
 *   <li>connections: {@link larchridge.node.upstream.ConnectionPools}, one {@link
 *       larchridge.node.upstream.ConnectionPool} per endpoint, {@link
 *       larchridge.node.upstream.UpstreamConnection};
 *   <li>exchanges on a connection: {@link larchridge.node.upstream.ForwardedAttempt} for clients'
 *       requests, {@link larchridge.node.upstream.ControlCall} for probes and releases;
 *   <li>requests: {@link larchridge.node.upstream.UpstreamRequestEncoder}; responses: {@link
 *       larchridge.node.upstream.AttemptResponseDecoder}; outcomes: {@link
 *       larchridge.node.upstream.ForwardedAttemptClassifier};
 *   <li>read states held at engines: {@link larchridge.node.upstream.StateReleaser}.
 * </ul>
 *
 * <p>Does not decide where an attempt is sent or whether it is retried; must not depend on the
 * routing policy, {@code node.server} or {@code node.discovery}.
 */
package larchridge.node.upstream;
