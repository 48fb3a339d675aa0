package larchridge.emulator;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Links that states move over, each shared evenly by what moves on it; a move over several goes as
 * fast as the slowest lets it. Without clock: whoever drives it asks when the next one ends, and
 * again after every change.
 */
public final class SharedLinks {
    /** One link. */
    public static final class Link {
        private double tokensPerMs;
        private int transfers;

        /** From now on it carries so much. */
        void setTokensPerMs(double newTokensPerMs) {
            tokensPerMs = newTokensPerMs;
        }
    }

    /** One state on its way. */
    public static final class Transfer {
        private final List<Link> path;
        private final Runnable onCompleted;
        private double remainingTokens;

        private Transfer(double remainingTokens, List<Link> path, Runnable onCompleted) {
            this.remainingTokens = remainingTokens;
            this.path = path;
            this.onCompleted = onCompleted;
        }

        private double rate() {
            double rate = Double.POSITIVE_INFINITY;
            for (Link link : path) {
                rate = Math.min(rate, link.tokensPerMs / link.transfers);
            }
            return rate;
        }
    }

    private final Map<String, Link> links = new LinkedHashMap<>();
    private final List<Transfer> transfers = new ArrayList<>();
    private double advancedToMs;

    /** The link of this name, made with this speed when it is first asked for. */
    public Link link(String name, double tokensPerMs) {
        return links.computeIfAbsent(
                name,
                n -> {
                    Link link = new Link();
                    link.tokensPerMs = tokensPerMs;
                    return link;
                });
    }

    /** Begins a move; done runs from {@link #advance} when all has come. */
    public Transfer startTransfer(double nowMs, double tokens, List<Link> path, Runnable onCompleted) {
        advance(nowMs);
        Transfer transfer = new Transfer(Math.max(1, tokens), path, onCompleted);
        path.forEach(link -> link.transfers++);
        transfers.add(transfer);
        return transfer;
    }

    public void cancelTransfer(double nowMs, Transfer transfer) {
        advance(nowMs);
        if (transfers.remove(transfer)) {
            transfer.path.forEach(link -> link.transfers--);
        }
    }

    /** Changes what a link carries. */
    public void setTokensPerMs(double nowMs, String name, double tokensPerMs) {
        advance(nowMs);
        link(name, tokensPerMs).setTokensPerMs(tokensPerMs);
    }

    /** When the next move ends as things are; infinite if none does. */
    public double nextCompletionMs() {
        double next = Double.POSITIVE_INFINITY;
        for (Transfer transfer : transfers) {
            next = Math.min(next, advancedToMs + transfer.remainingTokens / transfer.rate());
        }
        return next;
    }

    /** Moves on to a time; those that have come are told, in the order in which they began. */
    public void advance(double nowMs) {
        double elapsedMs = nowMs - advancedToMs;
        advancedToMs = nowMs;
        if (transfers.isEmpty()) {
            return;
        }
        List<Transfer> completed = new ArrayList<>();
        for (Transfer transfer : transfers) {
            transfer.remainingTokens -= elapsedMs * transfer.rate();
            // Guards against: what is left may be less than time itself can tell apart.
            if (transfer.remainingTokens <= 1e-3 + 1e-6 * transfer.rate()) {
                completed.add(transfer);
            }
        }
        transfers.removeAll(completed);
        for (Transfer transfer : completed) {
            transfer.path.forEach(link -> link.transfers--);
        }
        completed.forEach(transfer -> transfer.onCompleted.run());
    }
}
