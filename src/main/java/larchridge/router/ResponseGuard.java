package larchridge.router;

/**
 * The state of the response to one client: not started, started, or finished. Every final response
 * must be accepted here before it is sent, so that each client gets exactly one. Free of I/O,
 * clocks and threads.
 */
final class ResponseGuard {
    /** The three final responses, and the end of a request whose client has disconnected. */
    enum FinalResponse {
        COMPLETED("streamed"),
        REJECTED("throttled"),
        FAILED("terminated"),
        DISCONNECTED("gone");

        /**
         * The name of the response in usage records of the ledger. It is stored, so it must not
         * change.
         */
        final String recordedName;

        FinalResponse(String recordedName) {
            this.recordedName = recordedName;
        }
    }

    private FinalResponse finalResponse;
    private boolean started;

    /** Marks the response as started; returns false if it had started or finished before. */
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

    /** The final response, or null if there is none yet. */
    FinalResponse finalResponse() {
        return finalResponse;
    }

    /**
     * Sets the final response, or returns false if there is one already. A response that the client
     * has seen part of cannot be rejected, and one that has not started cannot be complete.
     */
    boolean finish(FinalResponse response) {
        if (finalResponse != null) {
            return false;
        }
        if ((response == FinalResponse.REJECTED && started)
                || (response == FinalResponse.COMPLETED && !started)) {
            throw new IllegalStateException(
                    response
                            + " is not valid: a response can only be rejected before it has started"
                            + " and completed afterwards");
        }
        finalResponse = response;
        return true;
    }
}
