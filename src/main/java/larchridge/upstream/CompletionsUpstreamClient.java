package larchridge.upstream;

import static java.net.HttpURLConnection.HTTP_OK;

import io.vertx.core.Context;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import larchridge.site.SiteLimits;

/**
 * Client for engines with the OpenAI-compatible completions API and disaggregated prefill and
 * decode, as in vLLM. A read attempt requests one token with {@code do_remote_decode}; a write
 * attempt passes the handle of the resulting state with {@code do_remote_prefill}, and its response
 * is streamed as server-sent events. An attempt is cancelled by closing its connection.
 */
public final class CompletionsUpstreamClient implements UpstreamClient {
    private static final int MAX_HEADER_BYTES = 32_768;
    private static final int POOL_CLEANER_PERIOD_MS = 1000;

    private final Context loop;
    private final HttpClient client;
    private final RequestOptionsFactory requestOptions;
    private final CompletionsStateReleaser stateReleaser;
    private final long probeTimeoutMs;

    /** Creates a client. Must be called on the event loop on which the client will run. */
    public CompletionsUpstreamClient(Vertx vertx, SiteLimits limits) {
        loop = vertx.getOrCreateContext();
        HttpClientOptions clientOptions =
                new HttpClientOptions()
                        .setConnectTimeout((int) limits.connectTimeoutMs)
                        .setKeepAlive(true)
                        .setKeepAliveTimeout((int) Math.max(1, limits.keepAliveTimeoutMs / 1000))
                        .setTcpNoDelay(true)
                        .setMaxHeaderSize(MAX_HEADER_BYTES);
        PoolOptions poolOptions =
                new PoolOptions()
                        .setHttp1MaxSize(limits.maxConnectionsPerEngine)
                        .setMaxWaitQueueSize(limits.maxWaitingForConnection)
                        .setCleanerPeriod(POOL_CLEANER_PERIOD_MS);
        client = vertx.createHttpClient(clientOptions, poolOptions);
        requestOptions = new RequestOptionsFactory((long) limits.connectTimeoutMs);
        probeTimeoutMs = (long) limits.probeTimeoutMs;
        stateReleaser = new CompletionsStateReleaser(vertx, client, requestOptions, probeTimeoutMs);
    }

    @Override
    public AttemptHandle read(AttemptRequest attemptRequest, AttemptListener listener) {
        CompletionsAttempt attempt =
                new CompletionsAttempt(
                        attemptRequest, listener, CompletionsAttempt.Kind.READ, loop);
        attempt.start(client, requestOptions, CompletionsRequestEncoder.encodeRead(attemptRequest));
        return attempt;
    }

    @Override
    public AttemptHandle write(AttemptRequest attemptRequest, AttemptListener listener) {
        CompletionsAttempt attempt =
                new CompletionsAttempt(
                        attemptRequest, listener, CompletionsAttempt.Kind.WRITE, loop);
        attempt.start(
                client, requestOptions, CompletionsRequestEncoder.encodeWrite(attemptRequest));
        return attempt;
    }

    @Override
    public void release(Endpoint endpoint, String attemptId) {
        stateReleaser.release(endpoint, attemptId);
    }

    @Override
    public void probe(Endpoint endpoint, ProbeListener listener) {
        RequestOptions options =
                requestOptions
                        .create(endpoint, HttpMethod.GET, "/metrics")
                        .setTimeout(probeTimeoutMs);
        client.request(options)
                .compose(HttpClientRequest::send)
                .compose(
                        response ->
                                response.body()
                                        .map(
                                                body ->
                                                        response.statusCode() != HTTP_OK
                                                                ? null
                                                                : CompletionsLoadReportParser
                                                                        .fromMetricsPage(
                                                                                body.toString())))
                .onComplete(
                        probe ->
                                listener.completed(
                                        probe.succeeded() && probe.result() != null,
                                        probe.succeeded() ? probe.result() : null));
    }

    @Override
    public void close() {
        client.close();
    }
}
