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

/** What a site file says, checked and turned into the few holders that the program uses. */
public final class Site {
    public String host;
    public int port;

    /** Where operators read figures; null if nowhere. */
    public String adminHost;

    public int adminPort;
    public int routers;
    public boolean portPerRouter;
    public long seed;
    public Path engineListFile;
    public double engineListPollMs;
    public double drainGraceMs;
    public double releaseMs;
    public final SiteLimits limits = new SiteLimits();
    public final Map<String, ProductOffering> offeringsByModel = new HashMap<>();

    /** Tenants by the SHA-256 of a key, in hex. */
    final Map<String, Tenant> tenantsByKey = new HashMap<>();

    /** The tenant of clients with an unlisted key, or null where they are turned away. */
    public Tenant guest;

    RoutingSettings routingSettings = RoutingSettings.builder().build();

    /** Where usage is written; null if it is not. */
    public Path ledgerFolder;

    public int maxWaitingLedgerRecords;

    /** How long the end of an answer may wait for its record; 0 is not at all. */
    public double maxLedgerWaitMs;

    public String currency;
    public final Map<String, Price> prices = new LinkedHashMap<>();
    BudgetLimits serviceBudget = BudgetLimits.UNLIMITED;
    double giveBackMs;

    /** Where what is not in fixed parts is lent; null if nothing is. */
    public String lenderHost;

    public int lenderPort;

    /** Whether this process lends. */
    public boolean isLender;

    double fixedShare = 1;
    public double leaseDurationMs;
    public double leaseCallTimeoutMs;

    /** The batch API; null where it is not served. */
    public BatchSettings batchSettings;

    final Map<String, BudgetLimits> groupBudgets = new LinkedHashMap<>();
    final List<TenantBudget> tenantBudgets = new ArrayList<>();

    /**
     * A front's surroundings without a site file: no budgets, no ledger, no batches. The limits are
     * the caller's to set.
     */
    public static Site ofRoutingSettings(RoutingSettings routingSettings) {
        Site site = new Site();
        site.routingSettings = routingSettings;
        site.seed = routingSettings.seed();
        site.routers = 1;
        site.guest = new Tenant("", 0, 0);
        return site;
    }

    record TenantBudget(
            String tenant, String group, BudgetLimits limits, Map<String, BudgetLimits> productLimits) {}

    /** Whom a generation is done for; each front counts an account of its own. */
    public record Tenant(String name, double quotaPerSecond, double batchShare) {
        public TenantQuota quota() {
            return new TenantQuota(name, quotaPerSecond);
        }
    }

    /** The tenant of this name, or null; files outlive keys. */
    public Tenant tenantByName(String name) {
        if (guest != null && guest.name().equals(name)) {
            return guest;
        }
        return tenantsByKey.values().stream()
                .filter(tenant -> tenant.name().equals(name))
                .findFirst()
                .orElse(null);
    }

    /** The tenant whose key this is, the guest, or null. */
    public Tenant tenantByKey(String key) {
        Tenant listed = key == null ? null : tenantsByKey.get(sha256(key));
        return listed != null ? listed : guest;
    }

    /** The terms of one front: all alike but for the seed of its chance. */
    public RoutingSettings routingSettingsOf(int routerNumber) {
        return routingSettings.withSeed(seed * 0x9E3779B97F4A7C15L + routerNumber);
    }

    /** One front's part of all budgets. */
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

    /** Sets the budgets as this site file says, also in place of others. */
    public void configureBudgets(BudgetConfigurer configurer, double nowMs) {
        configurer.configureService(serviceBudget, nowMs);
        groupBudgets.forEach((name, limits) -> configurer.configureGroup(name, limits, nowMs));
        for (TenantBudget tenant : tenantBudgets) {
            configurer.configureTenant(tenant.tenant, tenant.group, tenant.limits, nowMs);
            tenant.productLimits.forEach(
                    (name, limits) -> configurer.configureProduct(tenant.tenant, name, limits, nowMs));
        }
    }

    /** What is lent of all budgets. */
    public double lentShare() {
        return 1 - fixedShare;
    }

    public static String sha256(String text) {
        try {
            byte[] digest =
                    MessageDigest.getInstance("SHA-256")
                            .digest(text.getBytes(StandardCharsets.UTF_8));
            return HexFormat.of().formatHex(digest);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java has SHA-256", e);
        }
    }
}
