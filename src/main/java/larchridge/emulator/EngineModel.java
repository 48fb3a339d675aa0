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
 * calls {@link #beginStep} when there may be work and {@link #endStep} when that step's time is over.
 */
public final class EngineModel {
    /** What it tells whoever drives it, from inside {@link #endStep} and {@link #beginStep}. */
    public interface Listener {
        /** The prompt is read; its state waits. */
        void readCompleted(Job job);

        /** There is a place for an answer; its state may be fetched. */
        void fetchRequired(Job job);

        /** One token more; the first once for each answer. */
        void tokenGenerated(Job job);

        /** The answer has all its tokens. */
        void answerCompleted(Job job);

        /** A state that waited is gone. */
        void stateLost(Job job);
    }

    private final EngineHardware hardware;
    private final Listener listener;
    private final KvBlockPool memory;
    private final ArrayDeque<Job> waiting = new ArrayDeque<>();
    private final List<Job> running = new ArrayList<>();
    private final Map<String, Job> heldStates = new LinkedHashMap<>();
    private boolean stepInProgress;
    private double startedMs;
    // Ailments.
    private double slowdown = 1;
    private int stallThreshold = Integer.MAX_VALUE;
    private double stallFactor = 1;
    // What it did.
    private long promptTokensSubmitted;
    private long promptTokensRead;
    private long promptTokensCached;
    private long outputTokens;
    private long outputTokensDiscarded;
    private long preemptions;
    private long steps;

    /** StartedMs: when its process came up; minus infinity for a warm one. */
    public EngineModel(EngineHardware hardware, double startedMs, Listener listener) {
        this.hardware = hardware;
        this.startedMs = startedMs;
        this.listener = listener;
        memory = new KvBlockPool(hardware.blocks());
    }

    // ------------------------------------------------------------------ what comes

    /** Takes an attempt; false if as many wait as may. */
    public boolean submit(Job job) {
        if (waiting.size() >= hardware.maxQueued()) {
            return false;
        }
        waiting.add(job);
        promptTokensSubmitted += job.kind == Job.Kind.WRITE ? 0 : job.prompt.tokens;
        return true;
    }

    /** The state of an answer has come. */
    public void stateFetched(Job job) {
        job.fetchingState = false;
        job.computedTokens = job.prompt.tokens;
        memory.cacheFilledBlocks(job.prompt, job.blocks, 0, job.prompt.blockHashes.length);
    }

    /** An attempt is called off, or its client has left. */
    public void cancel(Job job) {
        if (!job.removed) {
            outputTokensDiscarded += job.generatedTokens;
            remove(job);
        }
    }

    /** A state is let go of, or was fetched; false if it is not here. */
    public boolean release(String attemptId) {
        Job job = heldStates.remove(attemptId);
        if (job == null) {
            return false;
        }
        remove(job);
        return true;
    }

    public boolean holdsState(String attemptId) {
        return heldStates.containsKey(attemptId);
    }

    /** States that nobody fetched go; when to look again, or infinite. */
    public double releaseExpiredStates(double nowMs) {
        for (Job job : List.copyOf(heldStates.values())) {
            if (nowMs - job.heldSinceMs >= hardware.stateTimeoutMs()) {
                release(job.attemptId);
                listener.stateLost(job);
            }
        }
        return heldStates.isEmpty()
                ? Double.POSITIVE_INFINITY
                : heldStates.values().iterator().next().heldSinceMs + hardware.stateTimeoutMs();
    }

    /** So many times as slow, and so many times more when over so many are in work. */
    public void injectSlowdown(double newSlowdown, int newStallThreshold, double newStallFactor) {
        slowdown = newSlowdown;
        stallThreshold = newStallThreshold;
        stallFactor = newStallFactor;
    }

    public void flush() {
        memory.flush();
    }

    private void remove(Job job) {
        job.removed = true;
        waiting.remove(job);
        running.remove(job);
        memory.release(job.blocks);
    }

    // ------------------------------------------------------------------ steps

    /**
     * Begins a step where there is work; its length in milliseconds, or NaN where there is none or
     * one is under way.
     */
    public double beginStep(double nowMs) {
        if (stepInProgress) {
            return Double.NaN;
        }
        int tokenBudget = hardware.batchTokens();
        int answers = 0;
        double contextTokens = 0;
        for (Job job : List.copyOf(running)) {
            if (!job.removed && running.contains(job) && job.isGenerating()) {
                if (!reserveNextToken(job)) {
                    continue;
                }
                job.inCurrentStep = true;
                answers++;
                tokenBudget--;
                contextTokens += job.prompt.tokens + job.generatedTokens;
            }
        }
        double promptTokens = 0;
        double attendedTokens = 0;
        for (Job job : running) {
            if (!job.fetchingState && job.computedTokens < job.requiredTokens) {
                job.chunkTokens = Math.max(0, Math.min(tokenBudget, job.requiredTokens - job.computedTokens));
                tokenBudget -= job.chunkTokens;
                promptTokens += job.chunkTokens;
                attendedTokens += (double) job.chunkTokens * job.computedTokens;
            }
        }
        while (!waiting.isEmpty()
                && running.size() < hardware.maxSequences()
                && (tokenBudget > 0
                        || (waiting.peek().kind == Job.Kind.WRITE && !waiting.peek().preempted))) {
            Job job = waiting.peek();
            if (!admit(job)) {
                break;
            }
            waiting.poll();
            running.add(job);
            if (job.fetchingState) {
                listener.fetchRequired(job);
            } else {
                job.chunkTokens = Math.max(0, Math.min(tokenBudget, job.requiredTokens - job.computedTokens));
                tokenBudget -= job.chunkTokens;
                promptTokens += job.chunkTokens;
                attendedTokens += (double) job.chunkTokens * job.computedTokens;
            }
        }
        if (answers == 0 && promptTokens == 0) {
            return Double.NaN;
        }
        stepInProgress = true;
        steps++;
        double ms =
                hardware.stepMs()
                        + hardware.promptTokenMs() * promptTokens
                        + hardware.sequenceMs() * answers
                        + hardware.contextTokenMs() * contextTokens
                        + hardware.attentionMs() * attendedTokens;
        return ms * slowdown * (running.size() > stallThreshold ? stallFactor : 1) / relativeSpeed(nowMs);
    }

    private double relativeSpeed(double nowMs) {
        double ageMs = nowMs - startedMs;
        return ageMs >= hardware.coldMs()
                ? 1
                : hardware.coldShare()
                        + (1 - hardware.coldShare()) * Math.max(0, ageMs) / hardware.coldMs();
    }

    /**
     * Finds memory for the whole of an attempt's prompt; a state that waits may have to go for it.
     */
    private boolean admit(Job job) {
        int cachedBlocks = memory.countCachedBlocks(job.prompt);
        int blockCount = job.requiredTokens / hardware.blockTokens() + 1;
        List<KvBlockPool.Block> allocated = memory.allocate(job.prompt, cachedBlocks, blockCount);
        while (allocated == null && hardware.evictsHeldStates() && !heldStates.isEmpty()) {
            Job oldest = heldStates.values().iterator().next();
            release(oldest.attemptId);
            listener.stateLost(oldest);
            cachedBlocks = memory.countCachedBlocks(job.prompt);
            allocated = memory.allocate(job.prompt, cachedBlocks, blockCount);
        }
        if (allocated == null) {
            return false;
        }
        job.blocks = allocated;
        job.fetchingState = job.kind == Job.Kind.WRITE && !job.preempted;
        // The last token is always read: it is what the next one is made of.
        job.computedTokens = Math.min(cachedBlocks * hardware.blockTokens(), job.requiredTokens - 1);
        if (!job.fetchingState && !job.preempted) {
            job.cachedTokens = job.computedTokens;
            promptTokensCached += job.cachedTokens;
        }
        return true;
    }

    /**
     * A block for an answer's next token, if it needs one; where there is none the newest goes back
     * to wait.
     */
    private boolean reserveNextToken(Job job) {
        while (job.prompt.tokens + job.generatedTokens + 1 > job.blocks.size() * hardware.blockTokens()) {
            KvBlockPool.Block block = memory.allocateBlock();
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
        memory.release(job.blocks);
        job.chunkTokens = 0;
        job.computedTokens = 0;
        // One whose state was still to come waits for it anew; all others are read anew here, with
        // what they had written.
        if (!job.fetchingState) {
            job.preempted = true;
            job.requiredTokens = job.prompt.tokens + job.generatedTokens;
        }
        job.inCurrentStep = false;
        job.fetchingState = false;
        waiting.addFirst(job);
    }

    /** The step's time is over. */
    public void endStep(double nowMs) {
        stepInProgress = false;
        for (Job job : List.copyOf(running)) {
            if (job.removed) {
                continue;
            }
            if (job.chunkTokens > 0) {
                int blocksBefore = job.computedTokens / hardware.blockTokens();
                job.computedTokens += job.chunkTokens;
                promptTokensRead += job.chunkTokens;
                job.chunkTokens = 0;
                memory.cacheFilledBlocks(job.prompt, job.blocks, blocksBefore, job.computedTokens / hardware.blockTokens());
                if (job.computedTokens < job.requiredTokens) {
                    continue;
                }
                if (job.kind == Job.Kind.READ) {
                    running.remove(job);
                    job.heldSinceMs = nowMs;
                    heldStates.put(job.attemptId, job);
                    listener.readCompleted(job);
                    continue;
                }
                // The last chunk gives the next token.
                generateToken(job);
            } else if (job.inCurrentStep) {
                job.inCurrentStep = false;
                generateToken(job);
            }
        }
    }

    private void generateToken(Job job) {
        job.generatedTokens++;
        outputTokens++;
        listener.tokenGenerated(job);
        if (!job.removed && job.generatedTokens >= job.answerTokens) {
            remove(job);
            listener.answerCompleted(job);
        }
    }

    // ------------------------------------------------------------------ what it tells

    /** Attempts here, states that wait included. */
    public int inflight() {
        return running.size() + waiting.size() + heldStates.size();
    }

    public int queueLength() {
        return waiting.size();
    }

    /** Share of memory that somebody refers to. */
    public double memoryShare() {
        return memory.usedBlocks() / (double) memory.totalBlocks();
    }

    /** Prompt tokens to be read or fetched. */
    public double pendingPromptTokens() {
        double tokens = 0;
        for (Job job : waiting) {
            tokens += job.requiredTokens;
        }
        for (Job job : running) {
            tokens += job.fetchingState ? job.prompt.tokens : Math.max(0, job.requiredTokens - job.computedTokens);
        }
        return tokens;
    }

    /** What it has done so far. */
    public record Totals(
            long promptTokensSubmitted,
            long promptTokensRead,
            long promptTokensCached,
            long outputTokens,
            long outputTokensDiscarded,
            long preemptions,
            long evictions,
            long steps) {}

    public Totals totals() {
        return new Totals(
                promptTokensSubmitted,
                promptTokensRead,
                promptTokensCached,
                outputTokens,
                outputTokensDiscarded,
                preemptions,
                memory.evictions(),
                steps);
    }
}
