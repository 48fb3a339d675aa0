package larchridge.router;

import java.util.HashMap;
import java.util.Map;
import larchridge.budget.Budgets;
import larchridge.ledger.Ledger;
import larchridge.ledger.Usage;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Settles the usage of a request against its tenant's budget, and records it in the ledger. Waste
 * that is added later gets a second record of the same bill. All retries of one generation by its
 * client share one bill.
 */
final class UsageRecorder {
    private static final Logger LOG = LoggerFactory.getLogger(UsageRecorder.class);

    /**
     * Stands in place of the response's name in a record that adds waste to a bill after the
     * response was recorded.
     */
    private static final String WASTE_RECORD = "waste";

    private final RouterContext context;
    private final Budgets budgets;

    /** Null if usage is not recorded. */
    private final Ledger ledger;

    /** The first in-flight request of each set of identical requests without an idempotency key. */
    private final Map<String, InFlightRequest> firstOfDuplicates = new HashMap<>();

    UsageRecorder(RouterContext context, Budgets budgets, Ledger ledger) {
        this.context = context;
        this.budgets = budgets;
        this.ledger = ledger;
    }

    /** Whether the ledger is too far behind to admit more requests. */
    boolean isBehind() {
        return ledger != null && ledger.isBacklogged();
    }

    /**
     * Assigns the bill of the client's idempotency key; without a key, the bill of an identical
     * request in flight on this router, or else a new one.
     */
    void assignBillId(InFlightRequest request) {
        GenerationRequest generationRequest = request.generationRequest();
        if (generationRequest.idempotencyKey() != null) {
            request.setBillId("key " + generationRequest.idempotencyKey());
            return;
        }
        String duplicateKey =
                generationRequest.tenant().name()
                        + '\n'
                        + generationRequest.model()
                        + '\n'
                        + generationRequest.turnDigest()
                        + '\n'
                        + generationRequest.maxTokens();
        request.setDuplicateKey(duplicateKey);
        InFlightRequest first = firstOfDuplicates.putIfAbsent(duplicateKey, request);
        request.setBillId(first == null ? "gen " + request.id() : first.billId());
    }

    /** Settles and records a finished request. */
    void settle(InFlightRequest request) {
        if (request.duplicateKey() != null) {
            firstOfDuplicates.remove(request.duplicateKey(), request);
        }
        // Guards against: billing text that was buffered for a client that disconnected and was
        // never written to its socket.
        request.usageMeter().chunksNotSent(request.responseSink().pendingChunks());
        if (request.generationRequest().nonStreaming()
                && request.responseGuard().finalResponse()
                        != ResponseGuard.FinalResponse.COMPLETED) {
            request.usageMeter().responseDiscarded();
        }
        budgets.settle(request.charge(), request.usageMeter().billedTokens(), context.nowMs());
        if (ledger == null
                || request.usageMeter().billedTokens() + request.usageMeter().wastedTokens() <= 0) {
            return;
        }
        if (!request.isUsageQueued()) {
            record(request, usage(request), null);
        } else if (request.hasUnqueuedUsage()) {
            // A second attempt ended after the response: a second record of the same bill adds its
            // waste.
            record(request, lateWasteUsage(request), null);
        }
    }

    /**
     * Finishes a complete response. If the settings require it, the finish waits until the usage is
     * on disk, so that a crash in between cannot leave a response that is not billed. A slow disk
     * delays it no longer than the settings allow, nor past the client's deadline.
     */
    void recordThen(InFlightRequest request, Runnable finish) {
        double maxWaitMs = context.site.maxLedgerWaitMs;
        if (ledger == null || maxWaitMs <= 0) {
            finish.run();
            return;
        }
        request.responseSink().flush();
        Runnable finishOnce = new RunOnce(finish);
        request.setUsageQueued(
                record(request, usage(request), () -> context.scheduler.execute(finishOnce)));
        double waitMs = request.isUsageQueued() ? maxWaitMs : 0;
        if (request.generationRequest().nonStreaming()) {
            double remainingMs =
                    request.completionDeadlineMs()
                            - RequestTimeouts.DEADLINE_MARGIN_MS
                            - context.nowMs();
            waitMs = Math.min(waitMs, remainingMs);
        }
        if (waitMs <= 0) {
            finishOnce.run();
        } else {
            context.scheduler.schedule(waitMs, finishOnce);
        }
    }

    private Usage usage(InFlightRequest request) {
        return new Usage(
                request.billId(),
                request.generationRequest().tenant().name(),
                request.generation().trafficClass.name,
                (long) context.nowMs(),
                request.responseGuard().finalResponse().recordedName,
                request.usageMeter().promptTokens(),
                request.usageMeter().cachedTokens(),
                request.usageMeter().outputTokens(),
                request.usageMeter().wastedTokens(),
                request.attempts().size());
    }

    private Usage lateWasteUsage(InFlightRequest request) {
        return new Usage(
                request.billId(),
                request.generationRequest().tenant().name(),
                request.generation().trafficClass.name,
                (long) context.nowMs(),
                WASTE_RECORD,
                0,
                0,
                0,
                request.unqueuedWastedTokens(),
                request.unqueuedAttempts());
    }

    /** Queues a record for the ledger; if the queue is full, logs the usage and returns false. */
    private boolean record(InFlightRequest request, Usage usage, Runnable onPersisted) {
        if (ledger.offer(usage, onPersisted)) {
            return true;
        }
        context.metrics.usageRecordLost(context.routerNumber);
        LOG.atError()
                .addKeyValue("generation", request.id())
                .addKeyValue("tenant", usage.tenant())
                .addKeyValue("prompt", usage.promptTokens())
                .addKeyValue("out", usage.outputTokens())
                .log("usage record lost: the ledger's queue is full");
        return false;
    }

    /** Runs a task only the first time it is called. */
    private static final class RunOnce implements Runnable {
        private final Runnable task;
        private boolean hasRun;

        RunOnce(Runnable task) {
            this.task = task;
        }

        @Override
        public void run() {
            if (!hasRun) {
                hasRun = true;
                task.run();
            }
        }
    }
}
