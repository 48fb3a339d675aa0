package larchridge.settings;

import java.util.List;
import java.util.Map;
import larchridge.state.Role;
import larchridge.state.RoutingSettings;
import larchridge.state.TenantQuota;
import larchridge.state.TrafficClass;

/**
 * What the settings object of a deployment says, in the terms of the policy, a router and a node.
 * Times are milliseconds; maps and lists keep the order of the object.
 *
 * @param routing what the policy is allowed and owes
 * @param trafficClasses by name
 * @param tenants by name
 * @param roles by kind of engine
 * @param memoryTokens what a kind of engine has memory for, by kind; NaN where it is not known
 * @param clientTimeoutMs how long clients wait in all, by traffic class
 * @param reportFields the names of the figures of load reports, in their order
 * @param connectTimeoutMs how long a connection to an engine may take
 * @param keepAliveMs after so long without use an engine closes a connection
 * @param drainGraceMs within this nothing may be sent any more to an engine that drains
 * @param releaseMs within this a held state is to be used or released
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
        double releaseMs) {}
