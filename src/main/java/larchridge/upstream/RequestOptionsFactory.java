package larchridge.upstream;

import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;

/** Creates Vert.x options for requests to engines, with the configured connect timeout. */
final class RequestOptionsFactory {
    private final long connectTimeoutMs;

    RequestOptionsFactory(long connectTimeoutMs) {
        this.connectTimeoutMs = connectTimeoutMs;
    }

    RequestOptions create(Endpoint endpoint, HttpMethod method, String path) {
        return new RequestOptions()
                .setMethod(method)
                .setHost(endpoint.host())
                .setPort(endpoint.port())
                .setURI(path)
                .setConnectTimeout(connectTimeoutMs);
    }
}
