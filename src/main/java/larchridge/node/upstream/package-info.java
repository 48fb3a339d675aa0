/**
 * Carries attempts, releases and probes to engines that speak the clients' own protocol over HTTP
 * on Netty. {@link larchridge.node.upstream.ForwardingUpstreamClient} is the entry; one object of
 * this package does one job:
 *
 * <ul>
 *   <li>connections: {@link larchridge.node.upstream.ConnectionPools}, one {@link
 *       larchridge.node.upstream.ConnectionPool} an endpoint, {@link
 *       larchridge.node.upstream.UpstreamConnection};
 *   <li>an exchange on a connection: {@link larchridge.node.upstream.ForwardedAttempt} for clients'
 *       requests, {@link larchridge.node.upstream.ControlCall} for probes and releases;
 *   <li>requests: {@link larchridge.node.upstream.UpstreamRequestEncoder}; responses: {@link
 *       larchridge.node.upstream.AttemptResponseDecoder}; what they prove: {@link
 *       larchridge.node.upstream.ForwardedAttemptClassifier};
 *   <li>read states held at engines: {@link larchridge.node.upstream.StateReleaser}.
 * </ul>
 *
 * <p>Decides neither where an attempt goes nor whether it is repeated, and must not know the
 * policy, {@code node.server} or {@code node.discovery}.
 */
package larchridge.node.upstream;
