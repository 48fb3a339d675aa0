package larchridge.node.upstream;

import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import larchridge.upstream.Endpoint;
import larchridge.upstream.UpstreamClient.ProbeListener;

/** A health check that requests an engine's load report. */
final class LoadProbe extends ControlCall {
    private static final String TARGET = "/metrics/load";

    private final ConfiguredLoadReportParser loadReportParser;
    private final ProbeListener listener;

    LoadProbe(UpstreamContext context, Endpoint endpoint, ProbeListener listener) {
        super(context.scheduler(), context.pools(), endpoint);
        this.loadReportParser = context.loadReportParser();
        this.listener = listener;
    }

    @Override
    HttpMethod method() {
        return HttpMethod.GET;
    }

    @Override
    String target() {
        return TARGET;
    }

    @Override
    void completed(ControlCallResult result) {
        if (result == ControlCallResult.NOT_SENT) {
            return;
        }
        boolean succeeded =
                result == ControlCallResult.ANSWERED && status() == HttpResponseStatus.OK.code();
        // An engine that has no report yet responds without one and must not count as failed.
        listener.completed(succeeded, succeeded ? loadReportParser.parse(bodyText()) : null);
    }
}
