package larchridge.router;

/**
 * The state of the answer to one client: not begun, begun, and final. It is the one place at which
 * a final answer can be given, so that each client gets exactly one. Without I/O, clock or threads.
 */
final class ResponseGuard {
    /** The three final answers, and the end of a request whose client has disconnected. */
    enum FinalAnswer {
        COMPLETED("streamed"),
        REJECTED("throttled"),
        FAILED("terminated"),
        DISCONNECTED("gone");

        /** The answer's name in usage records of the ledger; stored, so never changed. */
        final String recordedName;

        FinalAnswer(String recordedName) {
            this.recordedName = recordedName;
        }
    }

    private FinalAnswer given;
    private boolean begun;

    /** Notes that the answer begins; false if it has begun, or a final answer was given, before. */
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

    /** The final answer that was given, or null. */
    FinalAnswer given() {
        return given;
    }

    /**
     * Gives this final answer, or returns false if one was given before. An answer that the client
     * has seen part of can't be rejected, and one that has not begun can't be complete.
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
