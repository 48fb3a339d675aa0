package larchridge.router;

/**
 * The components of a router that handle the events of requests and attempts; created once per
 * router.
 *
 * @param context state shared by all components
 * @param policy passes events on to the routing policy
 * @param finalResponses sends clients their final responses
 * @param readStateReleaser releases the states that reads left at engines
 * @param closer removes finished requests
 * @param timeouts ends requests that exceed a time limit
 */
record RequestServices(
        RouterContext context,
        PolicyNotifier policy,
        FinalResponseSender finalResponses,
        ReadStateReleaser readStateReleaser,
        RequestCloser closer,
        RequestTimeouts timeouts) {}
