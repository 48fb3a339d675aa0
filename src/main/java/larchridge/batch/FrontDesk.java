package larchridge.batch;

import java.util.List;
import larchridge.budget.Answer;
import larchridge.enginelink.Ending;
import larchridge.front.Ask;
import larchridge.front.Client;
import larchridge.front.Front;
import larchridge.front.Open;

/** Hands lines to the fronts of this process in turn, each on its own loop. */
final class FrontDesk implements Desk {
    private final List<Front> fronts;
    private final Loop loop;
    private int next;

    FrontDesk(List<Front> fronts, Loop loop) {
        this.fronts = fronts;
        this.loop = loop;
    }

    @Override
    public Out take(Ask ask, Told told) {
        Front front = fronts.get(Math.floorMod(next++, fronts.size()));
        Line line = new Line(front, told);
        front.loop().runOnContext(v -> line.begin(ask));
        return line;
    }

    /** One line at its front; all but the call to {@link #callOff} happens on the front's loop. */
    private final class Line implements Client, Out {
        private final Front front;
        private final Told told;
        private final StringBuilder text = new StringBuilder();
        private Open open;
        private int kept;
        private boolean inside;
        private boolean over;
        private boolean tooLarge;

        Line(Front front, Told told) {
            this.front = front;
            this.told = told;
        }

        void begin(Ask ask) {
            if (over) {
                return;
            }
            if (!front.enter()) {
                end(told::turnedAway);
                return;
            }
            inside = true;
            front.take(ask, this, taken -> open = taken);
        }

        /** Told at most once, and the front is left. */
        private void end(Runnable word) {
            if (over) {
                return;
            }
            over = true;
            if (inside) {
                front.leave();
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
                                        open.gone();
                                    }
                                    if (inside) {
                                        front.leave();
                                    }
                                }
                            });
        }

        @Override
        public void begun(int keptToks) {
            kept = keptToks;
        }

        @Override
        public boolean piece(String piece) {
            tooLarge |= text.length() + piece.length() > front.site().limit.answerBytes;
            if (!tooLarge) {
                text.append(piece);
            }
            return !over;
        }

        @Override
        public boolean isGone() {
            return over;
        }

        @Override
        public void overBudget(Answer budget) {
            end(() -> told.overBudget(budget.backInMs()));
        }

        @Override
        public void streamed(Ending ending) {
            String all = text.toString();
            end(tooLarge ? told::tooLarge : () -> told.streamed(all, kept, ending));
        }

        @Override
        public void throttled(double comeBackMs) {
            end(() -> told.throttled(comeBackMs));
        }

        @Override
        public void terminated(Cause cause, boolean mayRetry) {
            end(told::terminated);
        }

        @Override
        public void cut() {
            end(told::terminated);
        }
    }
}
