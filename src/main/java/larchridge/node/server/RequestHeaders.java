package larchridge.node.server;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import larchridge.node.transport.MemoryBudget;

/**
 * The head of one request, whose memory is reserved as its lines are decoded, before it is
 * complete. Guards against: a head of short lines occupies far more memory than its length in
 * bytes, and clients that send such heads and wait could exhaust the heap.
 */
final class RequestHeaders extends DefaultHttpHeaders {
    /** Memory of a request without headers, apart from the characters of its target. */
    private static final int REQUEST_BYTES = 512;

    /**
     * Memory of a header, apart from its characters: an entry with two strings, or what they become
     * in the forwarded request.
     */
    private static final int HEADER_BYTES = 160;

    private final MemoryBudget memory;
    private int reservedBytes;
    private boolean discarded;

    RequestHeaders(MemoryBudget memory) {
        this.memory = memory;
    }

    /** Returns the headers of a request that {@link StrictRequestDecoder} has decoded. */
    static RequestHeaders of(HttpRequest request) {
        return (RequestHeaders) request.headers();
    }

    /**
     * Reserves the memory of the request itself.
     *
     * @param target the request's target
     * @throws RequestMemoryException if there is none; the headers are discarded
     */
    void reserveRequest(String target) {
        reserve(REQUEST_BYTES + target.length());
    }

    @Override
    public HttpHeaders add(String name, Object value) {
        return add((CharSequence) name, value);
    }

    /** Adds a header; after {@link #discard}, it is dropped. */
    @Override
    public HttpHeaders add(CharSequence name, Object value) {
        if (discarded) {
            return this;
        }
        reserve(HEADER_BYTES + name.length() + ((CharSequence) value).length());
        return super.add(name, value);
    }

    private void reserve(int bytes) {
        if (discarded) {
            return;
        }
        if (!memory.tryReserve(bytes)) {
            discard();
            throw new RequestMemoryException();
        }
        reservedBytes += bytes;
    }

    /** Passes the reservation to the caller, which must release it, and returns its size. */
    int takeReservation() {
        int taken = reservedBytes;
        reservedBytes = 0;
        return taken;
    }

    /** Drops all headers and those that are still to come, and releases their memory. */
    void discard() {
        discarded = true;
        clear();
        memory.release(takeReservation());
    }
}
