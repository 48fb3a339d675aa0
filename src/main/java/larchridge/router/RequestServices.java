package larchridge.router;

/**
 * The parts of a router that handle the events of requests and attempts; made once for a router.
 *
 * @param context what all parts share
 * @param policy passes events on to the routing policy
 * @param finalResponses gives clients their final answers
 * @param readStates releases states that reads have left
 * @param closer removes requests that are over
 * @param timeouts ends requests whose time is up
 */
record RequestServices(
        RouterContext context,
        PolicyNotifier policy,
        FinalResponseSender finalResponses,
        ReadStateReleases readStates,
        RequestCloser closer,
        RequestTimeouts timeouts) {}
