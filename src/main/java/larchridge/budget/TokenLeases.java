package larchridge.budget;

import java.util.ArrayDeque;

/** The tokens leased to one budget, the oldest lease first; each expires at its time. */
final class TokenLeases {
    private static final int MAX_LEASES = 64;

    private final ArrayDeque<Lease> leases = new ArrayDeque<>();

    private record Lease(double tokens, double expiresMs) {}

    void add(double tokens, double expiresMs) {
        if (leases.size() >= MAX_LEASES) {
            // The oldest lease would expire first.
            leases.removeFirst();
        }
        leases.add(new Lease(tokens, expiresMs));
    }

    /** The tokens of all leases that have not expired; drops those that have. */
    double tokens(double nowMs) {
        leases.removeIf(lease -> lease.expiresMs <= nowMs);
        return leases.stream().mapToDouble(Lease::tokens).sum();
    }

    /** Takes tokens from the leases, the oldest first; returns how many are missing. */
    double takeAndReturnMissing(double tokens) {
        double missingTokens = tokens;
        while (missingTokens > 0 && !leases.isEmpty()) {
            Lease oldest = leases.removeFirst();
            if (oldest.tokens > missingTokens) {
                leases.addFirst(new Lease(oldest.tokens - missingTokens, oldest.expiresMs));
            }
            missingTokens -= Math.min(missingTokens, oldest.tokens);
        }
        return missingTokens;
    }
}
