/**
 * How much batch work may be open at a time, whose line is next, and whether a line is tried again.
 *
 * <p>{@link larchridge.planner.BatchPlanner} is the entry. Without clock, threads or I/O: the time
 * is passed in.
 */
package larchridge.planner;
