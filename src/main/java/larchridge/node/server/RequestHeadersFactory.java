package larchridge.node.server;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpHeadersFactory;
import larchridge.node.transport.MemoryBudget;

/** Creates the {@link RequestHeaders} of one connection, one request after the other. */
final class RequestHeadersFactory implements HttpHeadersFactory {
    private final MemoryBudget memory;

    /** Headers of the request that is being decoded, or that was decoded last. */
    private RequestHeaders latest;

    private boolean discarding;

    RequestHeadersFactory(MemoryBudget memory) {
        this.memory = memory;
        latest = new RequestHeaders(memory);
    }

    RequestHeaders latest() {
        return latest;
    }

    @Override
    public HttpHeaders newHeaders() {
        latest = new RequestHeaders(memory);
        if (discarding) {
            latest.discard();
        }
        return latest;
    }

    @Override
    public HttpHeaders newEmptyHeaders() {
        return newHeaders();
    }

    /** Discards the headers that are being decoded, and all that are still to come. */
    void discardAll() {
        discarding = true;
        latest.discard();
    }
}
