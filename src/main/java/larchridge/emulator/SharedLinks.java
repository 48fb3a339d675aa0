package larchridge.emulator;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Network links over which states are transferred. Each link's bandwidth is shared evenly by its
 * transfers; a transfer over several links is as fast as the slowest one allows. Has no clock: the
 * caller asks for the time of the next completion, and again after every change.
 */
public final class SharedLinks {
    /** A link with its bandwidth and its number of transfers. */
    public static final class Link {
        private double tokensPerMs;
        private int transfers;

        /** Changes the bandwidth. */
        void setTokensPerMs(double newTokensPerMs) {
            tokensPerMs = newTokensPerMs;
        }
    }

    /** A state that is being transferred. */
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

    /** Returns the link with this name; creates it with this bandwidth if there is none. */
    public Link link(String name, double tokensPerMs) {
        return links.computeIfAbsent(
                name,
                n -> {
                    Link link = new Link();
                    link.tokensPerMs = tokensPerMs;
                    return link;
                });
    }

    /** Starts a transfer; onCompleted runs in {@link #advance} when it is complete. */
    public Transfer startTransfer(
            double nowMs, double tokens, List<Link> path, Runnable onCompleted) {
        advance(nowMs);
        Transfer transfer = new Transfer(Math.max(1, tokens), path, onCompleted);
        path.forEach(link -> link.transfers++);
        transfers.add(transfer);
        return transfer;
    }

    /** Cancels a transfer unless it is complete. */
    public void cancelTransfer(double nowMs, Transfer transfer) {
        advance(nowMs);
        if (transfers.remove(transfer)) {
            transfer.path.forEach(link -> link.transfers--);
        }
    }

    /** Changes the bandwidth of a link. */
    public void setTokensPerMs(double nowMs, String name, double tokensPerMs) {
        advance(nowMs);
        link(name, tokensPerMs).setTokensPerMs(tokensPerMs);
    }

    /** Time at which the next transfer completes if nothing changes; infinite if there is none. */
    public double nextCompletionMs() {
        double next = Double.POSITIVE_INFINITY;
        for (Transfer transfer : transfers) {
            next = Math.min(next, advancedToMs + transfer.remainingTokens / transfer.rate());
        }
        return next;
    }

    /** Advances to a time; completed transfers are reported in the order in which they started. */
    public void advance(double nowMs) {
        double elapsedMs = nowMs - advancedToMs;
        advancedToMs = nowMs;
        if (transfers.isEmpty()) {
            return;
        }
        List<Transfer> completed = new ArrayList<>();
        for (Transfer transfer : transfers) {
            transfer.remainingTokens -= elapsedMs * transfer.rate();
            // Guards against: a remainder that takes less time than a double can add to the
            // current time would never complete.
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
