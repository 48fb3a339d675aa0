/**
 * Run-time checks of what the rules demand, reckoned from what goes over the sockets rather than
 * from what decided it. They count and log violations and change nothing.
 */
package larchridge.audit;
