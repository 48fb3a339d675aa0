package larchridge.batch;

import larchridge.router.GenerationRequest;
import larchridge.upstream.AnswerSummary;

/** Where lines are handed to become generations. */
interface GenerationSubmitter {
    /**
     * Takes a generation; exactly one of the words is told, later, on the loop of batch work,
     * unless it is called off.
     */
    Out take(GenerationRequest ask, Told told);

    /** A line that is out. */
    interface Out {
        /** Calls it off: nothing more is told. */
        void callOff();
    }

    /** How it ended. */
    interface Told {
        void streamed(String text, int keptTokens, AnswerSummary ending);

        /** The answer is larger than the site lets a whole answer be. */
        void tooLarge();

        void throttled(double comeBackMs);

        void overBudget(double comeBackMs);

        /** No front took it. */
        void turnedAway();

        void terminated();
    }
}
