package larchridge.budget;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Random;

/**
 * One router's part of the tree of budgets: service, groups, tenants, products of a tenant. A
 * generation is charged its estimate when it is admitted and settled to what it used when it ends.
 * A tenant that has used up its own rate borrows what its group, or the service, can spare: all but
 * what the other tenants there have accumulated and will accumulate within {@code giveBackMs}. Free
 * of I/O, clocks and threads; time is passed in as milliseconds of Unix time.
 */
public final class Budgets implements BudgetConfigurer {
    /** The share of the maximum output that a generation is expected to write. */
    private static final double EXPECTED_OUTPUT_SHARE = 0.5;

    /** The retry delay at the in-flight limit; when a generation will end is not known. */
    private static final double IN_FLIGHT_RETRY_MS = 1000;

    private static final double MIN_RATE_RETRY_MS = 1;

    private final Random random;
    private final int routers;
    private final double fixedShare;
    private final double giveBackMs;
    private final BudgetNode service;
    private final Map<String, BudgetNode> groups = new LinkedHashMap<>();
    private final Map<String, BudgetNode> tenants = new LinkedHashMap<>();
    private final Map<String, BudgetNode> products = new LinkedHashMap<>();

    /** All budgets, by the names that the lender uses. */
    private final Map<String, BudgetNode> nodesByName = new HashMap<>();

    private boolean lenderAvailable;

    /**
     * The budgets of one router.
     *
     * @param serviceLimits the limits of the whole service
     * @param routers how many routers hold a part each
     * @param fixedShare the share of all rates that is divided into fixed parts; the rest is
     *     leased, see {@link QuotaLender}
     * @param giveBackMs how many milliseconds of each other tenant's rate may not be borrowed, in
     *     addition to what it has accumulated, so that a tenant that becomes active is not kept
     *     waiting
     * @param random the source of random draws, see {@link TokenBucket}
     */
    public Budgets(
            BudgetLimits serviceLimits,
            int routers,
            double fixedShare,
            double giveBackMs,
            Random random) {
        this.random = random;
        this.fixedShare = fixedShare;
        this.routers = routers;
        this.giveBackMs = giveBackMs;
        this.service = newNode(BudgetNode.SERVICE, null, serviceLimits);
        nodesByName.put(BudgetNode.SERVICE, this.service);
    }

    private BudgetNode newNode(String name, BudgetNode parent, BudgetLimits limits) {
        boolean holdsWholeBudget = routers == 1 && fixedShare >= 1;
        return new BudgetNode(
                name,
                parent,
                limits.partOf(routers, fixedShare),
                holdsWholeBudget ? TokenBucket.OversizeRule.DEBT : TokenBucket.OversizeRule.DRAW,
                random);
    }

    @Override
    public void configureService(BudgetLimits limits, double nowMs) {
        service.reconfigure(limits.partOf(routers, fixedShare), nowMs);
    }

    @Override
    public void configureGroup(String name, BudgetLimits limits, double nowMs) {
        BudgetNode group = groups.get(name);
        if (group == null) {
            groups.put(name, addNode(BudgetNode.groupName(name), service, limits));
        } else {
            group.reconfigure(limits.partOf(routers, fixedShare), nowMs);
        }
    }

    @Override
    public void configureTenant(String name, String group, BudgetLimits limits, double nowMs) {
        BudgetNode parent = group == null ? service : groups.get(group);
        if (parent == null) {
            throw new IllegalArgumentException(
                    "tenant " + name + ": group " + group + " is not configured");
        }
        BudgetNode tenant = tenants.get(name);
        if (tenant == null) {
            tenants.put(name, addNode(BudgetNode.tenantName(name), parent, limits));
        } else {
            tenant.reconfigure(limits.partOf(routers, fixedShare), nowMs);
        }
    }

    @Override
    public void configureProduct(String tenant, String product, BudgetLimits limits, double nowMs) {
        String key = productKey(tenant, product);
        BudgetNode node = products.get(key);
        if (node == null) {
            String name = BudgetNode.productName(tenant, product);
            products.put(key, addNode(name, tenants.get(tenant), limits));
        } else {
            node.reconfigure(limits.partOf(routers, fixedShare), nowMs);
        }
    }

    private BudgetNode addNode(String name, BudgetNode parent, BudgetLimits limits) {
        BudgetNode node = newNode(name, parent, limits);
        nodesByName.putIfAbsent(name, node);
        return node;
    }

    private static String productKey(String tenant, String product) {
        return tenant + '\n' + product;
    }

    /**
     * Counts this router's part of what a tenant used this month before the router started; called
     * once, at the start.
     */
    public void restoreMonthlyUsage(
            String tenant, String product, double usedTokens, double nowMs) {
        for (BudgetNode node = find(tenant, product); node != null; node = node.parent) {
            node.addMonthlyUsage(usedTokens / routers, nowMs);
        }
    }

    /** The tokens that a generation is expected to use: its prompt and half of its maximum. */
    public static double estimate(int promptTokens, int maxTokens) {
        return promptTokens + EXPECTED_OUTPUT_SHARE * maxTokens;
    }

    /**
     * Requests admission of a generation, and charges it if it is admitted. An unknown tenant is
     * subject to the service's budget only.
     *
     * @param tokens the expected tokens of prompt and answer
     */
    public BudgetDecision requestAdmission(
            String tenant, String product, double tokens, double nowMs) {
        BudgetNode requestedNode = find(tenant, product);
        for (BudgetNode node = requestedNode; node != null; node = node.parent) {
            if (!node.hasMonthlyCapacity(tokens, nowMs)) {
                return monthlyRejection(node, nowMs);
            }
            if (!node.hasInFlightCapacity(tokens)) {
                return inFlightRejection(node);
            }
        }
        BudgetNode rateNode = firstWithRateLimit(requestedNode);
        BudgetNode chargedNode =
                rateNode == null
                        ? requestedNode
                        : takeTokens(requestedNode, rateNode, tokens, nowMs);
        if (rateNode != null) {
            rateNode.recordDemand(tokens, nowMs);
        }
        if (chargedNode == null) {
            return rateRejection(rateNode, tokens, nowMs);
        }
        // The ancestors of the charged budget are charged too, since its usage is part of theirs;
        // budgets below it keep their tokens.
        for (BudgetNode node = chargedNode.parent; node != null; node = node.parent) {
            if (node.limits().hasRateLimit()) {
                node.bucket().takeUnconditionally(tokens, nowMs);
            }
        }
        for (BudgetNode node = requestedNode; node != null; node = node.parent) {
            node.startGeneration(tokens);
        }
        boolean borrowed = rateNode != null && chargedNode != rateNode;
        return admission(new Charge(requestedNode, tokens, chargedNode, borrowed), rateNode, nowMs);
    }

    private static BudgetDecision monthlyRejection(BudgetNode node, double nowMs) {
        double limitTokens = node.limits().monthlyTokens();
        double remainingTokens = Math.max(0, limitTokens - node.monthUsedTokens(nowMs));
        double waitMs = node.msUntilNextMonth(nowMs);
        String reason = node.name + ": monthly limit";
        return new BudgetDecision(
                null, limitTokens, remainingTokens, waitMs, waitMs, reason, false);
    }

    private static BudgetDecision inFlightRejection(BudgetNode node) {
        double limitTokens = node.limits().inFlightTokens();
        return new BudgetDecision(
                null,
                limitTokens,
                Math.max(0, limitTokens - node.inFlightTokens()),
                IN_FLIGHT_RETRY_MS,
                IN_FLIGHT_RETRY_MS,
                node.name + ": in-flight limit",
                false);
    }

    private static BudgetDecision rateRejection(BudgetNode rateNode, double tokens, double nowMs) {
        TokenBucket bucket = rateNode.bucket();
        double waitMs = bucket.msUntil(tokens, nowMs);
        // Guards against: a retry delay of 0. A request over this router's part of the burst may be
        // rejected although the bucket is full. Without the lender, waiting until the bucket is
        // full only raises the chance that the next draw admits such a request.
        return new BudgetDecision(
                null,
                bucket.burstTokens(),
                Math.max(0, bucket.level(nowMs)),
                bucket.msUntil(bucket.burstTokens(), nowMs),
                Math.max(MIN_RATE_RETRY_MS, waitMs),
                rateNode.name + ": rate limit",
                true);
    }

    private static BudgetDecision admission(Charge charge, BudgetNode rateNode, double nowMs) {
        if (rateNode == null) {
            return new BudgetDecision(
                    charge, Double.POSITIVE_INFINITY, Double.POSITIVE_INFINITY, 0, 0, null, false);
        }
        TokenBucket bucket = rateNode.bucket();
        return new BudgetDecision(
                charge,
                bucket.burstTokens(),
                Math.max(0, bucket.level(nowMs)),
                bucket.msUntil(bucket.burstTokens(), nowMs),
                0,
                null,
                false);
    }

    /** The first budget with a rate limit, from this one upwards, or null. */
    private static BudgetNode firstWithRateLimit(BudgetNode start) {
        BudgetNode node = start;
        while (node != null && !node.limits().hasRateLimit()) {
            node = node.parent;
        }
        return node;
    }

    /**
     * Takes the tokens from the first budget that has enough, from {@code requestedNode} upwards:
     * first from the bucket of {@code rateNode}, then from its leases, then from what the budgets
     * above {@code requestedNode} can spare. Returns the budget charged, or null if none has
     * enough.
     *
     * @param rateNode the first budget with a rate limit, from {@code requestedNode} upwards
     */
    private BudgetNode takeTokens(
            BudgetNode requestedNode, BudgetNode rateNode, double tokens, double nowMs) {
        // Guards against: a tenant without a rate limit of its own would use up what is reserved
        // for the other tenants.
        if ((rateNode == requestedNode
                        || tokensReservedForOthers(rateNode, requestedNode, nowMs) <= 0)
                && tryTakeFromBucket(rateNode, tokens, nowMs)) {
            return rateNode;
        }
        if (rateNode.tryTakeLeased(tokens, nowMs)) {
            return rateNode;
        }
        BudgetNode first = rateNode == requestedNode ? rateNode.parent : rateNode;
        for (BudgetNode node = first; node != null; node = node.parent) {
            if (node.limits().hasRateLimit()
                    && node.bucket().level(nowMs)
                                    - tokensReservedForOthers(node, requestedNode, nowMs)
                            >= tokens) {
                node.bucket().takeUnconditionally(tokens, nowMs);
                return node;
            }
        }
        return null;
    }

    private boolean tryTakeFromBucket(BudgetNode rateNode, double tokens, double nowMs) {
        return lenderAvailable
                ? rateNode.bucket().tryTakeWithoutDraw(tokens, nowMs)
                : rateNode.bucket().tryTake(tokens, nowMs);
    }

    /**
     * The tokens that a node's children with a rate limit have accumulated and will accumulate
     * within {@code giveBackMs}, except the borrower and its ancestors.
     */
    private double tokensReservedForOthers(BudgetNode node, BudgetNode borrower, double nowMs) {
        double reservedTokens = 0;
        for (BudgetNode child : node.children) {
            if (child == borrower
                    || isAncestor(child, borrower)
                    || !child.limits().hasRateLimit()) {
                continue;
            }
            // Guards against: a tenant that becomes active may at once request all that it has
            // accumulated.
            reservedTokens +=
                    Math.max(0, child.bucket().level(nowMs))
                            + child.limits().tokensPerMs() * giveBackMs;
        }
        return reservedTokens;
    }

    private static boolean isAncestor(BudgetNode candidate, BudgetNode descendant) {
        for (BudgetNode node = descendant.parent; node != null; node = node.parent) {
            if (node == candidate) {
                return true;
            }
        }
        return false;
    }

    /**
     * What would have to be leased so that a generation that a rate limit rejected can be admitted;
     * null if no lease would help.
     */
    public QuotaRequest quotaRequestFor(
            String tenant, String product, double tokens, double nowMs) {
        BudgetNode rateNode = firstWithRateLimit(find(tenant, product));
        return rateNode == null || fixedShare >= 1 ? null : rateNode.quotaRequestFor(tokens, nowMs);
    }

    /** Sets whether the lender responds; without it the fixed parts also admit by random draws. */
    public void setLenderAvailable(boolean available) {
        lenderAvailable = available;
    }

    /**
     * Adds a lease to a budget. Does nothing if the budget is unknown.
     *
     * @param budgetName the budget's name
     * @param expiresMs when the lease expires
     */
    public void addLease(String budgetName, double tokens, double expiresMs) {
        BudgetNode node = nodesByName.get(budgetName);
        if (node != null && tokens > 0) {
            node.addLease(tokens, expiresMs);
        }
    }

    /** Settles a charge to the tokens used; a second time does nothing. */
    public void settle(Charge charge, double usedTokens, double nowMs) {
        if (!charge.markSettled()) {
            return;
        }
        double unusedTokens = charge.estimatedTokens - usedTokens;
        for (BudgetNode node = charge.chargedNode; node != null; node = node.parent) {
            if (node.limits().hasRateLimit()) {
                node.bucket().refund(unusedTokens, nowMs);
            }
        }
        for (BudgetNode node = charge.requestedNode; node != null; node = node.parent) {
            node.endGeneration(charge.estimatedTokens, usedTokens, nowMs);
        }
    }

    /** The budget of a tenant's product; if it has none, the tenant's, or else the service's. */
    private BudgetNode find(String tenant, String product) {
        BudgetNode node = products.get(productKey(tenant, product));
        return node != null ? node : tenants.getOrDefault(tenant, service);
    }
}
