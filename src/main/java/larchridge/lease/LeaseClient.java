package larchridge.lease;

import io.vertx.core.AsyncResult;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.TimeUnit;
import larchridge.budget.QuotaRequest;
import larchridge.router.TokenLeaseClient;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Requests from the lender the tokens that generations lack: many requests in one call, one call in
 * flight at a time. When the lender is slow or down, all pending requests fail at once; until it
 * responds again, only one request per probe interval is accepted. A response after the timeout is
 * discarded, so that no lease outlives its bound. Owned by a router's event loop, on which it must
 * be created.
 */
public final class LeaseClient implements TokenLeaseClient {
    private static final int MAX_PENDING = 4096;

    /** The shortest time between calls to a lender that does not respond. */
    private static final long PROBE_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

    private static final int STATUS_OK = 200;
    private static final Logger LOG = LoggerFactory.getLogger(LeaseClient.class);

    private final HttpClient client;
    private final RequestOptions callOptions;
    private final int answerTimeoutMs;
    private final Deque<PendingRequest> pending = new ArrayDeque<>();
    private boolean callInFlight;
    private boolean responsive;
    private long lastCallNanos;

    private record PendingRequest(QuotaRequest quotaRequest, Listener listener) {}

    /**
     * A client of the lender at an address.
     *
     * @param answerTimeoutMs the timeout of connecting and of a whole call
     */
    public LeaseClient(Vertx vertx, String host, int port, double answerTimeoutMs) {
        this.answerTimeoutMs = (int) Math.max(1, answerTimeoutMs);
        client =
                vertx.createHttpClient(
                        new HttpClientOptions()
                                .setConnectTimeout(this.answerTimeoutMs)
                                .setTcpNoDelay(true),
                        new PoolOptions().setHttp1MaxSize(1).setMaxWaitQueueSize(1));
        callOptions =
                new RequestOptions()
                        .setMethod(HttpMethod.POST)
                        .setHost(host)
                        .setPort(port)
                        .setURI(LeaseEndpoint.PATH)
                        .setTimeout(this.answerTimeoutMs);
        lastCallNanos = System.nanoTime() - PROBE_INTERVAL_NANOS;
    }

    @Override
    public boolean request(QuotaRequest quotaRequest, Listener listener) {
        boolean mayProbe =
                !callInFlight && System.nanoTime() - lastCallNanos >= PROBE_INTERVAL_NANOS;
        if ((!responsive && !mayProbe) || pending.size() >= MAX_PENDING) {
            return false;
        }
        pending.add(new PendingRequest(quotaRequest, listener));
        callIfPending();
        return true;
    }

    @Override
    public boolean isResponsive() {
        return responsive;
    }

    private void callIfPending() {
        if (callInFlight || pending.isEmpty()) {
            return;
        }
        List<QuotaRequest> requests = new ArrayList<>();
        List<Listener> listeners = new ArrayList<>();
        while (!pending.isEmpty() && requests.size() < LeaseCodec.MAX_REQUESTS) {
            PendingRequest next = pending.poll();
            requests.add(next.quotaRequest);
            listeners.add(next.listener);
        }
        callInFlight = true;
        lastCallNanos = System.nanoTime();
        client.request(callOptions)
                .compose(call -> call.send(Buffer.buffer(LeaseCodec.encodeRequests(requests))))
                .compose(
                        response ->
                                response.body()
                                        .map(
                                                body ->
                                                        response.statusCode() == STATUS_OK
                                                                ? body
                                                                : null))
                .timeout(answerTimeoutMs, TimeUnit.MILLISECONDS)
                .onComplete(answer -> callEnded(answer, requests, listeners));
    }

    private void callEnded(
            AsyncResult<Buffer> answer, List<QuotaRequest> requests, List<Listener> listeners) {
        callInFlight = false;
        boolean late = System.nanoTime() - lastCallNanos > answerTimeoutMs * 1_000_000L;
        boolean answered = answer.succeeded() && answer.result() != null && !late;
        List<LeaseCodec.Grant> grants = noGrants(requests.size());
        if (answered) {
            try {
                grants = LeaseCodec.decodeGrants(answer.result().getBytes(), requests);
            } catch (InvalidLeaseException e) {
                answered = false;
            }
        }
        setResponsive(answered);
        for (int i = 0; i < listeners.size(); i++) {
            LeaseCodec.Grant grant = grants.get(i);
            listeners.get(i).requestEnded(grant.tokens(), grant.retryAfterMs());
        }
        if (!responsive) {
            failPending();
        }
        callIfPending();
    }

    private static List<LeaseCodec.Grant> noGrants(int count) {
        return Collections.nCopies(count, LeaseCodec.Grant.NONE);
    }

    private void setResponsive(boolean answered) {
        if (responsive != answered) {
            responsive = answered;
            LOG.atWarn()
                    .addKeyValue("lender", callOptions.getHost() + ":" + callOptions.getPort())
                    .log(
                            responsive
                                    ? "quota lender responds"
                                    : "quota lender does not respond; using fixed parts only");
        }
    }

    /** Completes all pending requests without a grant. */
    private void failPending() {
        // Guards against: pending requests would time out one call after the other while the lender
        // is down.
        List<PendingRequest> failed = new ArrayList<>(pending);
        pending.clear();
        failed.forEach(request -> request.listener.requestEnded(0, 0));
    }
}
