package larchridge.emulator;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A serving engine as published work describes them, without clock, threads or sockets: continuous
 * batching in steps, prompts in chunks beside answers, memory in blocks with kept beginnings,
 * preemption of the newest by reading it anew, states that wait to be fetched. Whoever drives it
 * calls {@link #begin} when there may be work and {@link #end} when that step's time is over.
 */
public final class EngineModel {
    /** What it tells whoever drives it, from inside {@link #end} and {@link #begin}. */
    public interface Ears {
        /** The prompt is read; its state waits. */
        void read(Job job);

        /** There is a place for an answer; its state may be fetched. */
        void fetch(Job job);

        /** One token more; the first once for each answer. */
        void token(Job job);

        /** The answer has all its tokens. */
        void done(Job job);

        /** A state that waited is gone. */
        void lost(Job job);
    }

    private final EngineHardware silicon;
    private final Ears ears;
    private final BlockMemory memory;
    private final ArrayDeque<Job> waiting = new ArrayDeque<>();
    private final List<Job> running = new ArrayList<>();
    private final Map<String, Job> held = new LinkedHashMap<>();
    private boolean inStep;
    private double startedMs;
    // Ailments.
    private double slowness = 1;
    private int stallsAbove = Integer.MAX_VALUE;
    private double stall = 1;
    // What it did.
    private long promptTokensIn;
    private long promptTokensRead;
    private long promptTokensKept;
    private long tokensOut;
    private long tokensLost;
    private long preemptions;
    private long steps;

    /** StartedMs: when its process came up; minus infinity for a warm one. */
    public EngineModel(EngineHardware silicon, double startedMs, Ears ears) {
        this.silicon = silicon;
        this.startedMs = startedMs;
        this.ears = ears;
        memory = new BlockMemory(silicon.blocks());
    }

    // ------------------------------------------------------------------ what comes

    /** Takes an attempt; false if as many wait as may. */
    public boolean submit(Job job) {
        if (waiting.size() >= silicon.queue()) {
            return false;
        }
        waiting.add(job);
        promptTokensIn += job.kind == Job.Kind.WRITE ? 0 : job.prompt.tokens;
        return true;
    }

    /** The state of an answer has come. */
    public void fetched(Job job) {
        job.fetching = false;
        job.have = job.prompt.tokens;
        memory.filled(job.prompt, job.blocks, 0, job.prompt.blocks.length);
    }

    /** An attempt is called off, or its client has left. */
    public void drop(Job job) {
        if (!job.gone) {
            tokensLost += job.made;
            leave(job);
        }
    }

    /** A state is let go of, or was fetched; false if it is not here. */
    public boolean release(String rid) {
        Job job = held.remove(rid);
        if (job == null) {
            return false;
        }
        leave(job);
        return true;
    }

    public boolean holds(String rid) {
        return held.containsKey(rid);
    }

    /** States that nobody fetched go; when to look again, or infinite. */
    public double lapse(double nowMs) {
        for (Job job : List.copyOf(held.values())) {
            if (nowMs - job.heldSinceMs >= silicon.lapseMs()) {
                release(job.rid);
                ears.lost(job);
            }
        }
        return held.isEmpty()
                ? Double.POSITIVE_INFINITY
                : held.values().iterator().next().heldSinceMs + silicon.lapseMs();
    }

    /** So many times as slow, and so many times more when over so many are in work. */
    public void ails(double times, int above, double more) {
        slowness = times;
        stallsAbove = above;
        stall = more;
    }

    public void flush() {
        memory.flush();
    }

    private void leave(Job job) {
        job.gone = true;
        waiting.remove(job);
        running.remove(job);
        memory.give(job.blocks);
    }

    // ------------------------------------------------------------------ steps

    /**
     * Begins a step where there is work; its length in milliseconds, or NaN where there is none or
     * one is under way.
     */
    public double begin(double nowMs) {
        if (inStep) {
            return Double.NaN;
        }
        int budget = silicon.batchTokens();
        int answers = 0;
        double context = 0;
        for (Job job : List.copyOf(running)) {
            if (!job.gone && running.contains(job) && job.writes()) {
                if (!grow(job)) {
                    continue;
                }
                job.inStep = true;
                answers++;
                budget--;
                context += job.prompt.tokens + job.made;
            }
        }
        double prompts = 0;
        double lookBack = 0;
        for (Job job : running) {
            if (!job.fetching && job.have < job.target) {
                job.chunk = Math.max(0, Math.min(budget, job.target - job.have));
                budget -= job.chunk;
                prompts += job.chunk;
                lookBack += (double) job.chunk * job.have;
            }
        }
        while (!waiting.isEmpty()
                && running.size() < silicon.seqs()
                && (budget > 0
                        || (waiting.peek().kind == Job.Kind.WRITE && !waiting.peek().preempted))) {
            Job job = waiting.peek();
            if (!place(job)) {
                break;
            }
            waiting.poll();
            running.add(job);
            if (job.fetching) {
                ears.fetch(job);
            } else {
                job.chunk = Math.max(0, Math.min(budget, job.target - job.have));
                budget -= job.chunk;
                prompts += job.chunk;
                lookBack += (double) job.chunk * job.have;
            }
        }
        if (answers == 0 && prompts == 0) {
            return Double.NaN;
        }
        inStep = true;
        steps++;
        double ms =
                silicon.stepMs()
                        + silicon.promptTokenMs() * prompts
                        + silicon.seqMs() * answers
                        + silicon.contextTokenMs() * context
                        + silicon.lookBackMs() * lookBack;
        return ms * slowness * (running.size() > stallsAbove ? stall : 1) / capacity(nowMs);
    }

    private double capacity(double nowMs) {
        double age = nowMs - startedMs;
        return age >= silicon.coldMs()
                ? 1
                : silicon.coldShare()
                        + (1 - silicon.coldShare()) * Math.max(0, age) / silicon.coldMs();
    }

    /**
     * Finds memory for the whole of an attempt's prompt; a state that waits may have to go for it.
     */
    private boolean place(Job job) {
        int found = memory.found(job.prompt);
        int blocks = job.target / silicon.blockTokens() + 1;
        List<BlockMemory.Block> taken = memory.take(job.prompt, found, blocks);
        while (taken == null && silicon.evictsHeld() && !held.isEmpty()) {
            Job oldest = held.values().iterator().next();
            release(oldest.rid);
            ears.lost(oldest);
            found = memory.found(job.prompt);
            taken = memory.take(job.prompt, found, blocks);
        }
        if (taken == null) {
            return false;
        }
        job.blocks = taken;
        job.fetching = job.kind == Job.Kind.WRITE && !job.preempted;
        // The last token is always read: it is what the next one is made of.
        job.have = Math.min(found * silicon.blockTokens(), job.target - 1);
        if (!job.fetching && !job.preempted) {
            job.kept = job.have;
            promptTokensKept += job.kept;
        }
        return true;
    }

    /**
     * A block for an answer's next token, if it needs one; where there is none the newest goes back
     * to wait.
     */
    private boolean grow(Job job) {
        while (job.prompt.tokens + job.made + 1 > job.blocks.size() * silicon.blockTokens()) {
            BlockMemory.Block block = memory.more();
            if (block != null) {
                job.blocks.add(block);
                continue;
            }
            Job newest = running.get(running.size() - 1);
            preempt(newest);
            if (newest == job) {
                return false;
            }
        }
        return true;
    }

    private void preempt(Job job) {
        preemptions++;
        running.remove(job);
        memory.give(job.blocks);
        job.chunk = 0;
        job.have = 0;
        // One whose state was still to come waits for it anew; all others are read anew here, with
        // what they had written.
        if (!job.fetching) {
            job.preempted = true;
            job.target = job.prompt.tokens + job.made;
        }
        job.inStep = false;
        job.fetching = false;
        waiting.addFirst(job);
    }

    /** The step's time is over. */
    public void end(double nowMs) {
        inStep = false;
        for (Job job : List.copyOf(running)) {
            if (job.gone) {
                continue;
            }
            if (job.chunk > 0) {
                int before = job.have / silicon.blockTokens();
                job.have += job.chunk;
                promptTokensRead += job.chunk;
                job.chunk = 0;
                memory.filled(job.prompt, job.blocks, before, job.have / silicon.blockTokens());
                if (job.have < job.target) {
                    continue;
                }
                if (job.kind == Job.Kind.READ) {
                    running.remove(job);
                    job.heldSinceMs = nowMs;
                    held.put(job.rid, job);
                    ears.read(job);
                    continue;
                }
                // The last chunk gives the next token.
                token(job);
            } else if (job.inStep) {
                job.inStep = false;
                token(job);
            }
        }
    }

    private void token(Job job) {
        job.made++;
        tokensOut++;
        ears.token(job);
        if (!job.gone && job.made >= job.length) {
            leave(job);
            ears.done(job);
        }
    }

    // ------------------------------------------------------------------ what it tells

    /** Attempts here, states that wait included. */
    public int inflight() {
        return running.size() + waiting.size() + held.size();
    }

    public int queue() {
        return waiting.size();
    }

    /** Share of memory that somebody refers to. */
    public double heldShare() {
        return memory.used() / (double) memory.total();
    }

    /** Prompt tokens to be read or fetched. */
    public double toRead() {
        double tokens = 0;
        for (Job job : waiting) {
            tokens += job.target;
        }
        for (Job job : running) {
            tokens += job.fetching ? job.prompt.tokens : Math.max(0, job.target - job.have);
        }
        return tokens;
    }

    /** What it has done so far. */
    public record Sums(
            long promptTokensIn,
            long promptTokensRead,
            long promptTokensKept,
            long tokensOut,
            long tokensLost,
            long preemptions,
            long evictions,
            long steps) {}

    public Sums sums() {
        return new Sums(
                promptTokensIn,
                promptTokensRead,
                promptTokensKept,
                tokensOut,
                tokensLost,
                preemptions,
                memory.evicted(),
                steps);
    }
}
