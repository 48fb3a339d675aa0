package larchridge.batch;

import java.util.List;
import larchridge.budget.BudgetDecision;
import larchridge.router.GenerationRequest;
import larchridge.router.InFlightRequest;
import larchridge.router.ResponseSink;
import larchridge.router.Router;
import larchridge.upstream.AnswerSummary;

/** Submits lines to the routers of this process in turn, on each router's own loop. */
final class RouterSubmitter implements GenerationSubmitter {
    private final List<Router> routers;
    private final EventLoop loop;
    private int nextRouter;

    RouterSubmitter(List<Router> routers, EventLoop loop) {
        this.routers = routers;
        this.loop = loop;
    }

    @Override
    public Submission submit(GenerationRequest request, Listener listener) {
        Router router = routers.get(Math.floorMod(nextRouter++, routers.size()));
        LineSubmission submission = new LineSubmission(router, listener);
        router.loop().runOnContext(v -> submission.start(request));
        return submission;
    }

    /**
     * One line's submission to a router, and the sink of its response. All methods except {@link
     * #cancel} are called on the router's loop.
     */
    private final class LineSubmission implements ResponseSink, Submission {
        private final Router router;
        private final Listener listener;
        private final StringBuilder text = new StringBuilder();
        private InFlightRequest inFlight;
        private int cachedPromptTokens;
        private boolean admitted;
        private boolean ended;
        private boolean responseTooLarge;

        LineSubmission(Router router, Listener listener) {
            this.router = router;
            this.listener = listener;
        }

        void start(GenerationRequest request) {
            if (ended) {
                return;
            }
            if (!router.tryAdmitExchange()) {
                end(listener::notAdmitted);
                return;
            }
            admitted = true;
            router.submit(request, this, accepted -> inFlight = accepted);
        }

        /** Notifies the listener, at most once, and ends the exchange at the router. */
        private void end(Runnable notification) {
            if (ended) {
                return;
            }
            ended = true;
            if (admitted) {
                router.exchangeEnded();
            }
            loop.execute(notification);
        }

        @Override
        public void cancel() {
            router.loop()
                    .runOnContext(
                            v -> {
                                if (!ended) {
                                    ended = true;
                                    if (inFlight != null) {
                                        inFlight.clientDisconnected();
                                    }
                                    if (admitted) {
                                        router.exchangeEnded();
                                    }
                                }
                            });
        }

        @Override
        public void responseStarted(int cachedTokens) {
            cachedPromptTokens = cachedTokens;
        }

        @Override
        public boolean textReceived(String chunk) {
            responseTooLarge |=
                    text.length() + chunk.length() > router.site().limits.maxResponseBytes;
            if (!responseTooLarge) {
                text.append(chunk);
            }
            return !ended;
        }

        @Override
        public boolean isDisconnected() {
            return ended;
        }

        @Override
        public void rejectedOverBudget(BudgetDecision decision) {
            end(() -> listener.rejectedOverBudget(decision.retryAfterMs()));
        }

        @Override
        public void completed(AnswerSummary summary) {
            String fullText = text.toString();
            end(
                    responseTooLarge
                            ? listener::responseTooLarge
                            : () -> listener.completed(fullText, cachedPromptTokens, summary));
        }

        @Override
        public void rejected(double retryAfterMs) {
            end(() -> listener.throttled(retryAfterMs));
        }

        @Override
        public void failed(FailureCause cause, boolean mayRetry) {
            end(listener::terminated);
        }

        @Override
        public void aborted() {
            end(listener::terminated);
        }
    }
}
