package larchridge.lease;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vertx.core.Handler;
import io.vertx.core.http.HttpServerRequest;
import java.util.function.DoubleSupplier;
import larchridge.budget.QuotaLender;

/** Where fronts ask for tokens: {@code POST /leases}, on the one loop that owns the lender. */
public final class LeaseEndpoint implements Handler<HttpServerRequest> {
    public static final String PATH = "/leases";
    static final int MAX_REQUESTS = 256;
    private static final int MOST_BYTES = 64 << 10;
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final QuotaLender lender;
    private final DoubleSupplier clockMs;

    public LeaseEndpoint(QuotaLender lender, DoubleSupplier clockMs) {
        this.lender = lender;
        this.clockMs = clockMs;
    }

    @Override
    public void handle(HttpServerRequest request) {
        String length = request.getHeader("content-length");
        if (length == null
                || !length.matches("\\d{1,8}")
                || Integer.parseInt(length) > MOST_BYTES) {
            request.response().setStatusCode(413).putHeader("connection", "close").end();
            return;
        }
        request.body()
                .onSuccess(
                        body -> {
                            try {
                                request.response()
                                        .putHeader("content-type", "application/json")
                                        .end(lend(MAPPER.readTree(body.getBytes())).toString());
                            } catch (JsonProcessingException e) {
                                request.response().setStatusCode(400).end();
                            } catch (java.io.IOException e) {
                                request.response().setStatusCode(500).end();
                            }
                        });
    }

    private ObjectNode lend(JsonNode asked) {
        ObjectNode answer = MAPPER.createObjectNode();
        ArrayNode lent = answer.putArray("lent");
        JsonNode wants = asked.path("wants");
        for (int i = 0; i < wants.size() && i < MAX_REQUESTS; i++) {
            String purse = wants.get(i).path("purse").asText("");
            double need = wants.get(i).path("need").asDouble(0);
            double nowMs = clockMs.getAsDouble();
            double tokens = lender.grant(purse, need, wants.get(i).path("wish").asDouble(0), nowMs);
            double back = tokens > 0 ? 0 : lender.retryAfterMs(purse, need, nowMs);
            lent.addObject().put("tokens", tokens).put("back_ms", Math.min(back, 1e12));
        }
        return answer;
    }
}
