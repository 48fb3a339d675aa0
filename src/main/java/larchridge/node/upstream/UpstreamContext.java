package larchridge.node.upstream;

import larchridge.audit.RequestEvents;
import larchridge.router.Scheduler;

/**
 * What the attempts and probes of one client share.
 *
 * @param scheduler clock, timers and loop
 * @param pools where connections come from
 * @param loadReports reads the load reports of responses
 * @param releaser keeps account of the states that attempts leave or fetch
 * @param events notified of what happens to attempts
 */
record UpstreamContext(
        Scheduler scheduler,
        ConnectionPools pools,
        LoadReportReader loadReports,
        StateReleaser releaser,
        RequestEvents events) {}
