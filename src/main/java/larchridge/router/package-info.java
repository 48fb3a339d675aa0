/**
 * Routes generations from clients to engines: admits requests, sends the attempts that the routing
 * policy requests, passes responses to clients, and records usage.
 *
 * <p>The entry point is {@link larchridge.router.Router}. A server submits a {@link
 * larchridge.router.GenerationRequest} to it and receives the response through a {@link
 * larchridge.router.ResponseSink}. The main components: {@code AdmissionController} admits or
 * rejects requests; {@code AttemptSender} sends attempts, and {@code AttemptEventHandler} handles
 * their events; {@code PolicyNotifier} passes events on to the routing policy; {@code
 * RequestTimeouts} enforces time limits; {@code FinalResponseSender} ends the response to a client,
 * and {@code RequestCloser} the processing of its request; {@code ReadStateReleaser} releases read
 * states that no attempt will fetch; {@code UsageRecorder} records the usage to be billed; {@code
 * EndpointTable} keeps the engines' addresses; {@code GracefulShutdown} closes the connections to
 * the engines once the router is idle.
 *
 * <p>Everything in one router runs on one loop, without locks. The package decides nothing about
 * engines, retries or rejections of admitted requests; the routing policy does. It does not depend
 * on the protocols of the servers or the engines.
 */
package larchridge.router;
