package larchridge.messages;

/**
 * An error in the API's words: its status, its type and a text that names the field where one is at
 * fault.
 */
public final class ApiException extends Exception {
    private static final long serialVersionUID = 1;

    public final int status;
    public final String type;

    private ApiException(int status, String type, String text) {
        super(text, null, false, false);
        this.status = status;
        this.type = type;
    }

    public static ApiException invalid(String text) {
        return new ApiException(400, "invalid_request_error", text);
    }

    static ApiException authentication(String text) {
        return new ApiException(401, "authentication_error", text);
    }

    static ApiException notFound(String text) {
        return new ApiException(404, "not_found_error", text);
    }

    static ApiException wrongMethod(String text) {
        return new ApiException(405, "invalid_request_error", text);
    }

    static ApiException slowBody(String text) {
        return new ApiException(408, "timeout_error", text);
    }

    static ApiException tooLarge(String text) {
        return new ApiException(413, "request_too_large", text);
    }

    static ApiException rateLimit(String text) {
        return new ApiException(429, "rate_limit_error", text);
    }

    static ApiException internal(String text) {
        return new ApiException(500, "api_error", text);
    }

    static ApiException timeout(String text) {
        return new ApiException(504, "timeout_error", text);
    }

    static ApiException overloaded(String text) {
        return new ApiException(529, "overloaded_error", text);
    }
}
