package larchridge.router;

/**
 * What is still owed to one client: the one place at which a final answer can be given. Rule 1
 * rests on it; without I/O, clock or threads.
 */
final class ResponseGuard {
    /** The three final answers, and the end of a client that wants none. */
    enum FinalAnswer {
        COMPLETED("streamed"),
        REJECTED("throttled"),
        FAILED("terminated"),
        DISCONNECTED("gone");

        /**
         * The name under which usage records in the ledger tell the answer; stored, so never
         * changed.
         */
        final String recordedName;

        FinalAnswer(String recordedName) {
            this.recordedName = recordedName;
        }
    }

    private FinalAnswer given;
    private boolean begun;

    /** Notes that the answer begins; false if a final answer was given before. */
    boolean begin() {
        if (given != null || begun) {
            return false;
        }
        begun = true;
        return true;
    }

    boolean isBegun() {
        return begun;
    }

    boolean isDone() {
        return given != null;
    }

    FinalAnswer given() {
        return given;
    }

    /**
     * Whether this final answer may be given now: never a second one, and never that a repeat is
     * harmless once the client has seen part of an answer.
     */
    boolean finish(FinalAnswer answer) {
        if (given != null) {
            return false;
        }
        if ((answer == FinalAnswer.REJECTED && begun)
                || (answer == FinalAnswer.COMPLETED && !begun)) {
            throw new IllegalStateException(answer + " is not possible here");
        }
        given = answer;
        return true;
    }
}
