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
    public int fronts;
    public boolean ownPorts;
    public long seed;
    public Path inventory;
    public double pollMs;
    public double drainGraceMs;
    public double releaseMs;
    public final SiteLimits limit = new SiteLimits();
    public final Map<String, ProductOffering> offersByModel = new HashMap<>();

    /** Tenants by the SHA-256 of a key, in hex. */
    final Map<String, Tenant> tenantsByKey = new HashMap<>();

    /** The tenant of clients with an unlisted key, or null where they are turned away. */
    public Tenant guest;

    RoutingSettings terms = RoutingSettings.builder().build();

    /** Where usage is written; null if it is not. */
    public Path ledger;

    public int ledgerWaits;

    /** How long the end of an answer may wait for its record; 0 is not at all. */
    public double answerWaitsMs;

    public String currency;
    public final Map<String, Price> prices = new LinkedHashMap<>();
    BudgetLimits budget = BudgetLimits.UNLIMITED;
    double giveBackMs;

    /** Where what is not in fixed parts is lent; null if nothing is. */
    public String lenderHost;

    public int lenderPort;

    /** Whether this process lends. */
    public boolean lends;

    double fixedShare = 1;
    public double lapseMs;
    public double loanMs;

    /** The batch API; null where it is not served. */
    public BatchSettings batch;

    final Map<String, BudgetLimits> groups = new LinkedHashMap<>();
    final List<TenantGrant> tenantGrants = new ArrayList<>();

    /**
     * A front's surroundings without a site file: no budgets, no ledger, no batches. The limits are
     * the caller's to set.
     */
    public static Site plain(RoutingSettings terms) {
        Site site = new Site();
        site.terms = terms;
        site.seed = terms.seed();
        site.fronts = 1;
        site.guest = new Tenant("", 0, 0);
        return site;
    }

    record TenantGrant(
            String tenant, String group, BudgetLimits grant, Map<String, BudgetLimits> products) {}

    /** Whom a generation is done for; each front counts an account of its own. */
    public record Tenant(String name, double quotaPerSecond, double batchShare) {
        public TenantQuota account() {
            return new TenantQuota(name, quotaPerSecond);
        }
    }

    /** The tenant of this name, or null; files outlive keys. */
    public Tenant tenantNamed(String name) {
        if (guest != null && guest.name().equals(name)) {
            return guest;
        }
        return tenantsByKey.values().stream()
                .filter(tenant -> tenant.name().equals(name))
                .findFirst()
                .orElse(null);
    }

    /** The tenant whose key this is, the guest, or null. */
    public Tenant tenant(String key) {
        Tenant known = key == null ? null : tenantsByKey.get(sha256(key));
        return known != null ? known : guest;
    }

    /** The terms of one front: all alike but for the seed of its chance. */
    public RoutingSettings termsOf(int front) {
        return terms.withSeed(seed * 0x9E3779B97F4A7C15L + front);
    }

    /** One front's part of all budgets. */
    public Budgets budgetsOf(int front, double nowMs) {
        Budgets budgets =
                new Budgets(
                        budget,
                        terms.routers(),
                        fixedShare,
                        giveBackMs,
                        new Random(termsOf(front).seed() ^ 0x5DEECE66DL));
        budgetsTo(budgets, nowMs);
        return budgets;
    }

    /** Sets the budgets as this site file says, also in place of others. */
    public void budgetsTo(BudgetConfigurer taker, double nowMs) {
        taker.configureService(budget, nowMs);
        groups.forEach((name, grant) -> taker.configureGroup(name, grant, nowMs));
        for (TenantGrant tenant : tenantGrants) {
            taker.configureTenant(tenant.tenant, tenant.group, tenant.grant, nowMs);
            tenant.products.forEach(
                    (name, grant) -> taker.configureProduct(tenant.tenant, name, grant, nowMs));
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
