/**
 * Simple routing policies with which experiments compare the routing policy; never used by a
 * running service.
 *
 * <p>The entry point is {@link larchridge.baseline.BaselinePolicy}.
 */
package larchridge.baseline;
