package larchridge.settings;

import java.util.List;
import java.util.Map;
import larchridge.state.Role;
import larchridge.state.RoutingSettings;
import larchridge.state.TenantQuota;
import larchridge.state.TrafficClass;

/**
 * Parsed settings of a deployment, used by the policy, the router and the node. Times are
 * milliseconds; maps and lists keep the order of the JSON object.
 *
 * @param routing limits and permissions of the routing policy, and capabilities of the engines
 * @param trafficClasses traffic classes by name
 * @param tenants tenants by name
 * @param roles roles by engine type
 * @param memoryTokens number of tokens that fit in the memory of an engine, by engine type; NaN if
 *     unknown
 * @param clientTimeoutMs total time that clients wait for an answer, by traffic class
 * @param reportFields names of the fields of load reports, in order
 * @param connectTimeoutMs timeout for connecting to an engine
 * @param keepAliveMs idle time after which an engine closes a connection
 * @param drainGraceMs time after the start of a drain within which sending to the engine must stop
 * @param maxStateHoldMs time within which a held state must be used or released
 */
public record DeploymentSettings(
        RoutingSettings routing,
        Map<String, TrafficClass> trafficClasses,
        Map<String, TenantQuota> tenants,
        Map<String, Role> roles,
        Map<String, Double> memoryTokens,
        Map<String, Double> clientTimeoutMs,
        List<String> reportFields,
        double connectTimeoutMs,
        double keepAliveMs,
        double drainGraceMs,
        double maxStateHoldMs) {}
