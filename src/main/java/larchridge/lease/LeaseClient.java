package larchridge.lease;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.TimeUnit;
import larchridge.budget.QuotaRequest;
import larchridge.router.QuotaClient;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Asks the lender for what generations lack, many in one question, one question out at a time.
 * Where the lender is slow or away, everyone who waits is told at once, and nobody waits until it
 * answers a trial; an answer after the time limit is not taken, so that what was lent is not used
 * later than its bound says. To be made on the front's loop.
 */
public final class LeaseClient implements QuotaClient {
    private static final int MOST_WAITING = 4096;
    private static final int MOST_BYTES = 64 << 10;
    private static final int TRY_MS = 1000;
    private static final Logger LOG = LoggerFactory.getLogger(LeaseClient.class);
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final HttpClient client;
    private final RequestOptions to;
    private final int answerMs;
    private final Deque<Asked> waiting = new ArrayDeque<>();
    private boolean out;
    private boolean away = true;
    private long triedNs;

    private record Asked(QuotaRequest want, Listener taker) {}

    public LeaseClient(Vertx vertx, String host, int port, double answerMs) {
        this.answerMs = (int) Math.max(1, answerMs);
        client =
                vertx.createHttpClient(
                        new HttpClientOptions()
                                .setConnectTimeout(this.answerMs)
                                .setTcpNoDelay(true),
                        new PoolOptions().setHttp1MaxSize(1).setMaxWaitQueueSize(1));
        to =
                new RequestOptions()
                        .setMethod(HttpMethod.POST)
                        .setHost(host)
                        .setPort(port)
                        .setURI(LeaseEndpoint.PATH)
                        .setTimeout(this.answerMs);
        triedNs = System.nanoTime() - TRY_MS * 1_000_000L;
    }

    @Override
    public boolean request(QuotaRequest want, Listener taker) {
        boolean mayTry = !out && System.nanoTime() - triedNs >= TRY_MS * 1_000_000L;
        if ((away && !mayTry) || waiting.size() >= MOST_WAITING) {
            return false;
        }
        waiting.add(new Asked(want, taker));
        send();
        return true;
    }

    @Override
    public boolean isResponsive() {
        return !away;
    }

    private void send() {
        if (out || waiting.isEmpty()) {
            return;
        }
        List<Asked> list = new ArrayList<>();
        ObjectNode body = MAPPER.createObjectNode();
        ArrayNode all = body.putArray("wants");
        while (!waiting.isEmpty() && list.size() < LeaseEndpoint.MAX_REQUESTS) {
            Asked asked = waiting.poll();
            list.add(asked);
            all.addObject()
                    .put("purse", asked.want.budget())
                    .put("need", asked.want.neededTokens())
                    .put("wish", asked.want.desiredTokens());
        }
        out = true;
        triedNs = System.nanoTime();
        client.request(to)
                .compose(request -> request.send(Buffer.buffer(body.toString())))
                .compose(
                        response ->
                                response.body()
                                        .map(got -> response.statusCode() == 200 ? got : null))
                .timeout(answerMs, TimeUnit.MILLISECONDS)
                .onComplete(
                        done -> {
                            out = false;
                            boolean late = System.nanoTime() - triedNs > answerMs * 1_000_000L;
                            JsonNode lent =
                                    done.failed() || done.result() == null || late
                                            ? null
                                            : parsed(done.result(), list);
                            if (away != (lent == null)) {
                                away = lent == null;
                                LOG.atWarn()
                                        .addKeyValue("lender", to.getHost() + ":" + to.getPort())
                                        .log(
                                                away
                                                        ? "the lender does not answer; fixed parts only"
                                                        : "the lender answers");
                            }
                            for (int i = 0; i < list.size(); i++) {
                                list.get(i)
                                        .taker
                                        .granted(
                                                lent == null
                                                        ? 0
                                                        : lent.get(i).path("tokens").asDouble(0),
                                                lent == null
                                                        ? 0
                                                        : lent.get(i).path("back_ms").asDouble(0));
                            }
                            if (away) {
                                // Guards against: one after the other would wait for a lender that
                                // is gone,
                                // each its whole time.
                                List<Asked> rest = new ArrayList<>(waiting);
                                waiting.clear();
                                rest.forEach(asked -> asked.taker.granted(0, 0));
                            }
                            send();
                        });
    }

    /** What was lent, one for each that asked; null if it can't be that. */
    private static JsonNode parsed(Buffer answer, List<Asked> list) {
        if (answer.length() > MOST_BYTES) {
            return null;
        }
        try {
            JsonNode lent = MAPPER.readTree(answer.getBytes()).path("lent");
            if (lent.size() != list.size()) {
                return null;
            }
            for (int i = 0; i < list.size(); i++) {
                double most = list.get(i).want.neededTokens() + list.get(i).want.desiredTokens();
                double tokens = lent.get(i).path("tokens").asDouble(-1);
                // Guards against: a lender that answers nonsense would open the budgets; more than
                // was
                // asked is nonsense.
                if (!(tokens >= 0 && tokens <= most * 1.000001)) {
                    return null;
                }
            }
            return lent;
        } catch (IOException e) {
            return null;
        }
    }
}
