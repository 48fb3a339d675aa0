/**
 * Run-time checks of the node's invariants, computed from what goes over the sockets rather than
 * from the decisions that led to it. The entry is {@link larchridge.audit.RequestAudit}, which the
 * connections feed through {@link larchridge.audit.RequestEvents}. The checks count and log
 * violations and change nothing; this package must not know the policy, the router or the
 * connections that report to it.
 */
package larchridge.audit;
