/**
 * Carries leases of tokens between routers and the quota lender, over HTTP with JSON bodies.
 *
 * <p>Entry points: {@link larchridge.lease.LeaseClient} at a router and {@link
 * larchridge.lease.LeaseEndpoint} in the lender's process. The package {@code larchridge.budget}
 * decides what is leased to whom; this package must not depend on how.
 */
package larchridge.lease;
