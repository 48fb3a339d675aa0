package larchridge.lease;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import larchridge.budget.QuotaRequest;

/** The JSON bodies of a call to the lender: requests in order, and one grant for each. */
final class LeaseCodec {
    /** The most requests in one call. */
    static final int MAX_REQUESTS = 256;

    /** The longest body of a call or a response. */
    static final int MAX_BODY_BYTES = 64 << 10;

    private static final String REQUESTS = "wants";
    private static final String BUDGET = "purse";
    private static final String NEEDED_TOKENS = "need";
    private static final String DESIRED_TOKENS = "wish";
    private static final String GRANTS = "lent";
    private static final String GRANTED_TOKENS = "tokens";
    private static final String RETRY_AFTER_MS = "back_ms";

    /** Replaces an infinite wait, which JSON numbers cannot express. */
    private static final double MAX_RETRY_AFTER_MS = 1e12;

    /** Tolerates rounding when a grant is compared with its request. */
    private static final double ROUNDING_FACTOR = 1.000001;

    private static final double MISSING = -1;
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private LeaseCodec() {}

    /**
     * The lender's response to one request.
     *
     * @param tokens the granted tokens; 0 for none
     * @param retryAfterMs milliseconds until tokens could be granted; 0 if that is not known
     */
    record Grant(double tokens, double retryAfterMs) {
        /** No tokens, and no retry delay. */
        static final Grant NONE = new Grant(0, 0);
    }

    static String encodeRequests(List<QuotaRequest> requests) {
        ObjectNode body = MAPPER.createObjectNode();
        ArrayNode array = body.putArray(REQUESTS);
        for (QuotaRequest request : requests) {
            array.addObject()
                    .put(BUDGET, request.budgetName())
                    .put(NEEDED_TOKENS, request.neededTokens())
                    .put(DESIRED_TOKENS, request.desiredTokens());
        }
        return body.toString();
    }

    /** The first {@value #MAX_REQUESTS} requests of a call; further ones are ignored. */
    static List<QuotaRequest> decodeRequests(byte[] body) throws IOException {
        JsonNode array = MAPPER.readTree(body).path(REQUESTS);
        List<QuotaRequest> requests = new ArrayList<>();
        for (int i = 0; i < array.size() && i < MAX_REQUESTS; i++) {
            JsonNode request = array.get(i);
            requests.add(
                    new QuotaRequest(
                            request.path(BUDGET).asText(""),
                            request.path(NEEDED_TOKENS).asDouble(0),
                            request.path(DESIRED_TOKENS).asDouble(0)));
        }
        return requests;
    }

    static String encodeGrants(List<Grant> grants) {
        ObjectNode body = MAPPER.createObjectNode();
        ArrayNode array = body.putArray(GRANTS);
        for (Grant grant : grants) {
            array.addObject()
                    .put(GRANTED_TOKENS, grant.tokens())
                    .put(RETRY_AFTER_MS, Math.min(grant.retryAfterMs(), MAX_RETRY_AFTER_MS));
        }
        return body.toString();
    }

    /**
     * The grants for these requests, one for each.
     *
     * @throws InvalidLeaseException if the body is too long, is not valid JSON, or does not match
     *     the requests in the number or the size of the grants
     */
    static List<Grant> decodeGrants(byte[] body, List<QuotaRequest> requests)
            throws InvalidLeaseException {
        if (body.length > MAX_BODY_BYTES) {
            throw new InvalidLeaseException(
                    "response of " + body.length + " bytes exceeds the limit of " + MAX_BODY_BYTES);
        }
        JsonNode array;
        try {
            array = MAPPER.readTree(body).path(GRANTS);
        } catch (IOException e) {
            throw new InvalidLeaseException("response is not valid JSON", e);
        }
        if (array.size() != requests.size()) {
            throw new InvalidLeaseException(
                    "response has "
                            + array.size()
                            + " grants for "
                            + requests.size()
                            + " requests");
        }
        List<Grant> grants = new ArrayList<>(requests.size());
        for (int i = 0; i < requests.size(); i++) {
            grants.add(decodeGrant(array.get(i), requests.get(i)));
        }
        return grants;
    }

    private static Grant decodeGrant(JsonNode grant, QuotaRequest request)
            throws InvalidLeaseException {
        double tokens = grant.path(GRANTED_TOKENS).asDouble(MISSING);
        double maxTokens = request.neededTokens() + request.desiredTokens();
        // Guards against: a faulty lender could lift the budgets by granting more than was
        // requested, or NaN.
        if (!(tokens >= 0 && tokens <= maxTokens * ROUNDING_FACTOR)) {
            throw new InvalidLeaseException(
                    "granted " + tokens + " tokens, expected 0 to " + maxTokens);
        }
        return new Grant(tokens, grant.path(RETRY_AFTER_MS).asDouble(0));
    }
}
