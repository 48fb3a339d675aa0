package larchridge.router;

/**
 * The state of the answer to one client: not begun, begun, and final. It is the one place at which
 * a final answer can be given, so that each client gets exactly one. Without I/O, clock or threads.
 */
final class ResponseGuard {
    /** The three final answers, and the end of a request whose client has disconnected. */
    enum FinalResponse {
        COMPLETED("streamed"),
        REJECTED("throttled"),
        FAILED("terminated"),
        DISCONNECTED("gone");

        /** The answer's name in usage records of the ledger; stored, so never changed. */
        final String recordedName;

        FinalResponse(String recordedName) {
            this.recordedName = recordedName;
        }
    }

    private FinalResponse finalResponse;
    private boolean started;

    /** Notes that the answer begins; false if it has begun, or a final answer was given, before. */
    boolean start() {
        if (finalResponse != null || started) {
            return false;
        }
        started = true;
        return true;
    }

    boolean isStarted() {
        return started;
    }

    boolean isFinished() {
        return finalResponse != null;
    }

    /** The final answer that was given, or null. */
    FinalResponse finalResponse() {
        return finalResponse;
    }

    /**
     * Gives this final answer, or returns false if one was given before. An answer that the client
     * has seen part of can't be rejected, and one that has not begun can't be complete.
     */
    boolean finish(FinalResponse answer) {
        if (finalResponse != null) {
            return false;
        }
        if ((answer == FinalResponse.REJECTED && started)
                || (answer == FinalResponse.COMPLETED && !started)) {
            throw new IllegalStateException(answer + " is not possible here");
        }
        finalResponse = answer;
        return true;
    }
}
