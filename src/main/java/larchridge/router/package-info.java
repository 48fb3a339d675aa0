/**
 * Routes generations from clients to engines: admits a request, sends the attempts that the routing
 * policy decides on, passes the answer to the client, and records its use.
 *
 * <p>The entry is {@link larchridge.router.Router}. A server submits a {@link
 * larchridge.router.GenerationRequest} to it and gets the answer through a {@link
 * larchridge.router.ResponseSink}. The parts of a router each have one concern: {@code
 * AdmissionController}, {@code AttemptSender} and {@code AttemptEventHandler}, {@code
 * ReadStateReleases}, {@code RequestTimeouts}, {@code FinalResponseSender}, {@code RequestCloser}, {@code
 * UsageRecorder}, {@code EndpointTable} and {@code GracefulShutdown}.
 *
 * <p>Everything of one router runs on one loop, without locks. The package decides nothing about
 * engines, retries or rejections of admitted requests: that is the policy's part. It knows neither
 * the servers' protocols nor those of the engines.
 */
package larchridge.router;
