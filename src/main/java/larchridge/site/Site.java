package larchridge.site;

import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import larchridge.budget.BudgetConfigurer;
import larchridge.budget.BudgetLimits;
import larchridge.budget.Budgets;
import larchridge.ledger.Price;
import larchridge.state.RoutingSettings;
import larchridge.state.TenantQuota;

/**
 * The settings of one process of the service, usually from its site file, validated: listeners,
 * products, tenants, budgets and connections to engines.
 */
public final class Site {
    public String host;
    public int port;

    /** Address of the admin listener; null if there is none. */
    public String adminHost;

    public int adminPort;
    public int routers;
    public boolean portPerRouter;
    public long seed;
    public Path engineListFile;
    public double engineListPollMs;
    public double drainGraceMs;

    /** Time within which a held read state must be used or released; then its engine frees it. */
    public double maxStateHoldMs;

    public final SiteLimits limits = new SiteLimits();
    public final Map<String, ProductOffering> offeringsByModel = new HashMap<>();

    /** Tenants by the SHA-256 of a key, in hex. */
    final Map<String, Tenant> tenantsByKey = new HashMap<>();

    /** The tenant of clients whose key is not listed; null if they are rejected. */
    public Tenant guest;

    RoutingSettings routingSettings = RoutingSettings.builder().build();

    /** The folder in which usage is recorded; null if it is not. */
    public Path ledgerFolder;

    public int maxWaitingLedgerRecords;

    /** How long the end of a response may wait until its usage is on disk; 0 for no wait. */
    public double maxLedgerWaitMs;

    public String currency;
    public final Map<String, Price> prices = new LinkedHashMap<>();
    BudgetLimits serviceBudget = BudgetLimits.UNLIMITED;

    /** Milliseconds of each other tenant's rate that may not be borrowed; see {@link Budgets}. */
    double giveBackMs;

    /** Host of the lender of the leased rates; null if nothing is leased. */
    public String lenderHost;

    public int lenderPort;

    /** Whether this process is the lender. */
    public boolean isLender;

    double fixedShare = 1;
    public double leaseDurationMs;
    public double leaseCallTimeoutMs;

    /** Settings of the batch API; null if it is not served. */
    public BatchSettings batchSettings;

    final Map<String, BudgetLimits> groupBudgets = new LinkedHashMap<>();
    final List<TenantBudget> tenantBudgets = new ArrayList<>();

    /**
     * Settings of a router without a site file: no budgets, no ledger, no batches. The caller sets
     * the limits.
     */
    public static Site ofRoutingSettings(RoutingSettings routingSettings) {
        Site site = new Site();
        site.routingSettings = routingSettings;
        site.seed = routingSettings.seed();
        site.routers = 1;
        site.guest = new Tenant("", 0, 0);
        return site;
    }

    /** The limits of a tenant and of its products; the group is null if it is in none. */
    record TenantBudget(
            String tenant,
            String group,
            BudgetLimits limits,
            Map<String, BudgetLimits> productLimits) {}

    /**
     * The tenant that a generation runs for. {@code quotaPerSecond} is in generations per second,
     * which each router counts separately.
     */
    public record Tenant(String name, double quotaPerSecond, double batchShare) {
        /** The tenant's quota in the form that routing policies use. */
        public TenantQuota quota() {
            return new TenantQuota(name, quotaPerSecond);
        }
    }

    /**
     * The tenant with this name, or null. The batch store records tenants by name, since their keys
     * change.
     */
    public Tenant tenantByName(String name) {
        if (guest != null && guest.name().equals(name)) {
            return guest;
        }
        return tenantsByKey.values().stream()
                .filter(tenant -> tenant.name().equals(name))
                .findFirst()
                .orElse(null);
    }

    /** The tenant with this key, else the guest, else null. */
    public Tenant tenantByKey(String key) {
        Tenant listed = key == null ? null : tenantsByKey.get(sha256(key));
        return listed != null ? listed : guest;
    }

    /** The routing settings of one router; only the random seed differs between routers. */
    public RoutingSettings routingSettingsOf(int routerNumber) {
        return routingSettings.withSeed(seed * 0x9E3779B97F4A7C15L + routerNumber);
    }

    /** Creates one router's part of all budgets. */
    public Budgets createBudgets(int routerNumber, double nowMs) {
        Budgets budgets =
                new Budgets(
                        serviceBudget,
                        routingSettings.routers(),
                        fixedShare,
                        giveBackMs,
                        new Random(routingSettingsOf(routerNumber).seed() ^ 0x5DEECE66DL));
        configureBudgets(budgets, nowMs);
        return budgets;
    }

    /** Configures the budgets of this site file; replaces limits that were configured before. */
    public void configureBudgets(BudgetConfigurer configurer, double nowMs) {
        configurer.configureService(serviceBudget, nowMs);
        groupBudgets.forEach((name, limits) -> configurer.configureGroup(name, limits, nowMs));
        for (TenantBudget tenant : tenantBudgets) {
            configurer.configureTenant(tenant.tenant, tenant.group, tenant.limits, nowMs);
            tenant.productLimits.forEach(
                    (name, limits) ->
                            configurer.configureProduct(tenant.tenant, name, limits, nowMs));
        }
    }

    /** The share of all rates that is leased. */
    public double leasedShare() {
        return 1 - fixedShare;
    }

    /** The SHA-256 digest of a text, in hex. */
    public static String sha256(String text) {
        try {
            byte[] digest =
                    MessageDigest.getInstance("SHA-256")
                            .digest(text.getBytes(StandardCharsets.UTF_8));
            return HexFormat.of().formatHex(digest);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("SHA-256 is not available", e);
        }
    }
}
