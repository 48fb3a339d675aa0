package larchridge.batch;

import java.util.List;
import larchridge.budget.BudgetDecision;
import larchridge.router.GenerationRequest;
import larchridge.router.InFlightRequest;
import larchridge.router.ResponseSink;
import larchridge.router.Router;
import larchridge.upstream.Completion;

/** Hands lines to the fronts of this process in turn, each on its own loop. */
final class RouterSubmitter implements GenerationSubmitter {
    private final List<Router> fronts;
    private final EventLoop loop;
    private int next;

    RouterSubmitter(List<Router> fronts, EventLoop loop) {
        this.fronts = fronts;
        this.loop = loop;
    }

    @Override
    public Out take(GenerationRequest ask, Told told) {
        Router front = fronts.get(Math.floorMod(next++, fronts.size()));
        Line line = new Line(front, told);
        front.loop().runOnContext(v -> line.begin(ask));
        return line;
    }

    /** One line at its front; all but the call to {@link #callOff} happens on the front's loop. */
    private final class Line implements ResponseSink, Out {
        private final Router front;
        private final Told told;
        private final StringBuilder text = new StringBuilder();
        private InFlightRequest open;
        private int kept;
        private boolean inside;
        private boolean over;
        private boolean tooLarge;

        Line(Router front, Told told) {
            this.front = front;
            this.told = told;
        }

        void begin(GenerationRequest ask) {
            if (over) {
                return;
            }
            if (!front.tryAdmit()) {
                end(told::turnedAway);
                return;
            }
            inside = true;
            front.submit(ask, this, taken -> open = taken);
        }

        /** Told at most once, and the front is left. */
        private void end(Runnable word) {
            if (over) {
                return;
            }
            over = true;
            if (inside) {
                front.exchangeEnded();
            }
            loop.execute(word);
        }

        @Override
        public void callOff() {
            front.loop()
                    .runOnContext(
                            v -> {
                                if (!over) {
                                    over = true;
                                    if (open != null) {
                                        open.clientDisconnected();
                                    }
                                    if (inside) {
                                        front.exchangeEnded();
                                    }
                                }
                            });
        }

        @Override
        public void responseStarted(int keptTokens) {
            kept = keptTokens;
        }

        @Override
        public boolean textReceived(String piece) {
            tooLarge |= text.length() + piece.length() > front.site().limits.maxResponseBytes;
            if (!tooLarge) {
                text.append(piece);
            }
            return !over;
        }

        @Override
        public boolean isDisconnected() {
            return over;
        }

        @Override
        public void rejectedOverBudget(BudgetDecision budget) {
            end(() -> told.overBudget(budget.retryAfterMs()));
        }

        @Override
        public void completed(Completion ending) {
            String all = text.toString();
            end(tooLarge ? told::tooLarge : () -> told.streamed(all, kept, ending));
        }

        @Override
        public void rejected(double comeBackMs) {
            end(() -> told.throttled(comeBackMs));
        }

        @Override
        public void failed(FailureCause cause, boolean mayRetry) {
            end(told::terminated);
        }

        @Override
        public void aborted() {
            end(told::terminated);
        }
    }
}
