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
 * discarded, so that a lease ends at most the timeout plus the lease time after it was granted.
 * Owned by a router's event loop, on which it must be created.
 */
public final class LeaseClient implements TokenLeaseClient {
    private static final int MAX_PENDING = 4096;

    /** The shortest time between calls to a lender that does not respond. */
    private static final long PROBE_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

    private static final int STATUS_OK = 200;
    private static final Logger LOG = LoggerFactory.getLogger(LeaseClient.class);

    private final HttpClient client;
    private final RequestOptions callOptions;
    private final int callTimeoutMs;
    private final Deque<PendingRequest> pending = new ArrayDeque<>();
    private boolean callInFlight;
    private boolean responsive;
    private long lastCallNanos;

    private record PendingRequest(QuotaRequest quotaRequest, Listener listener) {}

    /**
     * A client of the lender at an address.
     *
     * @param callTimeoutMs the timeout of connecting and of a whole call
     */
    public LeaseClient(Vertx vertx, String host, int port, double callTimeoutMs) {
        this.callTimeoutMs = (int) Math.max(1, callTimeoutMs);
        client =
                vertx.createHttpClient(
                        new HttpClientOptions()
                                .setConnectTimeout(this.callTimeoutMs)
                                .setTcpNoDelay(true),
                        new PoolOptions().setHttp1MaxSize(1).setMaxWaitQueueSize(1));
        callOptions =
                new RequestOptions()
                        .setMethod(HttpMethod.POST)
                        .setHost(host)
                        .setPort(port)
                        .setURI(LeaseEndpoint.PATH)
                        .setTimeout(this.callTimeoutMs);
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
                .timeout(callTimeoutMs, TimeUnit.MILLISECONDS)
                .onComplete(callResult -> callEnded(callResult, requests, listeners));
    }

    private void callEnded(
            AsyncResult<Buffer> callResult, List<QuotaRequest> requests, List<Listener> listeners) {
        callInFlight = false;
        boolean late = System.nanoTime() - lastCallNanos > callTimeoutMs * 1_000_000L;
        boolean succeeded = callResult.succeeded() && callResult.result() != null && !late;
        List<LeaseCodec.Grant> grants = noGrants(requests.size());
        if (succeeded) {
            try {
                grants = LeaseCodec.decodeGrants(callResult.result().getBytes(), requests);
            } catch (InvalidLeaseException e) {
                succeeded = false;
            }
        }
        setResponsive(succeeded);
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

    private void setResponsive(boolean succeeded) {
        if (responsive != succeeded) {
            responsive = succeeded;
            LOG.atWarn()
                    .addKeyValue("lender", callOptions.getHost() + ":" + callOptions.getPort())
                    .log(
                            responsive
                                    ? "quota lender available"
                                    : "quota lender call failed; admitting only from this"
                                            + " router's fixed share of the budgets");
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
