package larchridge.batch;

/** An error response of the batch API. */
final class BatchApiException extends Exception {
    private static final long serialVersionUID = 1;

    final int status;
    final String type;
    final String field;

    private BatchApiException(int status, String type, String field, String message) {
        super(message, null, false, false);
        this.status = status;
        this.type = type;
        this.field = field;
    }

    static BatchApiException invalid(String field, String message) {
        return new BatchApiException(400, "invalid_request_error", field, message);
    }

    static BatchApiException invalidApiKey() {
        return new BatchApiException(
                401,
                "authentication_error",
                null,
                "no valid key; expected the header authorization: Bearer KEY");
    }

    static BatchApiException notFound(String resource) {
        return new BatchApiException(404, "invalid_request_error", null, "no such " + resource);
    }

    static BatchApiException methodNotAllowed() {
        return new BatchApiException(
                405, "invalid_request_error", null, "this method is not served here");
    }

    static BatchApiException conflict(String message) {
        return new BatchApiException(409, "invalid_request_error", null, message);
    }

    static BatchApiException tooLarge(String message) {
        return new BatchApiException(413, "invalid_request_error", "file", message);
    }

    static BatchApiException overQuota(String message) {
        return new BatchApiException(429, "insufficient_quota", null, message);
    }

    static BatchApiException internalError(String message) {
        return new BatchApiException(500, "server_error", null, message);
    }

    static BatchApiException unavailable(String message) {
        return new BatchApiException(503, "server_error", null, message);
    }
}
