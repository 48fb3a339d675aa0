package larchridge.emulator;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A serving engine as published work describes them, without clock, threads or sockets: continuous
 * batching in steps, chunked prompts alongside answers, block memory with a prefix cache,
 * preemption of the newest attempt by recomputation, and held states that wait to be fetched. The
 * caller calls {@link #beginStep} when there may be work and {@link #endStep} when that step's time
 * has passed.
 */
public final class EngineModel {
    /** Receives the engine's events; called from within the engine's own methods. */
    public interface Listener {
        /** The prompt was read; its state is held. */
        void readCompleted(Job job);

        /** Memory for an answer is allocated; the caller must now transfer its state. */
        void fetchRequired(Job job);

        /** A token was generated; recomputation after a preemption reports no token again. */
        void tokenGenerated(Job job);

        /** All tokens of the answer were generated. */
        void answerCompleted(Job job);

        /** A held state expired or was evicted. */
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
    // Injected faults.
    private double slowdown = 1;
    private int stallThreshold = Integer.MAX_VALUE;
    private double stallFactor = 1;
    // Totals.
    private long promptTokensSubmitted;
    private long promptTokensRead;
    private long promptTokensCached;
    private long outputTokens;
    private long outputTokensDiscarded;
    private long preemptions;
    private long steps;

    /** Creates an idle engine; startedMs is negative infinity for one that runs at full speed. */
    public EngineModel(EngineHardware hardware, double startedMs, Listener listener) {
        this.hardware = hardware;
        this.startedMs = startedMs;
        this.listener = listener;
        memory = new KvBlockPool(hardware.blocks());
    }

    // ------------------------------------------------------------------ attempts and states

    /** Queues an attempt; returns false if the queue is full. */
    public boolean submit(Job job) {
        if (waiting.size() >= hardware.maxQueued()) {
            return false;
        }
        waiting.add(job);
        promptTokensSubmitted += job.kind == Job.Kind.WRITE ? 0 : job.prompt.tokens;
        return true;
    }

    /** Called when the state that an attempt writes from has been transferred. */
    public void stateFetched(Job job) {
        job.fetchingState = false;
        job.computedTokens = job.prompt.tokens;
        memory.cacheFilledBlocks(job.prompt, job.blocks, 0, job.prompt.blockHashes.length);
    }

    /** Cancels an attempt and frees its memory. */
    public void cancel(Job job) {
        if (!job.removed) {
            outputTokensDiscarded += job.generatedTokens;
            remove(job);
        }
    }

    /** Releases a held state; returns false if it is not held here. */
    public boolean release(String attemptId) {
        Job job = heldStates.remove(attemptId);
        if (job == null) {
            return false;
        }
        remove(job);
        return true;
    }

    /** Whether the state that this attempt read is held here. */
    public boolean holdsState(String attemptId) {
        return heldStates.containsKey(attemptId);
    }

    /**
     * Releases held states whose timeout has passed; returns when the next one expires, or
     * infinity.
     */
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

    /**
     * Slows all steps down by a factor, and by a further one while more than a threshold of
     * attempts are running.
     */
    public void injectSlowdown(double newSlowdown, int newStallThreshold, double newStallFactor) {
        slowdown = newSlowdown;
        stallThreshold = newStallThreshold;
        stallFactor = newStallFactor;
    }

    /** Empties the prefix cache, except for blocks in use. */
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
     * Begins a step if there is work; returns its duration in milliseconds, or NaN if there is no
     * work or a step is in progress.
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
            if (!job.fetchingState && job.computedTokens < job.targetTokens) {
                job.chunkTokens =
                        Math.max(0, Math.min(tokenBudget, job.targetTokens - job.computedTokens));
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
                job.chunkTokens =
                        Math.max(0, Math.min(tokenBudget, job.targetTokens - job.computedTokens));
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
        return ms * slowdown * (running.size() > stallThreshold ? stallFactor : 1) / speed(nowMs);
    }

    /** Current speed as a fraction of full speed. */
    private double speed(double nowMs) {
        double ageMs = nowMs - startedMs;
        return ageMs >= hardware.coldMs()
                ? 1
                : hardware.coldShare()
                        + (1 - hardware.coldShare()) * Math.max(0, ageMs) / hardware.coldMs();
    }

    /**
     * Allocates memory for an attempt's whole prompt, and evicts held states for it if the engine
     * does so; returns false if there is not enough memory.
     */
    private boolean admit(Job job) {
        int cachedBlocks = memory.countCachedBlocks(job.prompt);
        int blockCount = job.targetTokens / hardware.blockTokens() + 1;
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
        // The last token is always computed, since its output gives the next token.
        job.computedTokens = Math.min(cachedBlocks * hardware.blockTokens(), job.targetTokens - 1);
        if (!job.fetchingState && !job.preempted) {
            job.cachedTokens = job.computedTokens;
            promptTokensCached += job.cachedTokens;
        }
        return true;
    }

    /**
     * Allocates a block for an answer's next token if it needs one. While memory is full, the
     * newest running attempt is preempted; returns false if that is this one.
     */
    private boolean reserveNextToken(Job job) {
        while (job.prompt.tokens + job.generatedTokens + 1
                > job.blocks.size() * hardware.blockTokens()) {
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
        // An attempt whose state was still being fetched fetches it again; any other recomputes its
        // prompt and the tokens it had generated.
        if (!job.fetchingState) {
            job.preempted = true;
            job.targetTokens = job.prompt.tokens + job.generatedTokens;
        }
        job.inCurrentStep = false;
        job.fetchingState = false;
        waiting.addFirst(job);
    }

    /** Ends the current step, when its duration has passed. */
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
                memory.cacheFilledBlocks(
                        job.prompt,
                        job.blocks,
                        blocksBefore,
                        job.computedTokens / hardware.blockTokens());
                if (job.computedTokens < job.targetTokens) {
                    continue;
                }
                if (job.kind == Job.Kind.READ) {
                    running.remove(job);
                    job.heldSinceMs = nowMs;
                    heldStates.put(job.attemptId, job);
                    listener.readCompleted(job);
                    continue;
                }
                // The step that reads the last chunk also generates the next token.
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

    // ------------------------------------------------------------------ load and totals

    /** Number of attempts at this engine, including held states. */
    public int inflight() {
        return running.size() + waiting.size() + heldStates.size();
    }

    /** Number of queued attempts. */
    public int queueLength() {
        return waiting.size();
    }

    /** Fraction of memory in use; cached blocks without references are not in use. */
    public double memoryShare() {
        return memory.usedBlocks() / (double) memory.totalBlocks();
    }

    /** Number of prompt tokens still to be read or fetched. */
    public double pendingPromptTokens() {
        double tokens = 0;
        for (Job job : waiting) {
            tokens += job.targetTokens;
        }
        for (Job job : running) {
            tokens +=
                    job.fetchingState
                            ? job.prompt.tokens
                            : Math.max(0, job.targetTokens - job.computedTokens);
        }
        return tokens;
    }

    /**
     * Totals since the engine was created. Tokens recomputed after a preemption count as read
     * again; cached tokens count only when an attempt is first admitted. Discarded output tokens
     * were generated for attempts that were then cancelled.
     */
    public record Totals(
            long promptTokensSubmitted,
            long promptTokensRead,
            long promptTokensCached,
            long outputTokens,
            long outputTokensDiscarded,
            long preemptions,
            long evictions,
            long steps) {}

    /** Returns the totals so far. */
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
