package larchridge.batch;

/** What a call to the batch API gets instead of what it asked for. */
final class Refusal extends Exception {
    private static final long serialVersionUID = 1;

    final int status;
    final String type;
    final String field;

    private Refusal(int status, String type, String field, String text) {
        super(text, null, false, false);
        this.status = status;
        this.type = type;
        this.field = field;
    }

    static Refusal invalid(String field, String text) {
        return new Refusal(400, "invalid_request_error", field, text);
    }

    static Refusal unknownKey() {
        return new Refusal(
                401,
                "authentication_error",
                null,
                "no valid key; expected the header authorization: Bearer KEY");
    }

    static Refusal notFound(String what) {
        return new Refusal(404, "invalid_request_error", null, "no such " + what);
    }

    static Refusal wrongMethod() {
        return new Refusal(405, "invalid_request_error", null, "this method is not served here");
    }

    static Refusal conflict(String text) {
        return new Refusal(409, "invalid_request_error", null, text);
    }

    static Refusal tooLarge(String text) {
        return new Refusal(413, "invalid_request_error", "file", text);
    }

    static Refusal overQuota(String text) {
        return new Refusal(429, "insufficient_quota", null, text);
    }

    static Refusal broken(String text) {
        return new Refusal(500, "server_error", null, text);
    }

    static Refusal away(String text) {
        return new Refusal(503, "server_error", null, text);
    }
}
