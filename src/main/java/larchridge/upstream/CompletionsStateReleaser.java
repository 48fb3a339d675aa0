package larchridge.upstream;

import static java.net.HttpURLConnection.HTTP_INTERNAL_ERROR;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpMethod;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Releases read states at engines, with retries, because a state that is not released occupies the
 * engine's memory. If all tries fail, the engine's own timeout frees the state. At most {@value
 * #MAX_PENDING_RELEASES} releases are pending at a time; further ones are logged and not sent, and
 * the engine's timeout frees those states too.
 */
final class CompletionsStateReleaser {
    private static final Logger LOG = LoggerFactory.getLogger(CompletionsStateReleaser.class);
    private static final int MAX_PENDING_RELEASES = 20_000;
    private static final int MAX_TRIES = 4;
    private static final int BACKOFF_STEP_MS = 60;
    private static final int STATUS_TOO_MANY_REQUESTS = 429;

    private final Vertx vertx;
    private final HttpClient client;
    private final RequestOptionsFactory requestOptions;
    private final long timeoutMs;
    private int pendingReleases;

    CompletionsStateReleaser(
            Vertx vertx, HttpClient client, RequestOptionsFactory requestOptions, long timeoutMs) {
        this.vertx = vertx;
        this.client = client;
        this.requestOptions = requestOptions;
        this.timeoutMs = timeoutMs;
    }

    /** Releases the state that an attempt left or may have left at an engine. */
    void release(Endpoint endpoint, String attemptId) {
        if (pendingReleases >= MAX_PENDING_RELEASES) {
            LOG.atWarn()
                    .addKeyValue("engine", endpoint)
                    .addKeyValue("attempt", attemptId)
                    .log("too many pending releases; the engine's timeout will free the state");
            return;
        }
        pendingReleases++;
        send(endpoint, attemptId, MAX_TRIES);
    }

    private void send(Endpoint endpoint, String attemptId, int triesLeft) {
        Buffer body = Buffer.buffer(CompletionsRequestEncoder.encodeRelease(attemptId));
        client.request(
                        requestOptions
                                .create(endpoint, HttpMethod.POST, "/abort_request")
                                .setTimeout(timeoutMs))
                .compose(
                        request -> request.putHeader("content-type", "application/json").send(body))
                .compose(response -> response.body().map(response.statusCode()))
                .onComplete(
                        result -> {
                            if (result.succeeded() && isAcknowledged(result.result())) {
                                pendingReleases--;
                            } else if (triesLeft > 1) {
                                vertx.setTimer(
                                        (long) BACKOFF_STEP_MS * (1 + MAX_TRIES - triesLeft),
                                        timer -> send(endpoint, attemptId, triesLeft - 1));
                            } else {
                                pendingReleases--;
                                logUnreleased(endpoint, attemptId);
                            }
                        });
    }

    /**
     * Whether the release needs no retry. Server errors and status 429 are retried; any other error
     * status, such as that for an unknown state, means that there is nothing to release.
     */
    private static boolean isAcknowledged(int status) {
        return status < HTTP_INTERNAL_ERROR && status != STATUS_TOO_MANY_REQUESTS;
    }

    private static void logUnreleased(Endpoint endpoint, String attemptId) {
        LOG.atWarn()
                .addKeyValue("engine", endpoint)
                .addKeyValue("attempt", attemptId)
                .log("failed to release state; the engine's timeout will free it");
    }
}
