package larchridge.node.upstream;

import larchridge.audit.RequestEvents;
import larchridge.node.transport.MemoryBudget;
import larchridge.router.Scheduler;

/**
 * Dependencies shared by the attempts and probes of one {@link ForwardingUpstreamClient}.
 *
 * @param scheduler clock, timers and event loop
 * @param pools provides connections
 * @param loadReportParser parses load reports in responses
 * @param releaser tracks the states that attempts leave or fetch
 * @param requestEvents receives the events of attempts
 * @param eventMemory bounds the incomplete events of all responses
 */
record UpstreamContext(
        Scheduler scheduler,
        ConnectionPools pools,
        ConfiguredLoadReportParser loadReportParser,
        StateReleaser releaser,
        RequestEvents requestEvents,
        MemoryBudget eventMemory) {}
