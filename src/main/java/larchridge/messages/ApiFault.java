package larchridge.messages;

/**
 * An error in the API's words: its status, its type and a text that names the field where one is at
 * fault.
 */
public final class ApiFault extends Exception {
    private static final long serialVersionUID = 1;

    public final int status;
    public final String type;

    private ApiFault(int status, String type, String text) {
        super(text, null, false, false);
        this.status = status;
        this.type = type;
    }

    public static ApiFault invalid(String text) {
        return new ApiFault(400, "invalid_request_error", text);
    }

    static ApiFault authentication(String text) {
        return new ApiFault(401, "authentication_error", text);
    }

    static ApiFault notFound(String text) {
        return new ApiFault(404, "not_found_error", text);
    }

    static ApiFault wrongMethod(String text) {
        return new ApiFault(405, "invalid_request_error", text);
    }

    static ApiFault slowBody(String text) {
        return new ApiFault(408, "timeout_error", text);
    }

    static ApiFault tooLarge(String text) {
        return new ApiFault(413, "request_too_large", text);
    }

    static ApiFault rateLimit(String text) {
        return new ApiFault(429, "rate_limit_error", text);
    }

    static ApiFault internal(String text) {
        return new ApiFault(500, "api_error", text);
    }

    static ApiFault timeout(String text) {
        return new ApiFault(504, "timeout_error", text);
    }

    static ApiFault overloaded(String text) {
        return new ApiFault(529, "overloaded_error", text);
    }
}
