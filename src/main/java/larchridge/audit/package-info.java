/**
 * Run-time checks of the node's invariants, based on the observed socket traffic rather than on the
 * router's decisions. The entry point is {@link larchridge.audit.RequestAudit}; connections report
 * events to it through {@link larchridge.audit.RequestEvents}. The checks count and log violations
 * and change nothing. This package must not depend on the routing policy, the router or the
 * connections that report to it.
 */
package larchridge.audit;
