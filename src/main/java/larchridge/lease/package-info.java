/**
 * Carries leases of tokens between routers and the quota lender, over HTTP with JSON bodies.
 *
 * <p>Entry points: {@link larchridge.lease.LeaseClient} at a router and {@link
 * larchridge.lease.LeaseEndpoint} at the process that lends. What is leased to whom is decided by
 * {@code larchridge.budget}; this package must not know how.
 */
package larchridge.lease;
