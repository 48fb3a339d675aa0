/**
 * Scheduling of batch work: how many lines may be open at a time, which batch starts the next line,
 * and whether a line is retried. A line is one request of a batch's input file; it is open while
 * its generation runs.
 *
 * <p>Entry point: {@link larchridge.planner.BatchPlanner}. Everything here is free of I/O, clocks
 * and threads; time is passed in as milliseconds.
 */
package larchridge.planner;
