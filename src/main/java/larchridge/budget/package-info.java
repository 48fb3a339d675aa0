/**
 * Token budgets of tenants: a tree of token buckets, in-flight limits and monthly limits that
 * decides whether a generation is admitted, and a lender that shares rates between routers.
 *
 * <p>Entry points: {@link larchridge.budget.Budgets}, which each router owns, and {@link
 * larchridge.budget.QuotaLender}; a service has one, in one of its processes. Everything here is
 * free of I/O, clocks and threads: time is passed in as milliseconds of Unix time. This package
 * must not depend on routers, the wire format of leases or the ledger.
 */
package larchridge.budget;
