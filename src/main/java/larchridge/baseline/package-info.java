/**
 * Plain routing policies that the routing policy is compared with in experiments.
 *
 * <p>{@link larchridge.baseline.BaselinePolicy} is the entry. Never part of a running service.
 */
package larchridge.baseline;
