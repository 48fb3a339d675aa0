package larchridge.node.server;

import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import larchridge.router.GenerationRequest;
import larchridge.router.ResponseSink;
import larchridge.site.ProductOffering;
import larchridge.state.TrafficClass;
import larchridge.upstream.ForwardedRequest;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Validates and admits the requests of all connections and submits them to the router. A request is
 * dispatched when its body is complete.
 */
final class RequestDispatcher {
    private static final Logger LOG = LoggerFactory.getLogger(RequestDispatcher.class);
    private static final String COMPLETIONS_PATH = "/v1/chat/completions";
    private static final String HEALTH_PATH = "/up";
    private static final String GET = "GET";
    private static final String POST = "POST";

    private final ServerContext server;
    private final Map<String, ProductOffering> offerings = new HashMap<>();

    RequestDispatcher(ServerContext server, Collection<TrafficClass> trafficClasses) {
        this.server = server;
        for (TrafficClass trafficClass : trafficClasses) {
            offerings.put(trafficClass.name, offeringOf(trafficClass));
        }
    }

    /**
     * Returns the router's view of a traffic class: no time limit and no token limit, since each
     * request carries its own.
     */
    private static ProductOffering offeringOf(TrafficClass trafficClass) {
        return new ProductOffering(
                trafficClass,
                trafficClass,
                trafficClass.name,
                Double.POSITIVE_INFINITY,
                0,
                Integer.MAX_VALUE,
                null);
    }

    /** Responds to a request, rejects it, or starts an exchange for it on the connection. */
    void dispatch(ClientConnection connection, HttpRequest request) {
        String path = pathOf(request.uri());
        String method = request.method().name();
        if (path.equals(HEALTH_PATH) && method.equals(GET)) {
            respondToHealthCheck(connection, request);
        } else if (!path.equals(COMPLETIONS_PATH)) {
            connection.reject(RequestRejection.NOT_FOUND);
        } else if (!method.equals(POST)) {
            connection.reject(RequestRejection.OTHER_METHOD);
        } else {
            dispatchGeneration(connection, request);
        }
    }

    private static String pathOf(String target) {
        int query = target.indexOf('?');
        return query < 0 ? target : target.substring(0, query);
    }

    private void respondToHealthCheck(ClientConnection connection, HttpRequest request) {
        connection.body().discard();
        HttpResponseStatus status =
                server.isReady() ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE;
        connection.respond(Responses.empty(status), ConnectionPersistence.requestedBy(request));
    }

    private void dispatchGeneration(ClientConnection connection, HttpRequest request) {
        GenerationParameters parameters;
        try {
            parameters = GenerationParameters.read(request.headers());
        } catch (InvalidGenerationParametersException e) {
            connection.reject(RequestRejection.BAD_HEADER, e.getMessage());
            return;
        }
        ProductOffering offering = offerings.get(parameters.trafficClass());
        if (offering == null) {
            connection.reject(RequestRejection.NO_SUCH_CLASS);
        } else if (connection.body().isEmpty()) {
            connection.reject(RequestRejection.NO_BODY);
        } else if (!server.router.tryAdmitExchange()) {
            rejectUnadmitted(connection, request);
        } else if (!server.requestIds.tryAcquire(parameters.id())) {
            server.router.exchangeEnded();
            connection.reject(RequestRejection.ID_USED);
        } else {
            startExchange(connection, request, parameters, offering);
        }
    }

    /**
     * Rejects a request that the router does not admit. Does not close the connection by itself,
     * since the data that follows is valid.
     */
    private void rejectUnadmitted(ClientConnection connection, HttpRequest request) {
        RequestRejection rejection = RequestRejection.NOT_ADMITTED;
        connection.body().discard();
        server.requestRejected(rejection);
        connection.respond(
                Responses.error(rejection.status, rejection.message),
                ConnectionPersistence.requestedBy(request));
    }

    private void startExchange(
            ClientConnection connection,
            HttpRequest request,
            GenerationParameters parameters,
            ProductOffering offering) {
        double receivedMs = connection.headReceivedMs();
        ForwardedRequest forwarded =
                new ForwardedRequest(
                        POST,
                        request.uri(),
                        parameters.id(),
                        ForwardedHeaders.of(request.headers()),
                        connection.body().take(),
                        receivedMs + parameters.firstTokenTimeoutMs());
        ClientExchange exchange =
                new ClientExchange(
                        connection,
                        forwarded,
                        RequestHeaders.of(request).takeReservation() + forwarded.body().length,
                        receivedMs,
                        ConnectionPersistence.requestedBy(request));
        connection.startExchange(exchange);
        // Submitted in a later task of the event loop, so that nothing is forwarded for a client
        // that has closed the connection right after its request.
        server.scheduler.execute(() -> submit(exchange, parameters, offering, forwarded));
    }

    private void submit(
            ClientExchange exchange,
            GenerationParameters parameters,
            ProductOffering offering,
            ForwardedRequest forwarded) {
        if (exchange.isFinished() || exchange.isDisconnected()) {
            return;
        }
        try {
            server.events.accepted(
                    parameters.id(), offering.trafficClass, forwarded.firstTokenDeadlineMs());
            server.router.submit(
                    GenerationRequest.forwarding(
                            offering,
                            server.site.guest,
                            forwarded,
                            parameters.promptTokens(),
                            parameters.sharedTokens(),
                            parameters.maxTokens(),
                            parameters.prefix(),
                            parameters.session(),
                            parameters.isRetry(),
                            parameters.firstTokenTimeoutMs(),
                            server.scheduler.nowMs() - exchange.receivedMs()),
                    exchange,
                    exchange::accepted);
        } catch (RuntimeException | Error e) {
            // Without this, the client would wait for a response that never comes.
            LOG.atError()
                    .addKeyValue("id", parameters.id())
                    .setCause(e)
                    .log("a request could not be submitted to the router");
            exchange.failed(ResponseSink.FailureCause.INTERNAL, false);
        }
    }
}
