package larchridge.node.server;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;

/**
 * The parameters of a generation, read from the request's headers. A malformed header is rejected,
 * except that a prefix of invalid length and unknown keys of {@code Req-Extra} are ignored.
 *
 * @param id the request's own id
 * @param trafficClass name of the traffic class
 * @param session name of the session; the request's id if the client gave none
 * @param firstTokenTimeoutMs time limit for the first token, counted from the receipt of the head
 * @param prefix name of the prefix that other sessions share, or null
 * @param promptTokens length of the prompt in tokens
 * @param sharedTokens length of the shared prefix in tokens, at most that of the prompt
 * @param maxTokens maximum length of the response in tokens
 * @param isRetry whether the client marked the request as a retry
 */
record GenerationParameters(
        String id,
        String trafficClass,
        String session,
        double firstTokenTimeoutMs,
        String prefix,
        int promptTokens,
        int sharedTokens,
        int maxTokens,
        boolean isRetry) {
    private static final String ID = "Req-Id";
    private static final String TRAFFIC_CLASS = "Req-Kind";
    private static final String SESSION = "Req-Key";
    private static final String DEADLINE_MS = "Req-Deadline-Ms";
    private static final String EXTRA = "Req-Extra";
    private static final String RETRY = "Req-Retry";

    private static final int MAX_TOKENS = 10_000_000;
    private static final long MAX_FIRST_TOKEN_TIMEOUT_MS = 86_400_000;
    private static final int MAX_NAME_LENGTH = 128;

    /** Longer numbers may overflow a long. */
    private static final int MAX_DIGITS = 18;

    static GenerationParameters read(HttpHeaders headers)
            throws InvalidGenerationParametersException {
        String id = readId(headers);
        String trafficClass = readTrafficClass(headers);
        String session = optionalName(headers, SESSION);
        double firstTokenTimeoutMs = readFirstTokenTimeoutMs(headers);
        String prefix = null;
        int promptTokens = -1;
        int sharedTokens = 0;
        int maxTokens = -1;
        String extra = singleValue(headers, EXTRA);
        if (extra != null) {
            for (String pair : extra.split(",")) {
                String value = valueOf(pair);
                switch (keyOf(pair)) {
                    case "prefix" -> prefix = validNameOrNull(value);
                    case "prompt_len" -> promptTokens = tokenCount(value, EXTRA + ": prompt_len");
                    case "prefix_len" -> sharedTokens = tokenCount(value, EXTRA + ": prefix_len");
                    case "max_out" -> maxTokens = tokenCount(value, EXTRA + ": max_out");
                    default -> {}
                }
            }
        }
        if (promptTokens < 0 || maxTokens < 0) {
            throw new InvalidGenerationParametersException(
                    EXTRA + ": expected prompt_len and max_out");
        }
        boolean isRetry = singleValue(headers, RETRY) != null;
        return new GenerationParameters(
                id,
                trafficClass,
                session == null ? id : session,
                firstTokenTimeoutMs,
                prefix,
                promptTokens,
                Math.min(sharedTokens, promptTokens),
                maxTokens,
                isRetry);
    }

    private static String readId(HttpHeaders headers) throws InvalidGenerationParametersException {
        String id = singleValue(headers, ID);
        if (id == null || !id.matches("[0-9a-fA-F]{16}")) {
            throw new InvalidGenerationParametersException(ID + ": expected 16 hex digits");
        }
        return id;
    }

    private static String readTrafficClass(HttpHeaders headers)
            throws InvalidGenerationParametersException {
        String trafficClass = optionalName(headers, TRAFFIC_CLASS);
        if (trafficClass == null) {
            throw new InvalidGenerationParametersException(
                    TRAFFIC_CLASS + ": missing; expected a class");
        }
        return trafficClass;
    }

    private static double readFirstTokenTimeoutMs(HttpHeaders headers)
            throws InvalidGenerationParametersException {
        long firstTokenTimeoutMs =
                parseWholeNumber(
                        singleValue(headers, DEADLINE_MS), DEADLINE_MS, MAX_FIRST_TOKEN_TIMEOUT_MS);
        if (firstTokenTimeoutMs <= 0) {
            throw new InvalidGenerationParametersException(
                    DEADLINE_MS + ": expected milliseconds over 0");
        }
        return firstTokenTimeoutMs;
    }

    private static String keyOf(String pair) {
        int equals = pair.indexOf('=');
        return equals < 0 ? pair.strip() : pair.substring(0, equals).strip();
    }

    private static String valueOf(String pair) {
        int equals = pair.indexOf('=');
        return equals < 0 ? "" : pair.substring(equals + 1).strip();
    }

    private static String validNameOrNull(String value) {
        return value.isEmpty() || value.length() > MAX_NAME_LENGTH ? null : value;
    }

    private static int tokenCount(String value, String name)
            throws InvalidGenerationParametersException {
        return (int) parseWholeNumber(value, name, MAX_TOKENS);
    }

    /** Returns the value of a header that may be given once, or null if it is absent. */
    private static String singleValue(HttpHeaders headers, String name)
            throws InvalidGenerationParametersException {
        List<String> values = headers.getAll(name);
        if (values.size() > 1) {
            throw new InvalidGenerationParametersException(name + ": given twice");
        }
        return values.isEmpty() ? null : values.get(0).strip();
    }

    private static String optionalName(HttpHeaders headers, String name)
            throws InvalidGenerationParametersException {
        String value = singleValue(headers, name);
        if (value != null && (value.isEmpty() || value.length() > MAX_NAME_LENGTH)) {
            throw new InvalidGenerationParametersException(
                    name + ": expected a name of 1 to " + MAX_NAME_LENGTH + " characters");
        }
        return value;
    }

    private static long parseWholeNumber(String text, String name, long max)
            throws InvalidGenerationParametersException {
        if (text == null
                || text.isEmpty()
                || text.length() > MAX_DIGITS
                || !text.chars().allMatch(c -> c >= '0' && c <= '9')) {
            throw new InvalidGenerationParametersException(name + ": expected a whole number");
        }
        long value = Long.parseLong(text);
        if (value > max) {
            throw new InvalidGenerationParametersException(name + ": expected at most " + max);
        }
        return value;
    }
}
