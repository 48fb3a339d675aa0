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
        private int moves;

        /** From now on it carries so much. */
        void carries(double more) {
            tokensPerMs = more;
        }
    }

    /** One state on its way. */
    public static final class Move {
        private final List<Link> way;
        private final Runnable done;
        private double left;

        private Move(double left, List<Link> way, Runnable done) {
            this.left = left;
            this.way = way;
            this.done = done;
        }

        private double rate() {
            double rate = Double.POSITIVE_INFINITY;
            for (Link link : way) {
                rate = Math.min(rate, link.tokensPerMs / link.moves);
            }
            return rate;
        }
    }

    private final Map<String, Link> links = new LinkedHashMap<>();
    private final List<Move> moves = new ArrayList<>();
    private double atMs;

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
    public Move begin(double nowMs, double tokens, List<Link> way, Runnable done) {
        advance(nowMs);
        Move move = new Move(Math.max(1, tokens), way, done);
        way.forEach(link -> link.moves++);
        moves.add(move);
        return move;
    }

    public void stop(double nowMs, Move move) {
        advance(nowMs);
        if (moves.remove(move)) {
            move.way.forEach(link -> link.moves--);
        }
    }

    /** Changes what a link carries. */
    public void carries(double nowMs, String name, double tokensPerMs) {
        advance(nowMs);
        link(name, tokensPerMs).carries(tokensPerMs);
    }

    /** When the next move ends as things are; infinite if none does. */
    public double nextMs() {
        double next = Double.POSITIVE_INFINITY;
        for (Move move : moves) {
            next = Math.min(next, atMs + move.left / move.rate());
        }
        return next;
    }

    /** Moves on to a time; those that have come are told, in the order in which they began. */
    public void advance(double nowMs) {
        double ms = nowMs - atMs;
        atMs = nowMs;
        if (moves.isEmpty()) {
            return;
        }
        List<Move> come = new ArrayList<>();
        for (Move move : moves) {
            move.left -= ms * move.rate();
            // Guards against: what is left may be less than time itself can tell apart.
            if (move.left <= 1e-3 + 1e-6 * move.rate()) {
                come.add(move);
            }
        }
        moves.removeAll(come);
        for (Move move : come) {
            move.way.forEach(link -> link.moves--);
        }
        come.forEach(move -> move.done.run());
    }
}
