/**
 * Routes generations from clients to engines: admits requests, sends the attempts that the routing
 * policy requests, passes responses to clients, and records usage.
 *
 * <p>The entry point is {@link larchridge.router.Router}. A server submits a {@link
 * larchridge.router.GenerationRequest} to it and receives the response through a {@link
 * larchridge.router.ResponseSink}. Each component of a router has one concern: {@code
 * AdmissionController}, {@code AttemptSender} and {@code AttemptEventHandler}, {@code
 * ReadStateReleaser}, {@code RequestTimeouts}, {@code FinalResponseSender}, {@code RequestCloser},
 * {@code UsageRecorder}, {@code EndpointTable} and {@code GracefulShutdown}.
 *
 * <p>Everything in one router runs on one loop, without locks. The package decides nothing about
 * engines, retries or rejections of admitted requests; the routing policy does. It does not depend
 * on the protocols of the servers or the engines.
 */
package larchridge.router;
