package larchridge.lease;

import com.fasterxml.jackson.core.JsonProcessingException;
import io.vertx.core.Handler;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.function.DoubleSupplier;
import larchridge.budget.QuotaLender;
import larchridge.budget.QuotaRequest;

/** Serves {@code POST /leases}, where routers request tokens, on the lender's only event loop. */
public final class LeaseEndpoint implements Handler<HttpServerRequest> {
    /** The path under which the endpoint is served. */
    public static final String PATH = "/leases";

    private static final int STATUS_BAD_REQUEST = 400;
    private static final int STATUS_CONTENT_TOO_LARGE = 413;
    private static final int STATUS_INTERNAL_ERROR = 500;

    private final QuotaLender lender;
    private final DoubleSupplier clockMs;

    /**
     * The endpoint of a lender.
     *
     * @param clockMs the lender's clock, in milliseconds
     */
    public LeaseEndpoint(QuotaLender lender, DoubleSupplier clockMs) {
        this.lender = lender;
        this.clockMs = clockMs;
    }

    @Override
    public void handle(HttpServerRequest request) {
        if (!hasAcceptableLength(request.getHeader("content-length"))) {
            request.response()
                    .setStatusCode(STATUS_CONTENT_TOO_LARGE)
                    .putHeader("connection", "close")
                    .end();
            return;
        }
        request.body().onSuccess(body -> respond(request, body));
    }

    private static boolean hasAcceptableLength(String contentLength) {
        return contentLength != null
                && contentLength.matches("\\d{1,8}")
                && Integer.parseInt(contentLength) <= LeaseCodec.MAX_BODY_BYTES;
    }

    private void respond(HttpServerRequest request, Buffer body) {
        try {
            List<QuotaRequest> requests = LeaseCodec.decodeRequests(body.getBytes());
            request.response()
                    .putHeader("content-type", "application/json")
                    .end(LeaseCodec.encodeGrants(grantAll(requests)));
        } catch (JsonProcessingException e) {
            request.response().setStatusCode(STATUS_BAD_REQUEST).end();
        } catch (IOException e) {
            request.response().setStatusCode(STATUS_INTERNAL_ERROR).end();
        }
    }

    private List<LeaseCodec.Grant> grantAll(List<QuotaRequest> requests) {
        List<LeaseCodec.Grant> grants = new ArrayList<>(requests.size());
        for (QuotaRequest request : requests) {
            grants.add(grant(request));
        }
        return grants;
    }

    private LeaseCodec.Grant grant(QuotaRequest request) {
        double nowMs = clockMs.getAsDouble();
        String budgetName = request.budgetName();
        double neededTokens = request.neededTokens();
        double tokens = lender.grant(budgetName, neededTokens, request.desiredTokens(), nowMs);
        double retryAfterMs = tokens > 0 ? 0 : lender.retryAfterMs(budgetName, neededTokens, nowMs);
        return new LeaseCodec.Grant(tokens, retryAfterMs);
    }
}
