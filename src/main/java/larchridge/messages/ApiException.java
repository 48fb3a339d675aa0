package larchridge.messages;

/**
 * An error response of the messages API: its HTTP status, its type and a message that names the
 * invalid field, if there is one.
 */
public final class ApiException extends Exception {
    private static final long serialVersionUID = 1;

    public final int status;
    public final String type;

    private ApiException(int status, String type, String message) {
        super(message, null, false, false);
        this.status = status;
        this.type = type;
    }

    /** An invalid request; the message names the field. */
    public static ApiException invalid(String message) {
        return new ApiException(400, "invalid_request_error", message);
    }

    static ApiException authentication(String message) {
        return new ApiException(401, "authentication_error", message);
    }

    static ApiException notFound(String message) {
        return new ApiException(404, "not_found_error", message);
    }

    static ApiException methodNotAllowed(String message) {
        return new ApiException(405, "invalid_request_error", message);
    }

    static ApiException bodyTimeout(String message) {
        return new ApiException(408, "timeout_error", message);
    }

    static ApiException tooLarge(String message) {
        return new ApiException(413, "request_too_large", message);
    }

    static ApiException rateLimit(String message) {
        return new ApiException(429, "rate_limit_error", message);
    }

    static ApiException internal(String message) {
        return new ApiException(500, "api_error", message);
    }

    static ApiException timeout(String message) {
        return new ApiException(504, "timeout_error", message);
    }

    static ApiException overloaded(String message) {
        return new ApiException(529, "overloaded_error", message);
    }
}
